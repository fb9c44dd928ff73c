package balance

import (
	"math"
	"slices"
	"time"

	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// typicalInterval is the time between two looks at the pool's medians.
	typicalInterval = 10 * time.Millisecond
	// subsetInterval is the time between two looks at the membership.
	subsetInterval = time.Second
	// exclusiveRampStep is the time after which a ramping target of an
	// exclusive pool takes one request more at once.
	exclusiveRampStep = 250 * time.Millisecond
	// unknownService is assumed while no target has been measured.
	unknownService = 20 * time.Millisecond
)

// refresh derives what is compared against.
func (p *pool) refresh(now time.Time) {
	if p.typicalAt.IsZero() || now.Sub(p.typicalAt) >= typicalInterval {
		p.typicalAt = now
		p.typical = p.deriveTypical()
		p.share = connectionShare(p.connections, p.hosts())
		for _, t := range p.targets {
			t.know.Remember(p.typical.service, p.typical.trust)
		}
	}
	if p.subset && (p.mineAt.IsZero() || now.Sub(p.mineAt) >= subsetInterval) {
		p.mineAt = now
		p.mine = p.deriveSubset()
	}
}

// connectionShare is the number of connections that one host may open. Half
// of a target's connections are its owner's, the other half is divided among
// all hosts for direct dispatch.
func connectionShare(connections, hosts int) int {
	if connections <= 0 {
		return math.MaxInt
	}
	return max(connections/2/hosts, 1)
}

func (p *pool) deriveTypical() typical {
	var latencies, services []time.Duration
	var fails []float64
	others, reporting, frozen := 0.0, 0, 0
	for _, t := range p.targets {
		fails = append(fails, t.health.fails)
		if d := t.know.Latency(); d > 0 {
			latencies = append(latencies, d)
		}
		if d := t.know.Service(); d > 0 {
			services = append(services, d)
		}
		if n, ok := t.know.MeanOthers(); ok {
			others += n
			reporting++
			if t.know.Frozen() {
				frozen++
			}
		}
	}
	out := typical{latency: median(latencies), service: median(services), fails: median(fails)}
	out.trust = 1
	if reporting > 0 {
		out.others = others / float64(reporting)
		out.trust = max(1-frozenCost*float64(frozen)/float64(reporting), 0)
	}
	return out
}

func median[T time.Duration | float64](xs []T) T {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return xs[(len(xs)-1)/2]
}

func (p *pool) deriveSubset() []bool {
	if p.owner.opts.Membership == nil {
		return nil
	}
	chosen := subsets(p.owner.opts.Membership.Hosts(), addrs(p.targets), p.owner.opts.Host)
	if chosen == nil {
		return nil
	}
	mine := make([]bool, len(p.targets))
	for _, i := range chosen {
		mine[i] = true
	}
	return mine
}

// mark fills p.usable with the targets that may take new work. When more than
// half of those that stay are set aside, the least bad are used all the same.
func (p *pool) mark(now time.Time) {
	p.usable = p.usable[:0]
	staying, usable := 0, 0
	for _, t := range p.targets {
		t.health.advance(now)
		if t.health.phase == ready && stuck(t.silence(now), p.typical) {
			p.setAside(now, t)
		}
		leaving := p.leaving(now, t)
		ok := !leaving && t.health.phase == ready
		p.usable = append(p.usable, ok)
		if !leaving {
			staying++
		}
		if ok {
			usable++
		}
	}
	for ; usable < (staying+1)/2; usable++ {
		p.usable[p.leastBad(now)] = true
	}
}

// leastBad returns the position of the target whose time set aside ends first
// among those that stay and aren't usable; one exists.
func (p *pool) leastBad(now time.Time) int {
	best := -1
	for i, t := range p.targets {
		if p.usable[i] || p.leaving(now, t) {
			continue
		}
		if best < 0 || t.health.until.Before(p.targets[best].health.until) {
			best = i
		}
	}
	return best
}

// trialTarget returns a target in its trial that is due a call. Orders and
// further attempts aren't used for trials.
func (p *pool) trialTarget(q ports.PickQuery) *target {
	if q.Class == table.Order || len(q.Exclude) > 0 {
		return nil
	}
	for _, t := range p.targets {
		if t.health.phase == trial && t.know.Own == 0 && !p.leaving(q.Now, t) {
			return t
		}
	}
	return nil
}

// collect fills p.candidates with the targets that may take the request. When
// there is none, the subset and the share of ramping targets are left aside,
// then the share of connections, which the caller of Pick then meets itself.
func (p *pool) collect(q ports.PickQuery) {
	steps := []func(int, *target) bool{
		func(i int, t *target) bool { return p.narrowed(q.Now, i, t) },
		func(_ int, t *target) bool { return t.know.Own < p.share },
		func(int, *target) bool { return true },
	}
	for _, accept := range steps {
		if p.fill(q, accept); len(p.candidates) > 0 {
			return
		}
	}
}

func (p *pool) fill(q ports.PickQuery, accept func(int, *target) bool) {
	p.candidates = p.candidates[:0]
	for i, t := range p.targets {
		if !p.usable[i] || slices.Contains(q.Exclude, t.addr) || !accept(i, t) {
			continue
		}
		p.candidates = append(p.candidates, p.candidate(q.Now, i, t))
	}
}

// narrowed reports whether a target is in the subset, has a connection left
// for this host and, while it ramps, is drawn for this request. Where all
// requests pass this host, a ramping target takes a growing number at once.
func (p *pool) narrowed(now time.Time, i int, t *target) bool {
	if p.mine != nil && !p.mine[i] || t.know.Own >= p.share {
		return false
	}
	w := t.health.weight(now)
	if w >= 1 {
		return true
	}
	if p.exclusive {
		return t.know.Own <= int(now.Sub(t.health.rampFrom)/exclusiveRampStep)
	}
	return p.rng.Float64() < w
}

func (p *pool) candidate(now time.Time, i int, t *target) Candidate {
	estimate := t.know.Estimate(now, p.typical.others)
	done := t.know.Completion(estimate, p.service(t))
	return Candidate{
		Addr: t.addr, Position: i, Own: t.know.Own, Estimate: estimate,
		Completion: time.Duration(float64(done)/(1-min(t.health.fails, maxFailPenalty))) + t.network,
	}
}

// service returns the service time expected of a target: its own where it
// differs clearly, else the pool's, whose noise is less.
func (p *pool) service(t *target) time.Duration {
	own, pool := t.know.Service(), p.typical.service
	switch {
	case pool == 0 && own == 0:
		return unknownService
	case pool == 0:
		return own
	case own > serviceMargin*pool:
		return own
	default:
		return pool
	}
}

// serviceMargin times the pool's service time is the one from which a target's
// own counts.
const serviceMargin = 2

// frozenCost times the share of a pool's targets that repeat their reports is
// taken off the weight of all reports of the pool, as their common source may
// be at fault.
const frozenCost = 2

// maxFailPenalty bounds the failure share by which an expected answer recedes.
const maxFailPenalty = 0.9
