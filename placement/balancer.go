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
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/hedge"
	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/registry"
)

const (
	// DefaultTargetsQueried is the number of targets that are queried for one
	// request.
	DefaultTargetsQueried = 5
	// DefaultMaxQueriesPerSecond bounds the load queries a second to one
	// target.
	DefaultMaxQueriesPerSecond = 20.0
	// reportWait bounds the wait for reports: several round trips to a target
	// in another failure domain, short against a request's service time.
	reportWait = 12 * time.Millisecond
	// noTargetRetryAfter is the Retry-After while a pool has no target: by then
	// the registry has been read again.
	noTargetRetryAfter = 500 * time.Millisecond
	// malformedLogInterval is the time between two log lines about malformed
	// headers of targets.
	malformedLogInterval = 10 * time.Second
)

// Options configure a Balancer. LoadQuerier is required.
type Options struct {
	LoadQuerier LoadQuerier
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// Regions are the regions of the failure domains of targets.
	Regions map[string]string
	// ParseLoad parses the load reports in responses; nil ignores them.
	ParseLoad func(text string) (load.Report, error)
	// TargetsQueried is the number of targets that are queried for one request;
	// 0 selects DefaultTargetsQueried.
	TargetsQueried int
	// MaxQueriesPerSecond bounds the load queries a second to one target by all
	// hosts together; 0 selects
	// DefaultMaxQueriesPerSecond.
	MaxQueriesPerSecond float64
	// QueryAllowance returns what this host may send of the load queries to a
	// partition of a pool; the partition's number counts from 1. nil stands for all of
	// them.
	QueryAllowance func(pool string, partition int) QueryAllowance
	// Reach knows whether this host reaches a pool; nil stands for always. A failure of
	// a host that reaches no target says nothing about the target.
	Reach Reachability
	// Seed makes the random choices repeatable.
	Seed uint64
	// Logger logs refusals; nil logs none.
	Logger *zap.Logger
	// Clock is the clock of all decisions; nil selects the real one.
	Clock clockwork.Clock
	// Registerer registers the metrics; nil exports none.
	Registerer prometheus.Registerer
}

// Balancer places requests by fresh load reports. It implements
// lb.QueueingBalancer and is safe for concurrent use.
type Balancer struct {
	opts    Options
	metrics *metrics
	pools   atomic.Pointer[map[string]partitions]
	// poolsByAddr holds the pool of each target's address.
	poolsByAddr atomic.Pointer[map[netip.AddrPort]string]
	// asked holds what targets asked all hosts for.
	asked *backpressure.Book
	fleet atomic.Pointer[Fleet]
	// malformedLog bounds the log lines about malformed headers of targets.
	malformedLog rate.Sometimes
	// warmupLog bounds the log lines about warm-ups.
	warmupLog *rate.Limiter
	// unfinishableLog and overServedLog bound the log lines about refused orders that no
	// target is expected to finish and refused requests of over-served workspaces.
	unfinishableLog, overServedLog *rate.Limiter
	// queriesPerTarget bounds the load queries a second to one target by all
	// hosts together.
	queriesPerTarget atomic.Pointer[float64]
	// extraAttempts is the operator's limit on copies of requests.
	extraAttempts atomic.Pointer[hedge.Limit]
	// mu serializes updates of pools.
	mu sync.Mutex
}

var _ lb.QueueingBalancer = (*Balancer)(nil)

// New returns a balancer without pools. It fails when Options.LoadQuerier is
// nil or a metric can't be registered.
func New(o Options) (*Balancer, error) {
	if o.LoadQuerier == nil {
		return nil, errors.New("placement: Options.LoadQuerier is nil, expected a LoadQuerier to query the load of targets; no balancer was created")
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.TargetsQueried <= 0 {
		o.TargetsQueried = DefaultTargetsQueried
	}
	m, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, err
	}
	b := &Balancer{opts: o, metrics: m, asked: backpressure.NewBook(), malformedLog: rate.Sometimes{Interval: malformedLogInterval},
		warmupLog:       rate.NewLimiter(maxWarmupLogsPerSecond, warmupLogBurst),
		unfinishableLog: rate.NewLimiter(maxRefusalLines, maxRefusalLines), overServedLog: rate.NewLimiter(maxRefusalLines, maxRefusalLines)}
	b.pools.Store(&map[string]partitions{})
	b.poolsByAddr.Store(&map[netip.AddrPort]string{})
	b.SetFleet(soleHost{since: o.Clock.Now()})
	b.SetMaxQueriesPerSecond(o.MaxQueriesPerSecond)
	b.SetExtraAttempts(hedge.Limit{})
	return b, metric.Register(o.Registerer, "placement", rateLimitCollector{b})
}

// PoolSpec is a pool with its targets, from the configuration tables and the
// registry.
type PoolSpec struct {
	// HealthPath is the path of load queries; "" when the targets can't be
	// queried.
	HealthPath string
	// WarmupPerSecond is the number of requests a second that a cold target takes
	// from all hosts together; 0 sets no limit.
	WarmupPerSecond float64
	Targets         []registry.Target
	// Evacuated are the failure domains whose targets get no requests.
	Evacuated []string
	// Extended is the result of ExtensionInUse.
	Extended bool
}

// Update replaces the pools. State of targets that remain in their partition is
// kept.
func (b *Balancer) Update(specs map[string]PoolSpec) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.pools.Load()
	next := make(map[string]partitions, len(specs))
	for name, spec := range specs {
		next[name] = b.buildPartitions(name, old[name], spec)
	}
	b.pools.Store(&next)
	byAddr := indexByAddr(specs)
	b.poolsByAddr.Store(&byAddr)
	for name, ps := range old {
		for i, p := range ps {
			if i >= len(next[name]) {
				p.close()
			}
		}
	}
}

// Pick chooses by the state that is already known, without load queries.
func (b *Balancer) Pick(q lb.PickQuery) (lb.Attempt, bool) {
	p := (*b.pools.Load())[q.Pool].pickRandom()
	if p == nil {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t, v := p.best(q.Now, b.opts.FailureDomain, barred(lb.PlaceQuery{Exclude: q.Exclude}))
	if t == nil {
		return nil, false
	}
	return b.startAttempt(p, t, v, ""), true
}

// Place implements lb.QueueingBalancer.
func (b *Balancer) Place(ctx context.Context, q lb.PlaceQuery) (lb.Attempt, *lb.Refusal) {
	q.FailureDomain = cmp.Or(q.FailureDomain, b.opts.FailureDomain)
	for {
		p := (*b.pools.Load())[q.Pool].forQuery(q)
		if p == nil {
			return nil, b.refuse(q, outcome.NoTarget, noTargetRetryAfter)
		}
		if result := b.placeInPartition(ctx, p, q); !result.partitionClosed {
			return result.unpack()
		}
	}
}

// placeInPartition places a request in one partition of its pool.
func (b *Balancer) placeInPartition(ctx context.Context, p *partition, q lb.PlaceQuery) placeResult {
	if !q.Subsequent {
		p.countRequest(b.opts.Clock.Now(), q, *b.extraAttempts.Load())
	}
	if !p.hasWaiters() || q.Hedge {
		if result, done := b.queryAndPlace(ctx, p, q); done {
			return result
		}
	}
	w := &waiter{q: q, result: make(chan placeResult, 1)}
	if !b.enqueue(p, w) {
		return placeResult{partitionClosed: true}
	}
	select {
	case result := <-w.result:
		return result
	case <-ctx.Done():
		p.removeWaiter(w)
	}
	// The dispatcher may have placed it meanwhile.
	select {
	case result := <-w.result:
		return result
	default:
		return placeResult{refusal: b.refuse(q, outcome.DeadlinePassed, 0)}
	}
}

// queryAndPlace queries a few targets and decides at once; false when the
// request has to wait.
func (b *Balancer) queryAndPlace(ctx context.Context, p *partition, q lb.PlaceQuery) (placeResult, bool) {
	limitedCopy := b.isLimitedCopy(q)
	drawn := b.drawTargets(p, q)
	if limitedCopy {
		drawn = p.withTried(q, drawn)
	}
	candidates := b.refreshReports(ctx, p, drawn)
	now := b.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return placeResult{partitionClosed: true}, true
	}
	t, v := lo.Ternary(limitedCopy, p.chooseForCopy, p.chooseAmong)(now, candidates, q)
	return b.tryPlace(p, q, t, v, now, len(p.waiters))
}

// unpack returns the result in the form of lb.QueueingBalancer.
func (r placeResult) unpack() (lb.Attempt, *lb.Refusal) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	return r.attempt, nil
}

// recheckDelay returns the time until the targets are queried again for waiting
// requests; it is random so that hosts don't query in step.
func (b *Balancer) recheckDelay() time.Duration {
	return recheckInterval/2 + rand.N(recheckInterval)
}

func (b *Balancer) refuse(q lb.PlaceQuery, reason outcome.Reason, retryAfter time.Duration) *lb.Refusal {
	b.metrics.countRefusal(q.Pool, reason)
	return &lb.Refusal{Reason: reason, RetryAfter: retryAfter}
}

// startAttempt counts a call that is about to be sent. The caller holds the
// partition's lock.
func (b *Balancer) startAttempt(p *partition, t *target, v targetState, requestID string) *attempt {
	now := b.opts.Clock.Now()
	t.inFlight++
	t.sinceReport++
	if t.limiter != nil {
		t.limiter.Take(now, p.roleAt(now))
	}
	c := call{requestID: requestID, sentAt: now, expected: time.Duration(v.atUsualSpeed().durationFactor() * float64(p.serviceTimeLocked()))}
	if b.extraAttempts.Load().Enabled() {
		c.workBefore = t.work.read(now)
	}
	t.calls.begin(c)
	return &attempt{balancer: b, partition: p, target: t, call: c, basis: v.basis(), durationFactor: v.durationFactor()}
}

// attempt is one dispatched call; it implements lb.IdentifiedAttempt.
type attempt struct {
	balancer  *Balancer
	partition *partition
	target    *target
	basis     lb.SelectionBasis
	call      call
	// durationFactor is the expected time in multiples of the usual service
	// time.
	durationFactor float64
	ended          atomic.Bool
}

var (
	_ lb.IdentifiedAttempt = (*attempt)(nil)
	_ lb.ExplainedAttempt  = (*attempt)(nil)
)

// Target returns the address to send to.
func (a *attempt) Target() netip.AddrPort { return a.target.Addr }

// Identity returns the ID of the target.
func (a *attempt) Identity() string { return a.target.ID }

// Instance returns the process of the target that was chosen.
func (a *attempt) Instance() registry.Instance { return a.target.Instance }

// Pool returns the pool of the target.
func (a *attempt) Pool() string { return a.partition.pool }

// Basis returns the state that the choice was based on.
func (a *attempt) Basis() lb.SelectionBasis { return a.basis }

// Done ends the attempt; only the first call counts.
func (a *attempt) Done(now time.Time, f lb.Feedback) {
	if !a.ended.CompareAndSwap(false, true) {
		return
	}
	CheckFailure(a.balancer.opts.Reach, a.partition.pool, f, func(f lb.Feedback) { a.finish(now, f) })
}

func (a *attempt) finish(now time.Time, f lb.Feedback) {
	a.partition.recordEnd(now, a.target, a.call, a.durationFactor, f, a.balancer.parseReport(f))
}

// parseReport parses the load report of a response; nil when there is none or
// it is malformed.
func (b *Balancer) parseReport(f lb.Feedback) *load.Report {
	if b.opts.ParseLoad == nil || f.LoadReport == "" {
		return nil
	}
	r, err := b.opts.ParseLoad(f.LoadReport)
	if err != nil {
		b.metrics.countQuery(err)
		return nil
	}
	return &r
}

// TargetCount returns the number of targets of a pool that are not evacuated.
func (b *Balancer) TargetCount(pool string) int {
	return (*b.pools.Load())[pool].servingCount()
}

// DrawPartition picks a random partition of a pool to serve a request, weighted
// by target count. It returns the partition's number from 1, or 0 when the pool
// is unknown.
func (b *Balancer) DrawPartition(pool string) int {
	if p := (*b.pools.Load())[pool].pickRandom(); p != nil {
		return p.number
	}
	return 0
}

// TakesRequests reports whether an instance is among the targets of a pool and
// takes requests from this host.
func (b *Balancer) TakesRequests(pool string, instance registry.Instance) bool {
	p := (*b.pools.Load())[pool].ofTarget(instance.ID)
	return p != nil && p.takesRequests(b.opts.Clock.Now(), instance)
}

// RecordRemoteEnd records the end of a request that another host placed, so
// that this host knows the target's health and load in case it has to choose
// itself.
func (b *Balancer) RecordRemoteEnd(now time.Time, instance registry.Instance, f lb.Feedback) {
	report := b.parseReport(f)
	for _, ps := range *b.pools.Load() {
		if p := ps.ofTarget(instance.ID); p != nil && p.recordRemoteEnd(now, instance, f, report) {
			return
		}
	}
}
