package news

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// emptyEvery is the time between two readings of a store that holds no tables
// yet.
const emptyEvery = 300 * time.Millisecond

// hintEvery is the time between two looks at whether the tables have to be
// read by this host itself.
const hintEvery = 200 * time.Millisecond

// followTables keeps the tables until the context ends.
func (f *Follower) followTables(ctx context.Context) {
	d := f.dependency("tables")
	var at Cursor
	for first := true; ctx.Err() == nil; first = false {
		if !first && f.Current().Version > 0 {
			f.awaitMeeting(ctx)
		}
		if !f.isReader() && f.tablesConfirmed() {
			// The cursor would grow old meanwhile.
			at = 0
			f.sleep(ctx, hintEvery, f.hint)
			continue
		}
		if !f.isReader() && d.idle() && f.Clock.Now().Sub(d.tried) < retryIdle {
			f.sleep(ctx, hintEvery, f.hint)
			continue
		}
		began := f.Clock.Now()
		d.tried = began
		reading, err := f.Source.Tables(at, tablesWait)
		if errors.Is(err, ErrHistoryLost) {
			f.Logger.Info("history of the tables lost; reading them anew", zap.Uint64("cursor", uint64(at)))
			at = 0
			continue
		}
		pause := d.read(f.Clock.Now(), err)
		if err == nil {
			f.takeTables(reading)
			if f.Current().Version > 0 {
				at = reading.Cursor
			} else {
				// A store that holds no tables yet is asked again.
				pause = emptyEvery
			}
		}
		f.sleep(ctx, pause, nil)
	}
}

// takeTables puts newer tables in force. Older ones are never taken.
func (f *Follower) takeTables(r TablesReading) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.Current()
	if r.Problem != nil {
		f.Logger.Error("tables can't be used; those in force stay", zap.Uint64("in_force", before.Version), zap.Error(r.Problem))
		return
	}
	f.tablesAt = f.Clock.Now()
	if r.Tables == nil || r.Tables.Version <= before.Version {
		return
	}
	if f.targets != nil {
		f.Place(f.targets, before, r.Tables)
	}
	f.tables.Store(r.Tables)
	f.Logger.Info("tables in force", zap.Uint64("version", r.Tables.Version), zap.Uint64("before", before.Version),
		zap.Int("routes", len(r.Tables.Routes)), zap.Int("pools", len(r.Tables.Pools)))
}

// hearTables takes the version that a reader has in force, confirmed an age
// before a time. The caller holds the lock.
func (f *Follower) hearTables(at time.Time, version uint64, age time.Duration) {
	own := f.Current().Version
	confirmed := at.Add(-age)
	switch {
	case version > own:
		// Unconfirmed from now on: the tables are read at once.
		f.tablesAt = time.Time{}
		signal(f.hint)
	case version == own && confirmed.After(f.tablesAt):
		f.tablesAt = confirmed
	}
}

// tablesConfirmed says that the tables in force were the newest a short time
// ago.
func (f *Follower) tablesConfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.tablesAt.IsZero() && f.Clock.Now().Sub(f.tablesAt) <= tablesOld
}
