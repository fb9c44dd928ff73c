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

	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/table"
)

// pool is one shard: the targets of one pool, their state and its policy.
type pool struct {
	name  string
	owner *Balancer
	ended map[ports.Verdict]prometheus.Counter

	mu    sync.Mutex
	slots int
	// connections is that of the spec, and share this host's part of it.
	connections, share int

	exclusive  bool
	policyName string
	subset     bool
	policy     Policy
	rng        *rand.Rand
	// targets is sorted by address.
	targets []*target
	typical typical
	// mine holds the subset of this host by position, nil for all targets.
	mine []bool
	// typicalAt and mineAt are when typical and mine were derived.
	typicalAt, mineAt time.Time
	// lastPick is the time of the last request, foreground that of the last
	// lookup or order.
	lastPick, foreground time.Time
	// usable and candidates are scratch space of pick.
	usable     []bool
	candidates []Candidate
}

func newPool(name string, owner *Balancer) *pool {
	key := xxhash.Sum64String(owner.opts.Host + "/" + name)
	p := &pool{
		name:  name,
		owner: owner,
		ended: make(map[ports.Verdict]prometheus.Counter, len(verdictNames)),
		rng:   rand.New(rand.NewPCG(owner.opts.Seed, key)),
	}
	for v, label := range verdictNames {
		p.ended[v] = owner.metrics.ended.WithLabelValues(name, label)
	}
	return p
}

var verdictNames = map[ports.Verdict]string{
	ports.Succeeded: "succeeded", ports.Failed: "failed", ports.Shed: "shed",
	ports.TimedOut: "timed-out", ports.Abandoned: "abandoned",
}

// update takes over a new spec and keeps what is known of targets that stay.
// Targets that join a pool which had some start with a small share.
func (p *pool) update(now time.Time, spec PoolSpec, policyName string, d design) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots = spec.Slots
	if p.slots <= 0 {
		p.slots = DefaultSlots
	}
	p.connections, p.exclusive = spec.Connections, spec.Exclusive
	if p.policyName != policyName {
		p.policyName, p.policy, p.subset = policyName, d.build(), d.subset
	}
	known := lo.KeyBy(p.targets, func(t *target) netip.AddrPort { return t.addr })
	unique := lo.UniqBy(spec.Targets, func(t table.Target) netip.AddrPort { return t.Addr })
	p.targets = lo.Map(unique, func(s table.Target, _ int) *target {
		t, ok := known[s.Addr]
		if !ok {
			t = &target{addr: s.Addr, know: load.NewKnowledge(p.slots)}
			if len(known) > 0 {
				t.health.rampFrom = now
			}
		}
		t.know.Slots = p.slots
		t.domain, t.network = s.FailureDomain, p.owner.distance(s.FailureDomain)
		t.drained = slices.Contains(spec.Drain, s.Addr)
		return t
	})
	slices.SortFunc(p.targets, func(a, b *target) int { return a.addr.Compare(b.addr) })
	p.typicalAt, p.mineAt = time.Time{}, time.Time{}
}

// hosts is the number of hosts that share the targets.
func (p *pool) hosts() int {
	if p.exclusive {
		return 1
	}
	return p.owner.hosts()
}

func (p *pool) pick(q ports.PickQuery) (*attempt, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(q.Now)
	p.lastPick = q.Now
	if q.Class != table.Batch {
		p.foreground = q.Now
	}
	t := p.choose(q)
	if t == nil {
		return nil, false
	}
	a := &attempt{pool: p, target: t, sent: q.Now, measured: p.measures(q)}
	t.send(q.Now, a, t.know.Estimate(q.Now, p.typical.others))
	return a, true
}

// foregroundMemory is the time after the last lookup or order from which batch
// is measured.
const foregroundMemory = 10 * time.Second

// measures reports whether the latency of a request speaks of its target.
// Batch takes its own time, and is measured only in pools that serve no other.
func (p *pool) measures(q ports.PickQuery) bool {
	return q.Class != table.Batch || q.Now.Sub(p.foreground) >= foregroundMemory
}

// choose returns the target of a request, nil when there is none.
func (p *pool) choose(q ports.PickQuery) *target {
	p.mark(q.Now)
	if t := p.trialTarget(q); t != nil {
		return t
	}
	p.collect(q)
	if len(p.candidates) == 0 {
		return nil
	}
	i := p.policy.Choose(q.Now, p.candidates, p.rng)
	return p.targets[p.candidates[i].Position]
}

func (p *pool) leaving(now time.Time, t *target) bool {
	return t.drained || p.owner.drains.leaving(now, t.addr)
}

func (p *pool) done(now time.Time, a *attempt, d ports.Feedback) {
	if c, ok := p.ended[d.Verdict]; ok {
		c.Inc()
	}
	if d.Draining {
		p.owner.learnDrain(now, a.target.addr)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	t := a.target
	t.end(now, a, d, p.typical)
	p.judge(now, t)
	if d.LoadReport != "" {
		p.observe(now, t)
	}
}

// judge sets a target aside that fails or lags behind its pool, and ends a
// trial that went well.
func (p *pool) judge(now time.Time, t *target) {
	if t.health.phase == aside {
		t.health.prolong(now)
		return
	}
	slowNow := t.health.slow(t.know.Latency(), t.know.Samples(), p.typical)
	if t.health.failing(p.typical) || slowNow || stuck(t.silence(now), p.typical) {
		p.setAside(now, t)
		return
	}
	if t.health.recover(now) {
		p.owner.changes.Add(1)
	}
}

func (p *pool) setAside(now time.Time, t *target) {
	t.health.setAside(now, p.hosts(), p.rng)
	t.know.ForgetLatency()
	p.owner.metrics.setAside.WithLabelValues(p.name).Inc()
	p.owner.changes.Add(1)
}

// observe shows the last report of a target to a policy that learns.
func (p *pool) observe(now time.Time, t *target) {
	o, ok := p.policy.(Observer)
	n, age := t.know.Reported(now)
	if !ok || n == load.Absent || age > 0 || t.know.Trust() < 0.5 {
		return
	}
	o.Observe(Answer{Addr: t.addr, At: now, InFlight: n, Latency: t.know.Latency()})
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
		if p.leaving(now, t) {
			state = StateLeaving
		}
		return TargetState{
			Addr: t.addr, FailureDomain: t.domain, State: state, InFlight: t.know.Own,
			Estimate: t.know.Estimate(now, p.typical.others), Trust: t.know.Trust(),
			Latency: t.know.Latency(), FailureShare: t.health.fails,
		}
	})
}
