package config

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/config/query"
	"github.com/chestnutfield/chestnutfield/config/rows"
	"github.com/chestnutfield/chestnutfield/table"
)

// maxSnapshotSteps bounds how far past the pointer a snapshot is looked for.
const maxSnapshotSteps = 8

// start carries out an action that takes time, beside the caller, who holds
// the lock.
func (k *Keeper) start(ctx context.Context, a action) {
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
	k.work.Add(1)
	go func() {
		defer k.work.Done()
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		run(ctx)
	}()
}

func (k *Keeper) pollStore(ctx context.Context) {
	version, err := k.reader.Version(ctx)
	k.metrics.polled(err)
	k.do(func(now time.Time) []action { return k.core.polled(now, version, err) })
}

func (k *Keeper) locateSnapshot(ctx context.Context) {
	version, err := latestSnapshot(ctx, k.opts.Objects)
	k.do(func(now time.Time) []action { return k.core.located(now, version, err) })
}

func (k *Keeper) fetch(ctx context.Context, f fetch) {
	packed, t, err := k.body(ctx, f)
	k.metrics.fetched(f.from, err)
	k.do(func(now time.Time) []action { return k.core.fetched(now, f.from, t, packed, err) })
}

// body gets and unpacks the tables of one source.
func (k *Keeper) body(ctx context.Context, f fetch) (packed []byte, t *table.Tables, err error) {
	version := f.version
	switch f.from.kind {
	case fromPeer:
		packed, version, err = k.opts.Peers.FetchTables(ctx, f.from.peer, f.version)
	case fromStore:
		packed, version, err = k.reader.Packed(ctx)
	case fromSnapshot:
		packed, err = k.snapshotBody(ctx, version)
	}
	if err != nil {
		return nil, nil, err
	}
	t, err = query.Unpack(packed, version)
	return packed, t, err
}

func (k *Keeper) snapshotBody(ctx context.Context, version uint64) ([]byte, error) {
	packed, ok, err := k.opts.Objects.Get(ctx, rows.SnapshotObject(version))
	if err == nil && !ok {
		err = errors.Errorf("no snapshot of version %d", version)
	}
	return packed, err
}
