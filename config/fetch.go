package config

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/config/query"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table"
)

// maxVersionsPastPointer is how many versions past the latest-snapshot pointer
// are tried when looking for a newer snapshot.
const maxVersionsPastPointer = 8

// runAsync carries out an action that does I/O in its own goroutine, since the
// caller holds the lock. It does nothing once Run is stopping.
func (s *Syncer) runAsync(ctx context.Context, a action) {
	var run func(ctx context.Context)
	switch a := a.(type) {
	case pollStore:
		run = s.pollStore
	case locateSnapshot:
		run = s.locateSnapshot
	case fetch:
		run = func(ctx context.Context) { s.fetch(ctx, a) }
	default:
		return
	}
	if s.stopped {
		return
	}
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		run(ctx)
	}()
}

func (s *Syncer) pollStore(ctx context.Context) {
	version, err := s.reader.Version(ctx)
	s.metrics.countPoll(err)
	s.handle(func(now time.Time) []action { return s.core.handlePollResult(now, version, err) })
}

func (s *Syncer) locateSnapshot(ctx context.Context) {
	version, err := findLatestSnapshot(ctx, s.opts.Objects)
	s.handle(func(now time.Time) []action { return s.core.handleSnapshotLocated(now, version, err) })
}

func (s *Syncer) fetch(ctx context.Context, f fetch) {
	encoded, t, err := s.fetchAndDecode(ctx, f)
	s.metrics.countFetch(f.from, err)
	s.handle(func(now time.Time) []action { return s.core.handleFetchResult(now, f.from, t, encoded, err) })
}

// fetchAndDecode fetches the tables from the source of f and decodes them.
func (s *Syncer) fetchAndDecode(ctx context.Context, f fetch) (encoded []byte, t *table.Tables, err error) {
	version := f.version
	switch f.from.kind {
	case fromPeer:
		encoded, version, err = s.opts.Peers.FetchTables(ctx, f.from.peer, f.version)
	case fromStore:
		encoded, version, err = s.reader.EncodedTables(ctx)
	case fromSnapshot:
		encoded, err = s.fetchSnapshot(ctx, version)
	}
	if err != nil {
		return nil, nil, err
	}
	if t, err = query.DecodeTables(encoded, version); err != nil {
		return nil, nil, &undecodableError{version: version, cause: err}
	}
	return encoded, t, nil
}

func (s *Syncer) fetchSnapshot(ctx context.Context, version uint64) ([]byte, error) {
	encoded, ok, err := s.opts.Objects.Get(ctx, schema.SnapshotObject(version))
	if err == nil && !ok {
		err = errors.Errorf("object store holds no snapshot of version %d", version)
	}
	return encoded, err
}
