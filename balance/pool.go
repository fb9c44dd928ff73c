package balance

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/table"
)

// pool holds the targets of one pool, their state and the pool's policy. mu guards
// everything below it.
type pool struct {
	name              string
	balancer          *Balancer
	attemptsByVerdict map[lb.Verdict]prometheus.Counter

	mu    sync.Mutex
	slots int
	// connections is PoolSpec.Connections, and connectionShare the number that
	// this host may open to each target.
	connections, connectionShare int

	exclusive  bool
	policyName string
	useSubset  bool
	policy     Policy
	rng        *rand.Rand
	// targets is sorted by address.
	targets []*target
	stats   poolStats
	// inSubset tells by position which targets are in this host's subset; nil
	// means all.
	inSubset []bool
	// statsAt and subsetAt are the times when stats and inSubset were computed.
	statsAt, subsetAt time.Time
	// lastPick is the time of the last request, lastForeground that of the last
	// lookup or order.
	lastPick, lastForeground time.Time
	// usable and candidates are buffers that pick reuses.
	usable     []bool
	candidates []Candidate
	// permits estimates the wait while all usable targets are cold.
	permits permitQueue
	// behindOthers is true while a target is chosen for a request that may take no
	// permit because others wait for one.
	behindOthers bool
}

func newPool(name string, balancer *Balancer) *pool {
	key := xxhash.Sum64String(balancer.opts.Host + "/" + name)
	p := &pool{
		name:              name,
		balancer:          balancer,
		attemptsByVerdict: make(map[lb.Verdict]prometheus.Counter, len(verdictNames)),
		rng:               rand.New(rand.NewPCG(balancer.opts.Seed, key)),
	}
	for v, label := range verdictNames {
		p.attemptsByVerdict[v] = balancer.metrics.attempts.WithLabelValues(name, label)
	}
	return p
}

var verdictNames = map[lb.Verdict]string{
	lb.Succeeded: "succeeded", lb.Failed: "failed", lb.Shed: "shed",
	lb.TimedOut: "timed-out", lb.Abandoned: "abandoned",
}

// update applies a new spec and keeps the state of targets that remain. Targets
// added to a pool that already had some start with a small share and ramp up.
func (p *pool) update(now time.Time, spec PoolSpec, policyName string, f policyFactory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots = spec.Slots
	if p.slots <= 0 {
		p.slots = DefaultSlots
	}
	p.connections, p.exclusive = spec.Connections, spec.Exclusive
	if p.policyName != policyName {
		p.policyName, p.policy, p.useSubset = policyName, f.newPolicy(), f.useSubset
	}
	known := lo.KeyBy(p.targets, func(t *target) netip.AddrPort { return t.addr })
	unique := lo.UniqBy(spec.Targets, func(t table.Target) netip.AddrPort { return t.Addr })
	p.targets = lo.Map(unique, func(s table.Target, _ int) *target {
		t, ok := known[s.Addr]
		if !ok {
			t = &target{addr: s.Addr, tracker: load.NewTracker(p.slots)}
			if len(known) > 0 {
				t.health.rampStartedAt = now
			}
		}
		t.tracker.Slots = p.slots
		t.rejection = p.balancer.rejections.of(s.Addr)
		t.failureDomain, t.networkDelay = s.FailureDomain, p.balancer.networkDelay(s.FailureDomain)
		t.cold = p.balancer.cold.find(s.Addr)
		t.drainListed = slices.Contains(spec.Drain, s.Addr)
		return t
	})
	slices.SortFunc(p.targets, func(a, b *target) int { return a.addr.Compare(b.addr) })
	p.statsAt, p.subsetAt = time.Time{}, time.Time{}
}

// shareDivisor returns the number of hosts that share the targets.
func (p *pool) shareDivisor() int {
	if p.exclusive {
		return 1
	}
	return p.balancer.shareDivisor()
}

func (p *pool) pick(q lb.PickQuery) (*attempt, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pickLocked(q, 0)
}

// pickLocked selects a target for a request with a place among those that wait for a
// permit, 0 for none. The caller holds the lock.
func (p *pool) pickLocked(q lb.PickQuery, ticket uint64) (*attempt, bool) {
	p.behindOthers = p.permits.ahead(ticket) > 0
	p.refresh(q.Now)
	p.lastPick = q.Now
	if q.Class != table.Batch {
		p.lastForeground = q.Now
	}
	t := p.chooseWithPermit(q)
	if t == nil {
		return nil, false
	}
	a := &attempt{pool: p, target: t, sent: q.Now, measured: p.measuresLatency(q)}
	t.addAttempt(q.Now, a, t.tracker.Estimate(q.Now, p.stats.others))
	return a, true
}

// foregroundWindow is the time after the last lookup or order during which the
// latency of batch requests isn't measured.
const foregroundWindow = 10 * time.Second

// measuresLatency reports whether the latency of a request counts for its target.
// Batch requests may legitimately take long, so they count only in pools that
// serve nothing else.
func (p *pool) measuresLatency(q lb.PickQuery) bool {
	return q.Class != table.Batch || q.Now.Sub(p.lastForeground) >= foregroundWindow
}

// choose returns the target for a request, or nil when there is none.
func (p *pool) choose(q lb.PickQuery) *target {
	p.markUsable(q.Now)
	if t := p.trialTarget(q); t != nil {
		return t
	}
	p.collectCandidates(q)
	if len(p.candidates) == 0 {
		return nil
	}
	i := p.policy.Choose(q.Now, p.candidates, p.rng)
	return p.targets[p.candidates[i].Position]
}

func (p *pool) draining(now time.Time, t *target) bool {
	return t.drainListed || p.balancer.drains.draining(now, t.addr)
}

func (p *pool) done(now time.Time, a *attempt, f lb.Feedback) {
	if c, ok := p.attemptsByVerdict[f.Verdict]; ok {
		c.Inc()
	}
	if f.Draining {
		p.balancer.recordDrain(now, a.target.addr)
	}
	if p.record(now, a, f) && p.balancer.opts.OnRejection != nil {
		p.balancer.opts.OnRejection()
	}
}

// record records the result of an attempt. It returns true when other hosts should be
// told of a target that rejects all requests or does so no longer.
func (p *pool) record(now time.Time, a *attempt, f lb.Feedback) (news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	t := a.target
	news = p.recordResult(now, a, f.Verdict)
	t.endAttempt(now, a, f, p.stats)
	if f.ConnectFailed && t.cold != nil {
		t.cold.markUnread(now, false)
	}
	p.updateHealth(now, t)
	if f.Verdict == lb.Shed && p.reportRejections(now, t) {
		news = true
	}
	if f.LoadReport != "" {
		p.observe(now, t)
	}
	return news
}

// updateHealth ejects a target that fails, is slow or is unresponsive compared
// with its pool, and ends a successful trial.
func (p *pool) updateHealth(now time.Time, t *target) {
	if t.health.phase == ejected {
		t.health.extendEjection(now)
		return
	}
	slowNow := t.health.slow(t.tracker.Latency(), t.tracker.Samples(), p.stats)
	if t.health.failing(p.stats) || slowNow || unresponsive(t.unansweredFor(now), p.stats) {
		p.eject(now, t)
		return
	}
	if t.health.endTrial(now) {
		p.balancer.availabilityGeneration.Add(1)
	}
}

func (p *pool) eject(now time.Time, t *target) {
	t.health.eject(now, p.shareDivisor(), p.rng)
	t.tracker.ResetLatency()
	p.balancer.metrics.ejections.WithLabelValues(p.name).Inc()
	p.balancer.availabilityGeneration.Add(1)
}

// observe passes a load report that has just arrived to a policy that implements
// Observer, unless the target's reports have lost more than half of their weight.
func (p *pool) observe(now time.Time, t *target) {
	o, ok := p.policy.(Observer)
	n, age := t.tracker.LastReport(now)
	if !ok || n == load.Absent || age > 0 || t.tracker.Trust() < 0.5 {
		return
	}
	o.Observe(Observation{Addr: t.addr, At: now, InFlight: n, Latency: t.tracker.Latency()})
}

func (p *pool) find(addr netip.AddrPort) *target {
	i, ok := slices.BinarySearchFunc(p.targets, addr, func(t *target, a netip.AddrPort) int { return t.addr.Compare(a) })
	if !ok {
		return nil
	}
	return p.targets[i]
}

func (p *pool) states(now time.Time) []TargetState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.Map(p.targets, func(t *target, _ int) TargetState {
		state := t.stateName(now)
		switch {
		case p.draining(now, t):
			state = StateDraining
		case t.rejection.restricted(now):
			state = StateEjected
		}
		var limit backpressure.Limit
		var warmupLeft time.Duration
		if t.cold != nil {
			limit, warmupLeft = t.cold.status(now)
		}
		return TargetState{
			Addr: t.addr, FailureDomain: t.failureDomain, State: state, InFlight: t.tracker.Own,
			Estimate: t.tracker.Estimate(now, p.stats.others), Trust: t.tracker.Trust(),
			Latency: t.tracker.Latency(), FailureRate: t.health.failureRate,
			RateLimit: limit.PerSecond, LimitReason: limit.Reason.String(), WarmupLeft: warmupLeft,
		}
	})
}
