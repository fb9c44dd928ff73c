package balance

import (
	"math"
	"slices"
	"time"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// statsInterval is the time between two updates of the pool's statistics.
	statsInterval = 10 * time.Millisecond
	// subsetInterval is the time between two updates of the subset from the
	// membership.
	subsetInterval = time.Second
	// exclusiveRampStep is the interval at which a ramping target of an
	// exclusive pool may take one more concurrent request.
	exclusiveRampStep = 250 * time.Millisecond
	// defaultServiceTime is the assumed service time while no target has been
	// measured.
	defaultServiceTime = 20 * time.Millisecond
)

// refresh updates the pool statistics and the subset when they are due.
func (p *pool) refresh(now time.Time) {
	if p.statsAt.IsZero() || now.Sub(p.statsAt) >= statsInterval {
		p.statsAt = now
		p.stats = p.computeStats()
		p.connectionShare = connectionShare(p.connections, p.shareDivisor())
		for _, t := range p.targets {
			t.tracker.SetReportWeighting(p.stats.serviceTime, p.stats.trust)
		}
	}
	if p.useSubset && (p.subsetAt.IsZero() || now.Sub(p.subsetAt) >= subsetInterval) {
		p.subsetAt = now
		p.inSubset = p.computeSubset()
	}
}

// connectionShare returns the number of connections that one host may open to a
// target. Half of the target's connections are reserved for the host that owns
// its group (see package owner); the other half is divided among all hosts for
// direct dispatch.
func connectionShare(connections, hosts int) int {
	if connections <= 0 {
		return math.MaxInt
	}
	return max(connections/2/hosts, 1)
}

func (p *pool) computeStats() poolStats {
	var latencies, serviceTimes []time.Duration
	var failureRates []float64
	others, reporting, frozen := 0.0, 0, 0
	for _, t := range p.targets {
		failureRates = append(failureRates, t.health.failureRate)
		if d := t.tracker.Latency(); d > 0 {
			latencies = append(latencies, d)
		}
		if d := t.tracker.ServiceTime(); d > 0 {
			serviceTimes = append(serviceTimes, d)
		}
		if n, ok := t.tracker.MeanOthers(); ok {
			others += n
			reporting++
			if t.tracker.Frozen() {
				frozen++
			}
		}
	}
	out := poolStats{latency: median(latencies), serviceTime: median(serviceTimes), failureRate: median(failureRates)}
	out.trust = 1
	if reporting > 0 {
		out.others = others / float64(reporting)
		out.trust = max(1-frozenPenalty*float64(frozen)/float64(reporting), 0)
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

func (p *pool) computeSubset() []bool {
	if p.balancer.opts.Membership == nil {
		return nil
	}
	chosen := hostSubset(p.balancer.opts.Membership.LiveHosts(), addrs(p.targets), p.balancer.opts.Host)
	if chosen == nil {
		return nil
	}
	inSubset := make([]bool, len(p.targets))
	for _, i := range chosen {
		inSubset[i] = true
	}
	return inSubset
}

// markUsable fills p.usable with the targets that may receive new requests. When
// more than half of the targets that aren't draining are ejected or in a trial,
// those whose ejection ends first are used anyway, until half are usable. It also
// ejects unresponsive targets and starts the trials that are due.
func (p *pool) markUsable(now time.Time) {
	p.usable = p.usable[:0]
	active, usable := 0, 0
	for _, t := range p.targets {
		t.health.advance(now)
		if t.health.phase == ready && unresponsive(t.unansweredFor(now), p.stats) {
			p.eject(now, t)
		}
		draining := p.draining(now, t)
		ok := !draining && t.health.phase == ready && !t.rejection.restricted(now)
		p.usable = append(p.usable, ok)
		if !draining {
			active++
		}
		if ok {
			usable++
		}
	}
	for ; usable < (active+1)/2; usable++ {
		p.usable[p.earliestReturn(now)] = true
	}
}

// earliestReturn returns the position of the target whose ejection ends first
// among those that are neither draining nor usable. There must be one.
func (p *pool) earliestReturn(now time.Time) int {
	best := -1
	for i, t := range p.targets {
		if p.usable[i] || p.draining(now, t) {
			continue
		}
		if best < 0 || t.returnsAt(now).Before(p.targets[best].returnsAt(now)) {
			best = i
		}
	}
	return best
}

// trialTarget returns a target to try with no request of this host in flight, or nil.
// Retries aren't used for trials, and orders only where the target rejected requests:
// such an order has not run and may be sent elsewhere.
func (p *pool) trialTarget(q lb.PickQuery) *target {
	if len(q.Exclude) > 0 {
		return nil
	}
	for i, t := range p.targets {
		if p.usable[i] && t.health.phase != trial || t.tracker.Own > 0 || p.draining(q.Now, t) || !p.permitted(q.Now, t) {
			continue
		}
		if t.rejection.restricted(q.Now) {
			if t.health.phase != ejected && t.rejection.trialDue(q.Now) {
				t.rejection.trialSent(q.Now, p.balancer.shareDivisor())
				return t
			}
			continue
		}
		if t.health.phase == trial && (q.Class != table.Order || t.health.rejecting()) {
			return t
		}
	}
	return nil
}

// collectCandidates fills p.candidates with the targets that may receive the
// request. When there is none, it ignores the subset and the reduced share of
// ramping targets, and then also the connection share; in that case the caller
// of Pick has to respect the connection limit itself.
func (p *pool) collectCandidates(q lb.PickQuery) {
	steps := []func(int, *target) bool{
		func(i int, t *target) bool { return p.preferred(q.Now, i, t) },
		func(_ int, t *target) bool { return t.tracker.Own < p.connectionShare },
		func(int, *target) bool { return true },
	}
	for _, accept := range steps {
		if p.fillCandidates(q, accept); len(p.candidates) > 0 {
			return
		}
	}
}

func (p *pool) fillCandidates(q lb.PickQuery, accept func(int, *target) bool) {
	p.candidates = p.candidates[:0]
	for i, t := range p.targets {
		if !p.usable[i] || slices.Contains(q.Exclude, t.addr) || !accept(i, t) || !p.permitted(q.Now, t) {
			continue
		}
		p.candidates = append(p.candidates, p.newCandidate(q.Now, i, t))
	}
}

// preferred reports whether a target is in the subset, is below this host's
// connection share and, while it ramps up, is drawn at random with its weight.
// In an exclusive pool a ramping target instead takes a growing number of
// concurrent requests.
func (p *pool) preferred(now time.Time, i int, t *target) bool {
	if p.inSubset != nil && !p.inSubset[i] || t.tracker.Own >= p.connectionShare {
		return false
	}
	w := t.health.weight(now)
	if w >= 1 {
		return true
	}
	if p.exclusive {
		return t.tracker.Own <= int(now.Sub(t.health.rampStartedAt)/exclusiveRampStep)
	}
	return p.rng.Float64() < w
}

func (p *pool) newCandidate(now time.Time, i int, t *target) Candidate {
	estimate := t.tracker.Estimate(now, p.stats.others)
	done := t.tracker.Completion(estimate, p.serviceTime(t))
	return Candidate{
		Addr: t.addr, Position: i, Own: t.tracker.Own, Estimate: estimate,
		Completion: time.Duration(float64(done)/(1-min(t.health.failureRate, maxFailurePenalty))) + t.networkDelay,
	}
}

// serviceTime returns the expected service time of a target: its own when it is
// clearly longer than the pool's, otherwise the pool's, which is less noisy.
func (p *pool) serviceTime(t *target) time.Duration {
	own, pool := t.tracker.ServiceTime(), p.stats.serviceTime
	switch {
	case pool == 0 && own == 0:
		return defaultServiceTime
	case pool == 0:
		return own
	case own > ownServiceTimeFactor*pool:
		return own
	default:
		return pool
	}
}

// ownServiceTimeFactor is the multiple of the pool's service time above which a
// target's own service time is used.
const ownServiceTimeFactor = 2

// frozenPenalty is multiplied by the share of the pool's targets whose load
// reports are frozen and subtracted from the weight of all reports of the pool,
// because the reports may have a common faulty source.
const frozenPenalty = 2

// maxFailurePenalty bounds the failure rate that lengthens the expected
// completion time, which is divided by one minus that rate.
const maxFailurePenalty = 0.9
