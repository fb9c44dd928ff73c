package config

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/config/query"
	"github.com/chestnutfield/chestnutfield/config/rows"
	"github.com/chestnutfield/chestnutfield/table"
)

// maxVersionsPastPointer is how many versions past the latest-snapshot pointer
// are tried when looking for a newer snapshot.
const maxVersionsPastPointer = 8

// runAsync carries out an action that does I/O in its own goroutine, since the
// caller holds the lock. It does nothing once Run is stopping.
func (k *Keeper) runAsync(ctx context.Context, a action) {
	var run func(ctx context.Context)
	switch a := a.(type) {
	case pollStore:
		run = k.pollStore
	case locateSnapshot:
		run = k.locateSnapshot
	case fetch:
		run = func(ctx context.Context) { k.fetch(ctx, a) }
	default:
		return
	}
	if k.stopped {
		return
	}
	k.calls.Add(1)
	go func() {
		defer k.calls.Done()
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		run(ctx)
	}()
}

func (k *Keeper) pollStore(ctx context.Context) {
	version, err := k.reader.Version(ctx)
	k.metrics.countPoll(err)
	k.handle(func(now time.Time) []action { return k.core.handlePollResult(now, version, err) })
}

func (k *Keeper) locateSnapshot(ctx context.Context) {
	version, err := findLatestSnapshot(ctx, k.opts.Objects)
	k.handle(func(now time.Time) []action { return k.core.handleSnapshotLocated(now, version, err) })
}

func (k *Keeper) fetch(ctx context.Context, f fetch) {
	encoded, t, err := k.fetchAndDecode(ctx, f)
	k.metrics.countFetch(f.from, err)
	k.handle(func(now time.Time) []action { return k.core.handleFetchResult(now, f.from, t, encoded, err) })
}

// fetchAndDecode fetches the tables from the source of f and decodes them.
func (k *Keeper) fetchAndDecode(ctx context.Context, f fetch) (encoded []byte, t *table.Tables, err error) {
	version := f.version
	switch f.from.kind {
	case fromPeer:
		encoded, version, err = k.opts.Peers.FetchTables(ctx, f.from.peer, f.version)
	case fromStore:
		encoded, version, err = k.reader.EncodedTables(ctx)
	case fromSnapshot:
		encoded, err = k.fetchSnapshot(ctx, version)
	}
	if err != nil {
		return nil, nil, err
	}
	t, err = query.DecodeTables(encoded, version)
	return encoded, t, err
}

func (k *Keeper) fetchSnapshot(ctx context.Context, version uint64) ([]byte, error) {
	encoded, ok, err := k.opts.Objects.Get(ctx, rows.SnapshotObject(version))
	if err == nil && !ok {
		err = errors.Errorf("object store holds no snapshot of version %d", version)
	}
	return encoded, err
}
