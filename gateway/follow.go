package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// tablesWait is how long a reading waits for a change: a connection that
	// went silent is noticed by then, half of the time in which a change must
	// be in force.
	tablesWait = time.Second
	// registerEvery is the time between two readings of the register: half of
	// the time in which a leaving target must get nothing new.
	registerEvery = time.Second
	// retryFirst is the pause after a reading that failed, retryLongest the
	// longest; a host must be up to date soon after the store is back.
	retryFirst   = 100 * time.Millisecond
	retryLongest = 150 * time.Millisecond
	// mostProblems bounds the log lines about one reading of the register.
	mostProblems = 3
)

// follower keeps what the store says and hands it to the placement.
type follower struct {
	source Source
	placer *placement.Balancer
	clock  clockwork.Clock
	log    *zap.Logger
	reads  *prometheus.CounterVec

	tables atomic.Pointer[table.Tables]
	// mu orders what is handed to the placement.
	mu sync.Mutex
	// targets are those of the last reading of the register.
	targets atomic.Pointer[map[string][]registry.Target]
}

func newFollower(source Source, placer *placement.Balancer, clock clockwork.Clock, log *zap.Logger, reg prometheus.Registerer) (*follower, error) {
	f := &follower{
		source: source, placer: placer, clock: clock, log: log,
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_store_readings_total",
			Help: "Readings of the store, by what was read and the result.",
		}, []string{"what", "result"}),
	}
	f.tables.Store(table.Empty())
	return f, metric.Register(reg, "gateway", f.reads)
}

// Current implements ports.Tables.
func (f *follower) Current() *table.Tables { return f.tables.Load() }

// configured says that a configuration and the targets are known.
func (f *follower) configured() bool {
	return f.tables.Load().Version > 0 && f.targets.Load() != nil
}

// dependency notes when readings begin to fail and to succeed again.
type dependency struct {
	name     string
	log      *zap.Logger
	reads    *prometheus.CounterVec
	failures int
	since    time.Time
}

// read counts a reading and returns the pause before the next one after a
// failure.
func (d *dependency) read(now time.Time, err error) time.Duration {
	if err == nil {
		d.reads.WithLabelValues(d.name, "ok").Inc()
		if d.failures > 0 {
			d.log.Info("store regained", zap.String("what", d.name), zap.Int("failures", d.failures), zap.Duration("away", now.Sub(d.since)))
		}
		d.failures = 0
		return 0
	}
	d.reads.WithLabelValues(d.name, "failed").Inc()
	if d.failures == 0 {
		d.since = now
		d.log.Warn("store lost", zap.String("what", d.name), zap.Error(err))
	}
	d.failures++
	pause := min(retryFirst<<min(d.failures-1, 4), retryLongest)
	return pause/2 + rand.N(pause)
}

// followTables keeps the tables until the context ends.
func (f *follower) followTables(ctx context.Context) {
	d := dependency{name: "tables", log: f.log, reads: f.reads}
	var at Cursor
	for ctx.Err() == nil {
		reading, err := f.source.Tables(at, tablesWait)
		now := f.clock.Now()
		if errors.Is(err, ErrHistoryLost) {
			f.log.Info("history of the tables lost; reading them anew", zap.Uint64("cursor", uint64(at)))
			at = 0
			continue
		}
		pause := d.read(now, err)
		if err == nil {
			at = max(at, reading.Cursor)
			f.takeTables(reading)
			if reading.Cursor == 0 {
				pause = retryFirst
			}
		}
		f.sleep(ctx, pause)
	}
}

// takeTables puts newer tables in force. Older ones are never taken.
func (f *follower) takeTables(r TablesReading) {
	if r.Problem != nil {
		f.log.Error("tables can't be used; those in force stay", zap.Uint64("in_force", f.Current().Version), zap.Error(r.Problem))
		return
	}
	if r.Tables == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.Current()
	if r.Tables.Version <= before.Version {
		return
	}
	// Requests that were routed by the tables before still find their pools.
	f.place(before, r.Tables)
	f.tables.Store(r.Tables)
	f.log.Info("tables in force", zap.Uint64("version", r.Tables.Version), zap.Uint64("before", before.Version),
		zap.Int("routes", len(r.Tables.Routes)), zap.Int("pools", len(r.Tables.Pools)))
}

// followRegister keeps the targets until the context ends.
func (f *follower) followRegister(ctx context.Context) {
	d := dependency{name: "register", log: f.log, reads: f.reads}
	book := registry.NewBook()
	for ctx.Err() == nil {
		entries, problems, err := f.source.Register()
		now := f.clock.Now()
		pause := d.read(now, err)
		if err == nil {
			f.noteProblems(problems)
			f.takeChanges(book, book.Take(now, entries))
			pause = registerEvery
		}
		next := now.Add(pause)
		if until, ok := book.WaitsUntil(); ok && until.Before(next) {
			f.sleep(ctx, until.Sub(now))
			f.takeChanges(book, book.Expire(f.clock.Now()))
		}
		f.sleep(ctx, next.Sub(f.clock.Now()))
	}
}

func (f *follower) noteProblems(problems []error) {
	for i, p := range problems {
		f.reads.WithLabelValues("entry", "unusable").Inc()
		if i < mostProblems {
			f.log.Debug("entry names no target", zap.Error(p))
		}
	}
}

// takeChanges puts what changed in the register in force.
func (f *follower) takeChanges(book *registry.Book, changes []registry.Change) {
	for _, c := range changes {
		f.log.Info("target "+c.Kind.String(), zap.String("target", c.ID), zap.String("service", c.Service),
			zap.Stringer("address", c.Addr), zap.Int64("born", c.Born), zap.Int64("sequence", c.Sequence))
	}
	if len(changes) == 0 && f.targets.Load() != nil {
		return
	}
	targets := book.Targets()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets.Store(&targets)
	f.place(f.Current())
}

// place hands the targets of the pools of some tables to the placement.
func (f *follower) place(all ...*table.Tables) {
	targets := f.targets.Load()
	if targets == nil {
		return
	}
	specs := map[string]placement.PoolSpec{}
	for _, t := range all {
		for name, pool := range t.Pools {
			specs[name] = placement.PoolSpec{HealthPath: pool.HealthPath, Targets: (*targets)[pool.Service]}
		}
	}
	f.placer.Update(specs)
}

func (f *follower) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}
