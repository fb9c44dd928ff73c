package config

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config/schema"
)

const (
	// minSnapshotCheckInterval is the interval at which one host of a small
	// deployment checks that the latest snapshot is as new as its installed
	// version.
	minSnapshotCheckInterval = 5 * time.Minute
	// snapshotCheckIntervalPerHost times the number of hosts is the interval
	// in a large deployment: all hosts together check once per this time.
	snapshotCheckIntervalPerHost = 10 * time.Second
	// publishTimeout bounds one check, including the write that follows it.
	publishTimeout = 10 * time.Second
	// maxPointerWrites bounds how often one publication writes the pointer.
	maxPointerWrites = 3
)

// readLatestPointer returns the version that the latest-snapshot pointer
// names, 0 when there is no pointer.
func readLatestPointer(ctx context.Context, objects cloud.ObjectStore) (uint64, error) {
	body, ok, err := objects.Get(ctx, schema.LatestObject)
	if err != nil || !ok {
		return 0, err
	}
	return schema.ParseLatest(body)
}

// findLatestSnapshot returns the highest version with a snapshot, 0 when there
// is none. The pointer may lag or have been set back by a slow writer, so the
// versions after it are tried too, up to the first that is missing.
func findLatestSnapshot(ctx context.Context, objects cloud.ObjectStore) (uint64, error) {
	version, err := readLatestPointer(ctx, objects)
	if err != nil {
		return 0, err
	}
	for range maxVersionsPastPointer {
		_, ok, err := objects.Get(ctx, schema.SnapshotObject(version+1))
		if err != nil || !ok {
			break
		}
		version++
	}
	return version, nil
}

// publishSnapshot writes the snapshot of a version and raises the pointer to
// it. The pointer is read back after each write and written again when a
// concurrent writer set it to an older version.
func publishSnapshot(ctx context.Context, objects cloud.ObjectStore, version uint64, encoded []byte) error {
	if err := objects.Put(ctx, schema.SnapshotObject(version), encoded); err != nil {
		return errors.Wrapf(err, "write snapshot of version %d", version)
	}
	for range maxPointerWrites {
		pointed, err := readLatestPointer(ctx, objects)
		if err != nil {
			return errors.Wrap(err, "read pointer to the latest snapshot")
		}
		if pointed >= version {
			return nil
		}
		if err := objects.Put(ctx, schema.LatestObject, schema.FormatLatest(version)); err != nil {
			return errors.Wrap(err, "write pointer to the latest snapshot")
		}
	}
	return nil
}

// RunSnapshots keeps the snapshot in the object store up to date until the
// context ends: it writes a version that the table service accepted from this
// host at once, and checks at long intervals for versions that another host
// failed to write. It always returns nil.
func (s *Syncer) RunSnapshots(ctx context.Context) error {
	failures := 0
	for {
		wait := s.snapshotCheckInterval()
		if failures > 0 {
			wait = backoff(failures)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.publishNow:
		case <-s.opts.Clock.After(wait):
		}
		if err := s.syncSnapshot(ctx); err != nil {
			failures++
			continue
		}
		failures = 0
	}
}

func (s *Syncer) snapshotCheckInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	interval := time.Duration(s.core.hosts) * snapshotCheckIntervalPerHost
	return s.core.jitter(max(minSnapshotCheckInterval, interval))
}

// syncSnapshot publishes the installed version unless the pointer names an
// existing snapshot that is at least as new.
func (s *Syncer) syncSnapshot(ctx context.Context) error {
	encoded, version := s.EncodedTables()
	if version == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	pointed, err := readLatestPointer(ctx, s.opts.Objects)
	if err != nil {
		return err
	}
	_, exists, err := s.opts.Objects.Get(ctx, schema.SnapshotObject(pointed))
	if err != nil || (exists && pointed >= version) {
		return err
	}
	err = publishSnapshot(ctx, s.opts.Objects, version, encoded)
	s.metrics.countSnapshotWrite(err)
	return err
}
