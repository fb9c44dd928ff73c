package placement

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lb"
)

const (
	// crossDomainBytes is the size of a body that costs as much as the crossing of a
	// small request with its response of some 16 KiB.
	crossDomainBytes = 16 << 10
	// maxCrossDomainPenalty bounds the penalty of a large body to two requests in the
	// queue of a target of two slots.
	maxCrossDomainPenalty = 3.0
)

// domainPenalty is the penalty of a target in another failure domain for a request
// with a body of that size: the cost of traffic between domains is proportional to
// the bytes.
func domainPenalty(bodyBytes int64) float64 {
	return min(crossDomainPenalty*(1+float64(max(bodyBytes, 0))/crossDomainBytes), maxCrossDomainPenalty)
}

// roomOrder orders the targets for an upload: those of the own failure domain with
// room, then others with room, so that no upload waits for its domain, then those
// without room.
func (s targetState) roomOrder() int {
	switch {
	case !s.hasFreeSlot():
		return 2
	case s.crossDomain:
		return 1
	default:
		return 0
	}
}

// bestUpload returns the target for an upload and its state. The caller holds the
// lock.
func (p *partition) bestUpload(now time.Time, candidates []*target, q lb.PlaceQuery) (*target, targetState) {
	var best *target
	var bestState targetState
	for _, t := range candidates {
		v := p.state(now, t, q.FailureDomain)
		v.bodyBytes = q.BodyBytes
		better := best == nil || v.roomOrder() < bestState.roomOrder() ||
			v.roomOrder() == bestState.roomOrder() && v.cost() < bestState.cost()
		if better {
			best, bestState = t, v
		}
	}
	return best, bestState
}

// bestFor returns the best of the candidates for a request and its state. The
// caller holds the lock.
func (p *partition) bestFor(now time.Time, candidates []*target, q lb.PlaceQuery) (*target, targetState) {
	if p.heldBack(q) {
		candidates = p.finishing(now, candidates, q)
	}
	if q.BodyBytes > 0 {
		return p.bestUpload(now, candidates, q)
	}
	return p.bestOf(now, candidates, q.FailureDomain)
}

// chooseAmong returns the best target for a request of those that were just
// queried, or of all when none of these may be chosen or is expected to finish it.
// For an upload, all targets count whose load is known if none that was queried has
// room in the own failure domain. The caller holds the lock.
func (p *partition) chooseAmong(now time.Time, candidates []*target, q lb.PlaceQuery) (*target, targetState) {
	candidates = lo.Filter(candidates, func(t *target, _ int) bool { return p.permitted(now, t) })
	t, v := p.bestFor(now, candidates, q)
	if t == nil || p.unfinishable(now, q, v) {
		return p.chooseAny(now, q)
	}
	if q.BodyBytes <= 0 || v.roomOrder() == 0 {
		return t, v
	}
	if other, state := p.chooseAny(now, q); other != nil && state.roomOrder() < v.roomOrder() && !p.unfinishable(now, q, state) {
		return other, state
	}
	return t, v
}

// chooseAny returns the best target for a request of all. The caller holds the lock.
func (p *partition) chooseAny(now time.Time, q lb.PlaceQuery) (*target, targetState) {
	return p.bestFor(now, p.knownTargets(now, barred(q)), q)
}

// drawnFromDomain is the number of targets in the own failure domain of n that are
// drawn for a request: half of them, rounded up, and for an upload all but one.
func drawnFromDomain(n int, q lb.PlaceQuery) int {
	if q.BodyBytes > 0 {
		return max(n-1, 1)
	}
	return (n + 1) / 2
}

// DrawUploadPartition is DrawPartition for a request with a large body: the
// partitions are weighted by their targets in a failure domain, if there are any.
func (b *Balancer) DrawUploadPartition(pool, domain string) int {
	ps := (*b.pools.Load())[pool]
	local := lo.Map(ps, func(p *partition, _ int) int { return p.targetsIn(domain) })
	if lo.Sum(local) == 0 {
		return b.DrawPartition(pool)
	}
	rest := rand.N(lo.Sum(local))
	for i, n := range local {
		if rest < n {
			return ps[i].number
		}
		rest -= n
	}
	return 0
}

// targetsIn returns the number of targets in a failure domain that get requests.
func (p *partition) targetsIn(domain string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.CountBy(p.targets, func(t *target) bool { return t.FailureDomain == domain && !t.evacuated })
}
