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

	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/table"
)

// pool is one shard: the targets of one pool, their state and its policy.
type pool struct {
	name  string
	owner *Balancer
	ended map[ports.Verdict]prometheus.Counter

	mu         sync.Mutex
	slots      int
	policyName string
	policy     Policy
	rng        *rand.Rand
	// targets is sorted by address.
	targets []*target
	// candidates is scratch space of pick.
	candidates []Candidate
}

// target is what a shard knows of one target.
type target struct {
	addr     netip.AddrPort
	domain   string
	drained  bool
	inFlight int
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
func (p *pool) update(_ time.Time, spec PoolSpec, policyName string, fresh Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots = spec.Slots
	if p.slots <= 0 {
		p.slots = DefaultSlots
	}
	if p.policyName != policyName {
		p.policyName, p.policy = policyName, fresh
	}
	known := lo.KeyBy(p.targets, func(t *target) netip.AddrPort { return t.addr })
	unique := lo.UniqBy(spec.Targets, func(t table.Target) netip.AddrPort { return t.Addr })
	p.targets = lo.Map(unique, func(s table.Target, _ int) *target {
		t, ok := known[s.Addr]
		if !ok {
			t = &target{addr: s.Addr}
		}
		t.domain = s.FailureDomain
		t.drained = slices.Contains(spec.Drain, s.Addr)
		return t
	})
	slices.SortFunc(p.targets, func(a, b *target) int { return a.addr.Compare(b.addr) })
}

func (p *pool) pick(q ports.PickQuery) (*attempt, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collect(q)
	if len(p.candidates) == 0 {
		return nil, false
	}
	i := p.policy.Choose(q.Now, p.candidates, p.rng)
	t := p.targets[p.candidates[i].Position]
	t.inFlight++
	return &attempt{pool: p, target: t, sent: q.Now}, true
}

// collect fills p.candidates with the targets that may take the request.
func (p *pool) collect(q ports.PickQuery) {
	p.candidates = p.candidates[:0]
	for i, t := range p.targets {
		if p.leaving(q.Now, t) || slices.Contains(q.Exclude, t.addr) {
			continue
		}
		p.candidates = append(p.candidates, Candidate{Addr: t.addr, Position: i, Own: t.inFlight})
	}
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
	a.target.inFlight--
}

func (p *pool) states(now time.Time) []TargetState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.Map(p.targets, func(t *target, _ int) TargetState {
		state := "ready"
		if p.leaving(now, t) {
			state = "leaving"
		}
		return TargetState{Addr: t.addr, FailureDomain: t.domain, State: state, InFlight: t.inFlight}
	})
}
