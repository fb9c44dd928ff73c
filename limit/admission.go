package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
)

// Options configure an Admission.
type Options struct {
	// Clock gives the time; nil selects the real clock.
	Clock clockwork.Clock
	// Membership tells the number of hosts; nil stands for one host alone.
	Membership ports.Membership
	// NewLimiter makes the limiter of a pool from its starting limit and the
	// inflation of latency that it tolerates; nil selects AIMD.
	NewLimiter func(limit, tolerance float64) Limiter
	// NewBatchLimiter makes the limiter of batch; nil selects NewLimiter, or an
	// AIMD that gives way faster when that is nil too.
	NewBatchLimiter func(limit, tolerance float64) Limiter
	// Registerer takes the metrics; nil keeps none.
	Registerer prometheus.Registerer
}

// Capacity is the size of a pool.
type Capacity struct {
	Targets int
	// Slots is the number of requests that a target serves at once.
	Slots int
}

// defaultCapacity is assumed for a pool that Update hasn't named yet.
var defaultCapacity = Capacity{Targets: 6, Slots: 2}

// Admission admits requests to pools. It implements ports.Admission and is
// safe for concurrent use.
type Admission struct {
	opts    Options
	metrics *metrics
	mu      sync.Mutex
	shards  sync.Map // pool name to *shard
}

var _ ports.Admission = (*Admission)(nil)

// New returns an Admission without pools.
func New(o Options) (*Admission, error) {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.NewBatchLimiter == nil {
		o.NewBatchLimiter = o.NewLimiter
	}
	if o.NewBatchLimiter == nil {
		o.NewBatchLimiter = func(limit, tolerance float64) Limiter { return NewBatchAIMD(limit, tolerance) }
	}
	if o.NewLimiter == nil {
		o.NewLimiter = func(limit, tolerance float64) Limiter { return NewAIMD(limit, tolerance) }
	}
	m, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, err
	}
	return &Admission{opts: o, metrics: m}, nil
}

// Update sets the sizes of the pools and forgets pools that are gone; what
// waits or runs there ends as it would have.
func (a *Admission) Update(pools map[string]Capacity) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shards.Range(func(name, _ any) bool {
		if _, ok := pools[name.(string)]; !ok {
			a.shards.Delete(name)
		}
		return true
	})
	for name, size := range pools {
		s := a.shard(name)
		s.mu.Lock()
		s.slots = size.Targets * size.Slots
		s.core.rebound(newBounds(s.slots, a.hosts()))
		s.mu.Unlock()
	}
}

func (a *Admission) hosts() int {
	if a.opts.Membership == nil {
		return 1
	}
	return a.opts.Membership.ShareCount()
}

func (a *Admission) shard(pool string) *shard {
	if s, ok := a.shards.Load(pool); ok {
		return s.(*shard)
	}
	slots := defaultCapacity.Targets * defaultCapacity.Slots
	hosts := a.hosts()
	fresh := &shard{
		owner: a, metrics: a.metrics.pool(pool), slots: slots, shared: hosts,
		core: newCore(newBounds(slots, hosts), a.opts.NewLimiter, a.opts.NewBatchLimiter),
	}
	s, _ := a.shards.LoadOrStore(pool, fresh)
	return s.(*shard)
}

// Admit waits for a permit until the context ends or the request can no
// longer meet its deadline.
func (a *Admission) Admit(ctx context.Context, q ports.AdmitQuery) (ports.Permit, *ports.Refusal) {
	arrived := a.opts.Clock.Now()
	s := a.shard(q.Pool)
	w := &waiter{
		class: classNumber(q.Class), caller: q.Caller, deadline: q.Deadline,
		decided: make(chan struct{}),
	}
	s.run(func(c *core) []*waiter { return c.arrive(arrived, w) })
	s.wait(ctx, w)
	waited := a.opts.Clock.Now().Sub(arrived)
	if w.refusal != nil {
		s.metrics.refused(w.class, q.Caller, w.refusal.Reason)
		return nil, w.refusal
	}
	s.metrics.admitted(w.class, q.Caller, waited)
	return &permit{shard: s, class: w.class}, nil
}

// shard is one pool with its own lock.
type shard struct {
	owner   *Admission
	metrics *poolMetrics
	mu      sync.Mutex
	core    *core
	slots   int
	// shared is the number of hosts that the bounds were derived from.
	shared int
}

// run calls the core under the lock and wakes those it has decided.
func (s *shard) run(f func(*core) []*waiter) {
	s.mu.Lock()
	if hosts := s.owner.hosts(); hosts != s.shared {
		s.shared = hosts
		s.core.rebound(newBounds(s.slots, hosts))
	}
	decided := f(s.core)
	s.metrics.observe(s.core)
	s.mu.Unlock()
	for _, w := range decided {
		close(w.decided)
	}
}

// wait returns once the waiter is decided.
func (s *shard) wait(ctx context.Context, w *waiter) {
	for {
		select {
		case <-w.decided:
			return
		default:
		}
		timer := s.owner.opts.Clock.NewTimer(s.nextTick(w))
		select {
		case <-w.decided:
		case <-ctx.Done():
			s.abandon(ctx, w)
		case <-timer.Chan():
			now := s.owner.opts.Clock.Now()
			s.run(func(c *core) []*waiter { return c.tick(now) })
		}
		timer.Stop()
	}
}

func (s *shard) nextTick(w *waiter) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.wake(s.owner.opts.Clock.Now(), w)
}

// abandon refuses a waiter whose context ended, unless it was decided before.
func (s *shard) abandon(ctx context.Context, w *waiter) {
	reason := outcome.CallerGone
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = outcome.DeadlinePassed
	}
	s.run(func(c *core) []*waiter {
		if !c.cancel(w) {
			return nil
		}
		return []*waiter{w.refuse(reason, 0)}
	})
	<-w.decided
}

// permit implements ports.Permit.
type permit struct {
	shard    *shard
	class    int
	released atomic.Bool
}

// Release gives the permit back; later calls do nothing.
func (p *permit) Release(now time.Time, r ports.Result) {
	if p.released.CompareAndSwap(false, true) {
		p.shard.run(func(c *core) []*waiter { return c.release(now, p.class, r) })
	}
}

// Status describes one pool for status pages.
type Status struct {
	Limit      float64 `json:"limit"`
	BatchLimit float64 `json:"batch_limit"`
	InFlight   int     `json:"in_flight"`
	Queued     int     `json:"queued"`
}

// Status returns the state of a pool; ok is false when it is unknown.
func (a *Admission) Status(pool string) (st Status, ok bool) {
	v, ok := a.shards.Load(pool)
	if !ok {
		return Status{}, false
	}
	s := v.(*shard)
	now := a.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Limit: s.core.total.Limit(), BatchLimit: s.core.batchLimit(now),
		InFlight: s.core.all.inFlight, Queued: s.core.queue.Len(),
	}, true
}
