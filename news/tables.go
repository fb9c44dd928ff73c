package news

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
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
	select {
	case <-ctx.Done():
	case <-f.joined:
	}
	var at Cursor
	for first := true; ctx.Err() == nil; first = false {
		if !first && f.Current().Version > 0 {
			f.awaitMeeting(ctx)
		}
		if !f.isReader() && f.fetchAhead() || f.leaveTables(d) {
			// The cursor would grow old meanwhile.
			at = 0
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
		if err != nil {
			f.lost.Store(true)
		} else {
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

// leaveTables says that this host need not read the tables now: others do, or
// the register shows that the store is out of reach.
func (f *Follower) leaveTables(d *dependency) bool {
	if f.Current().Version > 0 && f.lost.Load() {
		return true
	}
	if f.isReader() {
		return false
	}
	return f.tablesConfirmed() || d.idle() && f.Clock.Now().Sub(d.tried) < retryIdle
}

// fetchAhead takes the tables of a reader that has newer ones.
func (f *Follower) fetchAhead() bool {
	f.mu.Lock()
	reader := f.ahead
	f.ahead = roster.Host{}
	f.mu.Unlock()
	return reader.Name != "" && f.fetch(reader) && f.tablesConfirmed()
}

// takeTables takes a reading of the store.
func (f *Follower) takeTables(r TablesReading) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Problem != nil {
		f.Logger.Error("tables can't be used; those in force stay", zap.Uint64("in_force", f.Current().Version), zap.Error(r.Problem))
		return
	}
	f.tablesAt = f.Clock.Now()
	if r.Tables != nil {
		f.adopt(r.Tables, f.tablesAt)
	}
}

// adopt puts tables in force that were the newest at a time. Older ones are
// never taken. The caller holds the lock.
func (f *Follower) adopt(t *table.Tables, confirmed time.Time) {
	before := f.Current()
	if t.Version < before.Version {
		return
	}
	if confirmed.After(f.tablesAt) {
		f.tablesAt = confirmed
	}
	if t.Version == before.Version {
		return
	}
	if f.targets != nil {
		f.Place(f.targets, before, t)
	}
	f.tables.Store(t)
	f.Logger.Info("tables in force", zap.Uint64("version", t.Version), zap.Uint64("before", before.Version),
		zap.Int("routes", len(t.Routes)), zap.Int("pools", len(t.Pools)))
}

// hearTables takes the version that a reader has in force, confirmed an age
// before a time. The caller holds the lock.
func (f *Follower) hearTables(reader roster.Host, at time.Time, version uint64, age time.Duration) {
	own := f.Current().Version
	confirmed := at.Add(-age)
	switch {
	case version > own:
		// Unconfirmed from now on: the tables are read at once.
		f.tablesAt = time.Time{}
		f.ahead = reader
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
