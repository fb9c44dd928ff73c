package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// Options configure an Admission.
type Options struct {
	// Clock gives the time; nil selects the real clock.
	Clock clockwork.Clock
	// Membership gives the number of hosts that share the pools; nil means a
	// single host.
	Membership lb.Membership
	// NewLimiter creates the limiter of a pool from its starting limit, in
	// concurrent requests, and the latency inflation (Sample.Inflation) that it
	// tolerates; nil selects NewAIMD.
	NewLimiter func(limit, tolerance float64) Limiter
	// NewBatchLimiter creates the limiter of the batch class; nil selects
	// NewLimiter, or NewBatchAIMD when that is nil too.
	NewBatchLimiter func(limit, tolerance float64) Limiter
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// Capacity is the size of a pool.
type Capacity struct {
	Targets int
	// Slots is the number of requests that one target serves concurrently.
	Slots int
}

// defaultCapacity is assumed for a pool that no Update has listed yet.
var defaultCapacity = Capacity{Targets: 6, Slots: 2}

// Admission admits requests to pools. It implements lb.Admission and is
// safe for concurrent use.
type Admission struct {
	opts    Options
	metrics *metrics
	mu      sync.Mutex
	pools   sync.Map // pool name to *poolState
}

var _ lb.Admission = (*Admission)(nil)

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

// Update sets the capacities of the pools and removes pools that are not
// listed. Requests queued or in flight in a removed pool are unaffected.
func (a *Admission) Update(pools map[string]Capacity) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pools.Range(func(name, _ any) bool {
		if _, ok := pools[name.(string)]; !ok {
			a.pools.Delete(name)
		}
		return true
	})
	for name, size := range pools {
		s := a.pool(name)
		s.mu.Lock()
		s.slots = size.Targets * size.Slots
		s.controller.setBounds(newBounds(s.slots, a.hosts()))
		s.mu.Unlock()
	}
}

func (a *Admission) hosts() int {
	if a.opts.Membership == nil {
		return 1
	}
	return a.opts.Membership.ShareDivisor()
}

func (a *Admission) pool(pool string) *poolState {
	if s, ok := a.pools.Load(pool); ok {
		return s.(*poolState)
	}
	slots := defaultCapacity.Targets * defaultCapacity.Slots
	hosts := a.hosts()
	fresh := &poolState{
		admission: a, metrics: a.metrics.pool(pool), slots: slots, hostCount: hosts,
		controller: newController(newBounds(slots, hosts), a.opts.NewLimiter, a.opts.NewBatchLimiter),
	}
	s, _ := a.pools.LoadOrStore(pool, fresh)
	return s.(*poolState)
}

// Admit waits for a permit until ctx ends or the request can no longer meet
// its deadline. It returns either a permit or a refusal.
func (a *Admission) Admit(ctx context.Context, q lb.AdmitQuery) (lb.Permit, *lb.Refusal) {
	arrived := a.opts.Clock.Now()
	s := a.pool(q.Pool)
	w := &waiter{
		class: classIndex(q.Class), caller: q.Caller, deadline: q.Deadline,
		decided: make(chan struct{}),
	}
	s.run(func(c *controller) []*waiter { return c.arrive(arrived, w) })
	s.wait(ctx, w)
	waited := a.opts.Clock.Now().Sub(arrived)
	if w.refusal != nil {
		s.metrics.refused(w.class, q.Caller, w.refusal.Reason)
		return nil, w.refusal
	}
	s.metrics.admitted(w.class, q.Caller, waited)
	return &permit{pool: s, class: w.class}, nil
}

// poolState is the admission state of one pool, under its own lock.
type poolState struct {
	admission  *Admission
	metrics    *poolMetrics
	mu         sync.Mutex
	controller *controller
	slots      int
	// hostCount is the number of hosts from which the bounds were derived.
	hostCount int
}

// run calls f under the lock and wakes the waiters that it returns. It first
// updates the bounds when the number of hosts has changed.
func (s *poolState) run(f func(*controller) []*waiter) {
	s.mu.Lock()
	if hosts := s.admission.hosts(); hosts != s.hostCount {
		s.hostCount = hosts
		s.controller.setBounds(newBounds(s.slots, hosts))
	}
	decided := f(s.controller)
	s.metrics.observe(s.controller)
	s.mu.Unlock()
	for _, w := range decided {
		close(w.decided)
	}
}

// wait blocks until w is granted or refused.
func (s *poolState) wait(ctx context.Context, w *waiter) {
	for {
		select {
		case <-w.decided:
			return
		default:
		}
		timer := s.admission.opts.Clock.NewTimer(s.nextTick(w))
		select {
		case <-w.decided:
		case <-ctx.Done():
			s.abandon(ctx, w)
		case <-timer.Chan():
			now := s.admission.opts.Clock.Now()
			s.run(func(c *controller) []*waiter { return c.tick(now) })
		}
		timer.Stop()
	}
}

func (s *poolState) nextTick(w *waiter) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controller.nextWake(s.admission.opts.Clock.Now(), w)
}

// abandon refuses a waiter whose context ended, unless it was granted or
// refused before.
func (s *poolState) abandon(ctx context.Context, w *waiter) {
	reason := outcome.CallerGone
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = outcome.DeadlinePassed
	}
	s.run(func(c *controller) []*waiter {
		if !c.cancel(w) {
			return nil
		}
		return []*waiter{w.refuse(reason, 0)}
	})
	<-w.decided
}

// permit implements lb.Permit.
type permit struct {
	pool     *poolState
	class    int
	released atomic.Bool
}

// Release returns the permit and reports the result of its request; later
// calls do nothing.
func (p *permit) Release(now time.Time, r lb.Result) {
	if p.released.CompareAndSwap(false, true) {
		p.pool.run(func(c *controller) []*waiter { return c.release(now, p.class, r) })
	}
}

// Status is the admission state of one pool for status pages.
type Status struct {
	Limit      float64 `json:"limit"`
	BatchLimit float64 `json:"batch_limit"`
	InFlight   int     `json:"in_flight"`
	Queued     int     `json:"queued"`
}

// Status returns the state of a pool; ok is false when the pool is unknown.
func (a *Admission) Status(pool string) (st Status, ok bool) {
	v, ok := a.pools.Load(pool)
	if !ok {
		return Status{}, false
	}
	s := v.(*poolState)
	now := a.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Limit: s.controller.totalLimiter.Limit(), BatchLimit: s.controller.batchLimit(now),
		InFlight: s.controller.totalGate.inFlight, Queued: s.controller.queue.Len(),
	}, true
}
