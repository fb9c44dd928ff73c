package placement

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/hedge"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// SetExtraAttempts changes the operator's limit on copies of requests; the zero value
// leaves them to the retry budget of the hosts.
func (b *Balancer) SetExtraAttempts(l hedge.Limit) { b.extraAttempts.Store(&l) }

// isLimitedCopy reports whether a query is for the copy of a request under the operator's
// limit.
func (b *Balancer) isLimitedCopy(q lb.PlaceQuery) bool {
	return q.Hedge && b.extraAttempts.Load().Enabled()
}

// refuseCopy decides about the copy of a request under the operator's limit: it is
// refused while requests wait for room, since it would take a slot from a first
// attempt, for a target that takes few requests now, where it is not expected to help,
// and beyond the limit. The coordinator of a partition decides for all hosts, so that
// the limit holds over them together. It returns nil when the copy may be sent. The
// caller holds the lock.
func (b *Balancer) refuseCopy(p *partition, q lb.PlaceQuery, t *target, v targetState, now time.Time) *lb.Refusal {
	if !b.isLimitedCopy(q) {
		return nil
	}
	limit := *b.extraAttempts.Load()
	result := "sent"
	switch {
	case len(p.waiters) > 0:
		result = "requests-wait"
	case v.cold || t.limiter != nil:
		result = "target-limited"
	case !v.hasFreeSlot() || v.durationFactor() > maxHedgeDurationFactor:
		result = "no-free-target"
	default:
		if refusal := p.copyOf(now, q, v).Refusal(); refusal != "" {
			result = string(refusal)
		} else if !p.extraAttempts.Withdraw(now, limit, 1/float64(b.partitionCount(p.pool))) {
			result = "limit-reached"
		}
	}
	b.metrics.extraAttempts.WithLabelValues(p.pool, result).Inc()
	if result == "sent" {
		return nil
	}
	return b.refuse(q, outcome.QueueFull, 0)
}

// copyOf returns what is known of a copy for a target in state v. The caller holds the
// lock.
func (p *partition) copyOf(now time.Time, q lb.PlaceQuery, v targetState) hedge.Copy {
	c := hedge.Copy{Factor: v.durationFactor(), Utilization: p.utilization(now)}
	for _, t := range p.triedTargets(q) {
		first, ok := lo.Find(t.calls.running, func(c call) bool { return c.requestID == q.RequestID })
		reported := t.report.Slowdown > 0 && now.Sub(t.reportAt) < maxReportAge
		if !ok || !reported || first.requestID == "" || first.expected <= 0 {
			continue
		}
		s := p.state(now, t, q.FailureDomain)
		// durationFactor is for a further request, and this one is counted already.
		s.outstanding = max(s.outstanding-1, 0)
		c.First = &hedge.First{Progress: float64(t.work.read(now)-first.workBefore) / float64(first.expected), Factor: s.durationFactor()}
	}
	return c
}

// utilization returns the part of the slots in use at the targets whose load is known.
// The caller holds the lock.
func (p *partition) utilization(now time.Time) float64 {
	inUse, slots := 0, 0
	for _, t := range p.knownTargets(now, nil) {
		v := p.state(now, t, "")
		inUse += min(v.outstanding, v.slots)
		slots += v.slots
	}
	return float64(inUse) / float64(max(slots, 1))
}

// triedTargets returns the targets that a request has been sent to. The caller holds the
// lock.
func (p *partition) triedTargets(q lb.PlaceQuery) []*target {
	return lo.Filter(p.targets, func(t *target, _ int) bool { return slices.Contains(q.Exclude, t.Addr) })
}

// withTried adds the targets to which the request of a copy has been sent to those that
// are queried for it, so that their slowdown is known.
func (p *partition) withTried(q lb.PlaceQuery, drawn []*target) []*target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(drawn, p.triedTargets(q)...)
}

// chooseForCopy returns the target for a copy and its state: the best with a free slot
// that reports no slowdown now, or the best of all. The caller holds the lock.
func (p *partition) chooseForCopy(now time.Time, candidates []*target, q lb.PlaceQuery) (*target, targetState) {
	bars := barred(q)
	candidates = lo.Reject(candidates, func(t *target, _ int) bool { return bars(t) })
	for _, from := range [][]*target{candidates, p.knownTargets(now, bars)} {
		fast := lo.Filter(from, func(t *target, _ int) bool {
			v := p.state(now, t, q.FailureDomain)
			return p.permitted(now, t) && v.hasFreeSlot() && v.slowdown <= 1 && !v.cold && v.durationFactor() <= maxHedgeDurationFactor
		})
		if t, v := p.bestFor(now, fast, q); t != nil {
			return t, v
		}
	}
	return p.chooseAmong(now, candidates, q)
}

// partitionCount returns the number of partitions of a pool, at least 1.
func (b *Balancer) partitionCount(pool string) int { return max(len((*b.pools.Load())[pool]), 1) }
