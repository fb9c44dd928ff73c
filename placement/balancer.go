package placement

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/registry"
)

const (
	// DefaultAsked is the number of targets that are asked for a request.
	DefaultAsked = 5
	// askTimeout bounds the wait for reports: several times the way to a
	// target in another failure domain, short against a request's work.
	askTimeout = 12 * time.Millisecond
	// noTargetReturn is what a caller is asked to wait while a pool has no
	// target: a register reading away.
	noTargetReturn = 500 * time.Millisecond
)

// Options configure a Balancer. Asker is required.
type Options struct {
	Asker Asker
	// FailureDomain is where this host stands.
	FailureDomain string
	// ParseLoad reads the reports on answers; nil reads none.
	ParseLoad func(text string) (load.Report, error)
	// Asked is the number of targets that are asked for a request; 0 selects
	// DefaultAsked.
	Asked int
	// Seed makes choices repeatable.
	Seed uint64
	// Clock is the clock of decisions; nil selects the real one.
	Clock clockwork.Clock
	// Registerer takes the metrics; nil keeps none.
	Registerer prometheus.Registerer
}

// Balancer places requests by fresh reports. It implements ports.Placer and
// is safe for concurrent use.
type Balancer struct {
	opts    Options
	metrics *metrics
	pools   atomic.Pointer[map[string]*pool]
	// mu orders updates.
	mu sync.Mutex
}

var _ ports.Placer = (*Balancer)(nil)

// New returns a balancer without pools.
func New(o Options) (*Balancer, error) {
	if o.Asker == nil {
		return nil, errors.New("placement: Asker is required")
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Asked <= 0 {
		o.Asked = DefaultAsked
	}
	m, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, err
	}
	b := &Balancer{opts: o, metrics: m}
	b.pools.Store(&map[string]*pool{})
	return b, nil
}

// PoolSpec is a pool as the tables and the register name it.
type PoolSpec struct {
	HealthPath string
	Targets    []registry.Target
}

// Update sets the pools. What is known of targets that stay is kept.
func (b *Balancer) Update(specs map[string]PoolSpec) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.pools.Load()
	next := make(map[string]*pool, len(specs))
	for name, spec := range specs {
		p := old[name]
		if p == nil {
			p = &pool{rng: rand.New(rand.NewPCG(b.opts.Seed, uint64(len(name))))}
		}
		p.update(spec.HealthPath, spec.Targets)
		next[name] = p
	}
	b.pools.Store(&next)
}

// Pick chooses by what is known already, without asking.
func (b *Balancer) Pick(q ports.PickQuery) (ports.Attempt, bool) {
	p := (*b.pools.Load())[q.Pool]
	if p == nil {
		return nil, false
	}
	t, v := p.choose(q.Now, p.candidates(q.Now, b.opts.Asked, b.opts.FailureDomain, q.Exclude), b.opts.FailureDomain)
	if t == nil {
		return nil, false
	}
	return b.dispatch(p, t, v), true
}

// Place implements ports.Placer.
func (b *Balancer) Place(ctx context.Context, q ports.PlaceQuery) (ports.Attempt, *ports.Refusal) {
	p := (*b.pools.Load())[q.Pool]
	if p == nil {
		return nil, b.refuse(q, outcome.NoTarget, noTargetReturn)
	}
	for looks := 0; ; looks++ {
		t, v := b.look(ctx, p, q.Exclude)
		if t == nil {
			return nil, b.refuse(q, outcome.NoTarget, noTargetReturn)
		}
		s := situation{
			now: b.opts.Clock.Now(), received: q.Received, deadline: q.Deadline,
			objective: q.Route.Objective, work: p.usualWork(), beside: q.Beside, best: v,
		}
		switch s.decide() {
		case send:
			b.metrics.placed(q.Pool, s.now.Sub(q.Received))
			return b.dispatch(p, t, v), nil
		case refuse:
			return nil, b.refuse(q, outcome.QueueFull, s.comeBack())
		}
		select {
		case <-ctx.Done():
			return nil, b.refuse(q, outcome.DeadlinePassed, 0)
		case <-b.opts.Clock.After(b.pause()):
		}
	}
}

// pause spreads the looks of waiting requests.
func (b *Balancer) pause() time.Duration {
	return askAgain/2 + rand.N(askAgain)
}

func (b *Balancer) refuse(q ports.PlaceQuery, reason outcome.Reason, after time.Duration) *ports.Refusal {
	b.metrics.refused(q.Pool, reason)
	return &ports.Refusal{Reason: reason, RetryAfter: after}
}

// look asks a few targets and returns the best of those that answered in time.
func (b *Balancer) look(ctx context.Context, p *pool, exclude []netip.AddrPort) (*target, view) {
	now := b.opts.Clock.Now()
	among := p.candidates(now, b.opts.Asked, b.opts.FailureDomain, exclude)
	if len(among) == 0 {
		return nil, view{}
	}
	answered := b.ask(ctx, p, among)
	if len(answered) == 0 {
		answered = among
	}
	return p.choose(b.opts.Clock.Now(), answered, b.opts.FailureDomain)
}

// ask returns the targets whose reports are fresh after asking the others.
func (b *Balancer) ask(ctx context.Context, p *pool, among []*target) []*target {
	path, silent := p.asks()
	if silent {
		return among
	}
	now := b.opts.Clock.Now()
	fresh, old := lo.FilterReject(among, func(t *target, _ int) bool { return p.fresh(now, t) })
	if len(old) == 0 {
		return fresh
	}
	// A question outlives the wait for it: its answer may serve others.
	askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), questionTimeout)
	answers := make(chan *target, len(old))
	var all sync.WaitGroup
	for _, t := range old {
		all.Go(func() { answers <- b.question(askCtx, p, t, path) })
	}
	go func() { all.Wait(); cancel() }()
	late := b.opts.Clock.NewTimer(askTimeout)
	defer late.Stop()
	for range old {
		select {
		case t := <-answers:
			if t != nil {
				fresh = append(fresh, t)
			}
		case <-late.Chan():
			return fresh
		case <-ctx.Done():
			return fresh
		}
	}
	return fresh
}

// questionTimeout bounds one question; its connection is closed then.
const questionTimeout = 250 * time.Millisecond

// question asks one target; it returns nil when the target may not be chosen.
func (b *Balancer) question(ctx context.Context, p *pool, t *target, path string) *target {
	r, err := b.opts.Asker.Ask(ctx, t.Target, path)
	b.metrics.asked(err)
	switch {
	case errors.Is(err, ErrSilent):
		p.noteSilent()
		return t
	case err != nil:
		return nil
	}
	p.take(b.opts.Clock.Now(), t, r)
	return t
}

func (b *Balancer) dispatch(p *pool, t *target, v view) *attempt {
	p.send(t)
	return &attempt{balancer: b, pool: p, target: t, cost: v.cost()}
}

// attempt is one dispatch; it implements ports.IdentifiedAttempt.
type attempt struct {
	balancer *Balancer
	pool     *pool
	target   *target
	cost     float64
	ended    atomic.Bool
}

var _ ports.IdentifiedAttempt = (*attempt)(nil)

// Target returns the address to send to.
func (a *attempt) Target() netip.AddrPort { return a.target.Addr }

// Identity returns the name of the target.
func (a *attempt) Identity() string { return a.target.ID }

// Done ends the attempt; only the first call counts.
func (a *attempt) Done(now time.Time, f ports.Feedback) {
	if !a.ended.CompareAndSwap(false, true) {
		return
	}
	var report *load.Report
	if parse := a.balancer.opts.ParseLoad; parse != nil && f.LoadReport != "" {
		if r, err := parse(f.LoadReport); err == nil {
			report = &r
		}
	}
	a.pool.ended(now, a.target, a.cost, f, report)
}
