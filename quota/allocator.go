package quota

import (
	"time"
)

const (
	// wholeQuota is the number of units of a quota: parts are whole numbers, so that
	// adding and removing them leaves no rounding error.
	wholeQuota = 1 << 50
	// maxCredit bounds the unused time that counts for a new bucket: longer than any
	// burst takes to fill.
	maxCredit = time.Minute
	// emptyRetention is how long buckets are kept without a delegation: a quota host
	// that hosts leave and come back to must not get new buckets.
	emptyRetention = 2 * time.Second
	// maxBuckets bounds the workspaces of one shard.
	maxBuckets = 16384
	// idleRetention is how long an unused bucket is kept that is not full, and
	// dividedRetention one whose tokens lapse.
	idleRetention    = 10 * time.Minute
	dividedRetention = 10 * time.Second
	// settleTime is how long the fraction delegated to a new quota host grows.
	settleTime = 2 * delegationValidity
)

// part returns the part of each quota that one of n hosts owns.
func part(n int) uint64 { return wholeQuota / uint64(max(n, 1)) }

// allocator grants tokens of the workspaces of one shard at their quota host. It
// does no I/O and reads no clock.
type allocator struct {
	delegations map[string]received
	// expiries are the ends of all delegations in the order of their receipt, which
	// is that of their ends.
	expiries []expiry
	total    uint64
	// at is the time up to which the allocator has advanced.
	at time.Time
	// accrued is the delegated fraction, integrated over time in seconds; credit is
	// the part of it that still counts for a workspace without a bucket.
	accrued, credit float64
	// filledAt is when the first delegation arrived, emptiedAt when the last one
	// ended.
	filledAt, emptiedAt time.Time
	// ignoreUntil is until when delegations are dropped because they may have
	// arrived while the process was paused.
	ignoreUntil time.Time
	buckets     map[string]*bucket
}

type received struct {
	until time.Time
	part  uint64
}

type expiry struct {
	host  string
	until time.Time
}

func newAllocator() *allocator {
	return &allocator{delegations: map[string]received{}, buckets: map[string]*bucket{}}
}

// fraction returns the part of each quota that is delegated now.
func (a *allocator) fraction() float64 { return min(float64(a.total)/wholeQuota, 1) }

// advance applies the time that has passed. After a pause of the process, other
// hosts may have left this quota host meanwhile, so that nothing it knew counts.
func (a *allocator) advance(now time.Time) {
	if gap := now.Sub(a.at); !a.at.IsZero() && gap > minDrainGap {
		if gap > maxStepGap {
			*a = *newAllocator()
		}
		a.ignoreUntil = now.Add(drainTime)
	}
	for len(a.expiries) > 0 && !a.expiries[0].until.After(now) {
		e := a.expiries[0]
		a.expiries = a.expiries[1:]
		a.integrate(e.until)
		if d := a.delegations[e.host]; d.part > 0 && !d.until.After(e.until) {
			delete(a.delegations, e.host)
			a.setTotal(e.until, a.total-d.part)
		}
	}
	a.integrate(now)
	if a.total == 0 && !a.emptiedAt.IsZero() && now.Sub(a.emptiedAt) > emptyRetention {
		clear(a.buckets)
		a.emptiedAt = time.Time{}
	}
}

func (a *allocator) integrate(until time.Time) {
	if elapsed := until.Sub(a.at).Seconds(); !a.at.IsZero() && elapsed > 0 {
		f := a.fraction()
		a.accrued += f * elapsed
		a.credit = min(a.credit+f*elapsed, f*maxCredit.Seconds())
	}
	if until.After(a.at) {
		a.at = until
	}
}

// setTotal changes the delegated part; the credit shrinks with it.
func (a *allocator) setTotal(now time.Time, total uint64) {
	switch {
	case a.total == 0 && total > 0:
		a.filledAt = now
	case total == 0:
		a.emptiedAt = now
	}
	if total < a.total {
		a.credit *= float64(total) / float64(a.total)
	}
	a.total = total
}

// delegate records that a host delegated its part, that of one of n hosts.
func (a *allocator) delegate(now time.Time, host string, n int) {
	a.advance(now)
	if now.Before(a.ignoreUntil) {
		return
	}
	d := received{until: now.Add(delegationValidity), part: part(n)}
	total := a.total - a.delegations[host].part + d.part
	a.delegations[host] = d
	a.expiries = append(a.expiries, expiry{host, d.until})
	a.setTotal(now, total)
}

// tokenQuery asks for a token.
type tokenQuery struct {
	workspace string
	terms
	// maxWait is how long the request may wait for its token.
	maxWait time.Duration
	// bridged is the number of requests that the asking host admitted without a
	// token since the last answer.
	bridged int
	// phase is uniform over [0, 1).
	phase float64
}

// verdict says what became of a tokenQuery.
type verdict uint8

const (
	// granted means that the request may run after decision.wait.
	granted verdict = iota + 1
	// refused means that there is no token in time; the next one comes after
	// decision.wait.
	refused
	// unready means that no host has delegated anything to the quota host yet.
	unready
)

// decision is the answer to a tokenQuery.
type decision struct {
	verdict verdict
	wait    time.Duration
	// fraction and tokens are the state that the decision was based on.
	fraction, tokens float64
}

// take grants or refuses a token.
func (a *allocator) take(now time.Time, q tokenQuery) decision {
	a.advance(now)
	f := a.fraction()
	if f == 0 {
		return decision{verdict: unready}
	}
	b := a.bucket(now, q)
	if b == nil {
		return decision{verdict: refused, wait: delegationValidity, fraction: f}
	}
	b.usedAt = now
	b.tokens -= float64(q.bridged)
	d := decision{verdict: granted, wait: b.untilToken(f), fraction: f, tokens: b.tokens}
	if d.wait <= min(q.maxWait, maxReservation) {
		b.tokens--
		return d
	}
	d.verdict = refused
	if now.Sub(a.filledAt) < settleTime {
		// More hosts are about to delegate their parts.
		d.wait = min(d.wait, delegationValidity)
	}
	return d
}

// bucket returns the bucket of a query's workspace, filled up to now, with the
// newest terms known; nil when there are too many workspaces.
func (a *allocator) bucket(now time.Time, q tokenQuery) *bucket {
	f := a.fraction()
	b := a.buckets[q.workspace]
	if b == nil {
		if len(a.buckets) >= maxBuckets {
			return nil
		}
		b = &bucket{terms: q.terms, tokens: q.initialTokens(a.credit, f, q.phase), accrued: a.accrued, usedAt: now}
		a.buckets[q.workspace] = b
	}
	b.refill(a.accrued, f)
	if q.version > b.version {
		b.terms = q.terms
		b.limit(f)
	}
	return b
}

// giveBack returns the token of a request that never ran. A workspace without a
// bucket has a full one.
func (a *allocator) giveBack(now time.Time, workspace string) {
	a.advance(now)
	if b := a.buckets[workspace]; b != nil {
		b.refill(a.accrued, a.fraction())
		b.tokens++
		b.limit(a.fraction())
	}
}

// sweep applies the present capacity to all buckets and drops those that a new one
// would equal.
func (a *allocator) sweep(now time.Time) {
	a.advance(now)
	f := a.fraction()
	for name, b := range a.buckets {
		b.refill(a.accrued, f)
		if f > 0 && a.droppable(now, b) {
			delete(a.buckets, name)
		}
	}
}

func (a *allocator) droppable(now time.Time, b *bucket) bool {
	f, idle := a.fraction(), now.Sub(b.usedAt)
	capacity, divided := b.capacity(f)
	if divided {
		return idle > dividedRetention
	}
	full := b.tokens >= capacity-tokenTolerance && b.initialTokens(a.credit, f, 0) >= capacity-tokenTolerance
	return full && idle > 0 || idle > idleRetention
}
