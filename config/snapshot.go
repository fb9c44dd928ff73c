package config

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config/rows"
)

const (
	// snapshotCheck is the interval at which one host of a small deployment
	// looks whether the latest snapshot is the version in force.
	snapshotCheck = 5 * time.Minute
	// snapshotCheckPerHost keeps the checks of all hosts together rare.
	snapshotCheckPerHost = 10 * time.Second
	// snapshotTimeout bounds one round of publishing.
	snapshotTimeout = 10 * time.Second
	// maxPointerWrites bounds the writes of the pointer in one round.
	maxPointerWrites = 3
)

// pointedSnapshot reads the pointer, 0 when there is none.
func pointedSnapshot(ctx context.Context, objects cloud.Objects) (uint64, error) {
	body, ok, err := objects.Get(ctx, rows.LatestObject)
	if err != nil || !ok {
		return 0, err
	}
	return rows.ParseLatest(body)
}

// latestSnapshot returns the highest version with a snapshot, 0 when there is
// none. The pointer may lag or have been set back by a slow writer, so the
// versions after it are tried too, as far as they follow on each other.
func latestSnapshot(ctx context.Context, objects cloud.Objects) (uint64, error) {
	version, err := pointedSnapshot(ctx, objects)
	if err != nil {
		return 0, err
	}
	for range maxSnapshotSteps {
		_, ok, err := objects.Get(ctx, rows.SnapshotObject(version+1))
		if err != nil || !ok {
			break
		}
		version++
	}
	return version, nil
}

// publishSnapshot writes a version and moves the pointer up to it. The pointer
// is read back and set again when a writer of an older version came between.
func publishSnapshot(ctx context.Context, objects cloud.Objects, version uint64, packed []byte) error {
	if err := objects.Put(ctx, rows.SnapshotObject(version), packed); err != nil {
		return errors.Wrapf(err, "snapshot of version %d", version)
	}
	for range maxPointerWrites {
		pointed, err := pointedSnapshot(ctx, objects)
		if err != nil {
			return errors.Wrap(err, "latest snapshot")
		}
		if pointed >= version {
			return nil
		}
		if err := objects.Put(ctx, rows.LatestObject, rows.FormatLatest(version)); err != nil {
			return errors.Wrap(err, "latest snapshot")
		}
	}
	return nil
}

// RunSnapshots keeps the object store's snapshot up to date until the context
// ends: at once for a version that this host got accepted, and by a rare check
// for what another host failed to write.
func (k *Keeper) RunSnapshots(ctx context.Context) error {
	failures := 0
	for {
		wait := k.checkInterval()
		if failures > 0 {
			wait = backoff(failures)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-k.publish:
		case <-k.opts.Clock.After(wait):
		}
		if err := k.syncSnapshot(ctx); err != nil {
			failures++
			continue
		}
		failures = 0
	}
}

func (k *Keeper) checkInterval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	shared := time.Duration(k.core.hosts) * snapshotCheckPerHost
	return k.core.jitter(max(snapshotCheck, shared))
}

// syncSnapshot writes the snapshot unless one as new is there.
func (k *Keeper) syncSnapshot(ctx context.Context) error {
	packed, version := k.Encoded()
	if version == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	pointed, err := pointedSnapshot(ctx, k.opts.Objects)
	if err != nil {
		return err
	}
	_, whole, err := k.opts.Objects.Get(ctx, rows.SnapshotObject(pointed))
	if err != nil || (whole && pointed >= version) {
		return err
	}
	err = publishSnapshot(ctx, k.opts.Objects, version, packed)
	k.metrics.snapshotWritten(err)
	return err
}
