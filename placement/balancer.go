package placement

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/registry"
)

const (
	// DefaultAsked is the number of targets that are asked for a request.
	DefaultAsked = 5
	// DefaultQuestions is the bound of questions a second to one target.
	DefaultQuestions = 20.0
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
	// QuestionsPerSecond bounds the questions to one target, all hosts
	// together; 0 selects DefaultQuestions.
	QuestionsPerSecond float64
	// Share is this host's share of the questions about a part of a pool; nil
	// is all.
	Share func(pool string, part int) float64
	// Seed makes choices repeatable.
	Seed uint64
	// Logger writes refusals; nil writes none.
	Logger *zap.Logger
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
	pools   atomic.Pointer[map[string]division]
	// questions is the bound of questions a second to one target.
	questions atomic.Pointer[float64]
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
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Asked <= 0 {
		o.Asked = DefaultAsked
	}
	m, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, err
	}
	b := &Balancer{opts: o, metrics: m}
	b.pools.Store(&map[string]division{})
	b.SetQuestions(o.QuestionsPerSecond)
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
	next := make(map[string]division, len(specs))
	for name, spec := range specs {
		next[name] = b.divide(name, old[name], spec)
	}
	b.pools.Store(&next)
	for name, d := range old {
		for i, p := range d {
			if i >= len(next[name]) {
				p.close()
			}
		}
	}
}

// Pick chooses by what is known already, without asking.
func (b *Balancer) Pick(q ports.PickQuery) (ports.Attempt, bool) {
	p := (*b.pools.Load())[q.Pool].any()
	if p == nil {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t, v := p.best(q.Now, b.opts.FailureDomain, q.Exclude)
	if t == nil {
		return nil, false
	}
	return b.sendTo(p, t, v), true
}

// Place implements ports.Placer.
func (b *Balancer) Place(ctx context.Context, q ports.PlaceQuery) (ports.Attempt, *ports.Refusal) {
	q.FailureDomain = cmp.Or(q.FailureDomain, b.opts.FailureDomain)
	for {
		p := (*b.pools.Load())[q.Pool].part(q.Part)
		if p == nil {
			return nil, b.refuse(q, outcome.NoTarget, noTargetReturn)
		}
		if result := b.placeIn(ctx, p, q); !result.moved {
			return result.give()
		}
	}
}

// placeIn places a request in a part of its pool.
func (b *Balancer) placeIn(ctx context.Context, p *pool, q ports.PlaceQuery) placed {
	if !q.Further {
		p.asked(b.opts.Clock.Now(), q.Route.Rank)
	}
	if !p.crowded() || q.Beside {
		if result, done := b.placeNow(ctx, p, q); done {
			return result
		}
	}
	w := &waiter{q: q, placed: make(chan placed, 1)}
	if !b.enqueue(p, w) {
		return placed{moved: true}
	}
	select {
	case result := <-w.placed:
		return result
	case <-ctx.Done():
		p.leave(w)
	}
	// The dispatcher may have placed it meanwhile.
	select {
	case result := <-w.placed:
		return result
	default:
		return placed{refusal: b.refuse(q, outcome.DeadlinePassed, 0)}
	}
}

// placeNow asks a few targets and decides, unless the request has to wait.
func (b *Balancer) placeNow(ctx context.Context, p *pool, q ports.PlaceQuery) (placed, bool) {
	among := b.ask(ctx, p, b.draw(p, q.FailureDomain, q.Exclude))
	now := b.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return placed{moved: true}, true
	}
	t, v := p.bestOf(now, among, q.FailureDomain)
	return b.settle(p, q, t, v, now)
}

// give returns the result in the form of ports.Placer.
func (r placed) give() (ports.Attempt, *ports.Refusal) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	return r.attempt, nil
}

// pause spreads the looks of waiting requests.
func (b *Balancer) pause() time.Duration {
	return askAgain/2 + rand.N(askAgain)
}

func (b *Balancer) refuse(q ports.PlaceQuery, reason outcome.Reason, after time.Duration) *ports.Refusal {
	b.metrics.refused(q.Pool, reason)
	return &ports.Refusal{Reason: reason, RetryAfter: after}
}

// sendTo counts a call that is about to be sent. The caller holds the pool's
// lock.
func (b *Balancer) sendTo(p *pool, t *target, v view) *attempt {
	t.inFlight++
	t.sinceReport++
	s := sent{at: b.opts.Clock.Now(), expected: time.Duration(v.usual().duration() * float64(p.usualWorkLocked()))}
	t.track.begin(s)
	return &attempt{balancer: b, pool: p, target: t, sent: s, basis: v.basis(), duration: v.duration()}
}

// attempt is one dispatch; it implements ports.IdentifiedAttempt.
type attempt struct {
	balancer *Balancer
	pool     *pool
	target   *target
	basis    ports.Basis
	sent     sent
	// duration is the expected time in multiples of usual work.
	duration float64
	ended    atomic.Bool
}

var (
	_ ports.IdentifiedAttempt = (*attempt)(nil)
	_ ports.ReasonedAttempt   = (*attempt)(nil)
)

// Target returns the address to send to.
func (a *attempt) Target() netip.AddrPort { return a.target.Addr }

// Identity returns the name of the target.
func (a *attempt) Identity() string { return a.target.ID }

// Instance returns the target's run.
func (a *attempt) Instance() registry.Instance { return a.target.Instance }

// Basis returns what the choice rested on.
func (a *attempt) Basis() ports.Basis { return a.basis }

// Done ends the attempt; only the first call counts.
func (a *attempt) Done(now time.Time, f ports.Feedback) {
	if !a.ended.CompareAndSwap(false, true) {
		return
	}
	a.pool.ended(now, a.target, a.sent, a.duration, f, a.balancer.report(f))
}

// report reads the load report of an answer; nil when there is none.
func (b *Balancer) report(f ports.Feedback) *load.Report {
	if b.opts.ParseLoad == nil || f.LoadReport == "" {
		return nil
	}
	r, err := b.opts.ParseLoad(f.LoadReport)
	if err != nil {
		b.metrics.asked(err)
		return nil
	}
	return &r
}

// Size is the number of targets of a pool.
func (b *Balancer) Size(pool string) int {
	return (*b.pools.Load())[pool].size()
}

// Draw draws the part of a pool that should serve a request, by the number of
// their targets; 0 when the pool has none.
func (b *Balancer) Draw(pool string) int {
	if p := (*b.pools.Load())[pool].any(); p != nil {
		return p.part
	}
	return 0
}

// Uses reports whether an instance is among the targets of a pool.
func (b *Balancer) Uses(pool string, at registry.Instance) bool {
	p := (*b.pools.Load())[pool].of(at.ID)
	return p != nil && p.uses(at)
}

// Observe takes the end of a request that another host placed: its target's
// health and load are known here as well, in case this host has to choose.
func (b *Balancer) Observe(now time.Time, at registry.Instance, f ports.Feedback) {
	report := b.report(f)
	for _, d := range *b.pools.Load() {
		if p := d.of(at.ID); p != nil && p.observe(now, at, f, report) {
			return
		}
	}
}
