package placement

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/registry"
)

// maxRateLimitRetryAfter bounds the Retry-After of a refusal while targets want
// less than arrives.
const maxRateLimitRetryAfter = 30 * time.Second

const (
	// nextPermitWaitShare is the part of its remaining time that the next request
	// may be expected to wait for a permit, queuedPermitWaitShare that of those
	// behind it: others may overtake them, and a caller that is refused early has
	// time to come back.
	nextPermitWaitShare   = 0.75
	queuedPermitWaitShare = 0.25
)

// maxPermitWait returns how long a request with that much time to spare, and that
// many before it, may be expected to wait for a permit.
func maxPermitWait(spare time.Duration, ahead int) time.Duration {
	return time.Duration(lo.Ternary(ahead == 0, nextPermitWaitShare, queuedPermitWaitShare) * float64(spare))
}

// limitCheckInterval is the longest time that a target with a rate limit gets no
// request while its limit allows one.
const limitCheckInterval = 2 * time.Second

// Fleet is the other hosts, with which this one shares the rate limits of
// targets.
type Fleet interface {
	// Role returns this host's part in the rate limits of a partition's targets.
	Role(pool string, partition int) backpressure.Role
	// Observed is called for each response to this host from a target that has
	// named a rate limit; changed is true when it says something new.
	Observed(pool string, partition int, instance registry.Instance, o backpressure.Observation, changed bool)
	// WarmupHeard is called when a response to this host shows that a target stays cold
	// for clearly longer than was known.
	WarmupHeard(pool string, partition int, instance registry.Instance, until time.Time)
}

// soleHost is the Fleet of a host that shares its targets with no other.
type soleHost struct{ since time.Time }

func (s soleHost) Role(string, int) backpressure.Role {
	return backpressure.Role{HeldSince: s.since, Hosts: 1}
}

func (soleHost) Observed(string, int, registry.Instance, backpressure.Observation, bool) {}

func (soleHost) WarmupHeard(string, int, registry.Instance, time.Time) {}

// SetFleet sets the hosts that rate limits are shared with; without it, this host
// uses them alone.
func (b *Balancer) SetFleet(f Fleet) { b.fleet.Store(&f) }

// PartitionID names a partition of a pool, numbered from 1.
type PartitionID struct {
	Pool   string
	Number int
}

var _ lb.ObservedAttempt = (*attempt)(nil)

// Observe implements lb.ObservedAttempt.
func (a *attempt) Observe(s backpressure.Signal) {
	a.balancer.RecordSignal(a.target.Instance, s)
}

// RecordSignal records what a response to this host says about the requests that
// its target takes.
func (b *Balancer) RecordSignal(instance registry.Instance, s backpressure.Signal) {
	if s.Warmup > 0 {
		b.RecordWarmup(instance, s.HeardAt.Add(s.Warmup), "")
	}
	b.RecordObservation(instance, s.Observation, "")
	if s.RetryAfter <= 0 {
		return
	}
	until := s.HeardAt.Add(s.RetryAfter)
	if !b.asked.Pause(s.HeardAt, instance, until) {
		return
	}
	b.opts.Logger.Info("target wants no requests from this host for a while", zap.String("target", instance.ID), zap.Duration("retry_after", s.RetryAfter))
	for _, ps := range *b.pools.Load() {
		if p := ps.ofTarget(instance.ID); p != nil {
			p.pause(instance, until)
		}
	}
}

// RecordMalformed counts and logs a response to a load query that has a malformed
// header; the header is ignored.
func (b *Balancer) RecordMalformed(instance registry.Instance, err error) {
	b.metrics.malformedSignals.Inc()
	b.malformedLog.Do(func() {
		b.opts.Logger.Warn("header with which a target asks for fewer requests is ignored", zap.String("target", instance.ID), zap.Error(err))
	})
}

// pause keeps this host from a target until a time, after which it gets one
// request at a time until one succeeds.
func (p *partition) pause(instance registry.Instance, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := lo.Find(p.targets, func(t *target) bool { return t.Instance == instance }); ok {
		t.pausedUntil, t.health.halfOpen = until, true
	}
}

// PausedTargets returns the addresses of the targets of a partition that want no
// requests from this host now; all is true when the partition has no other that is
// not evacuated.
func (b *Balancer) PausedTargets(now time.Time, pool string, partition int) (paused []netip.AddrPort, all bool) {
	ps := (*b.pools.Load())[pool]
	if partition < 1 || partition > len(ps) {
		return nil, false
	}
	p := ps[partition-1]
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if !t.evacuated && now.Before(t.pausedUntil) {
			paused = append(paused, t.Addr)
		}
	}
	return paused, len(p.targets) > 0 && len(paused) == p.servingLocked()
}

// RecordObservation records what a target asked all hosts for. from is the
// address of the host that reported it, "" when this host saw the response.
func (b *Balancer) RecordObservation(instance registry.Instance, o backpressure.Observation, from string) {
	before, _ := b.asked.Lookup(instance)
	current, changed := b.asked.Record(instance, o)
	if !changed && !current.Limited {
		return
	}
	if changed {
		b.metrics.countObservation(from)
	}
	if changed && worthLogging(before, current) {
		b.logObservation(instance, current, from)
	}
	for pool, ps := range *b.pools.Load() {
		p := ps.ofTarget(instance.ID)
		if p == nil || !p.applyObservation(b.opts.Clock.Now(), instance, current) {
			continue
		}
		if from == "" {
			(*b.fleet.Load()).Observed(pool, p.number, instance, current, changed)
		}
	}
}

// minLoggedChange is the least change of a rate limit that is logged, as a part of
// the former one: a target may name another limit with each response.
const minLoggedChange = 0.2

// worthLogging reports whether a target asks for something clearly different.
func worthLogging(before, now backpressure.Observation) bool {
	return before.Leaving != now.Leaving || before.Limited != now.Limited ||
		math.Abs(now.PerSecond-before.PerSecond) >= minLoggedChange*before.PerSecond
}

func (b *Balancer) logObservation(instance registry.Instance, o backpressure.Observation, from string) {
	message := "target names no rate limit any more"
	switch {
	case o.Leaving:
		message = "target says that it leaves; it gets no more requests"
	case o.Limited:
		message = "target named a rate limit for all hosts together"
	}
	b.opts.Logger.Info(message, zap.String("target", instance.ID), zap.Int64("born", instance.StartedMillis),
		zap.Float64("per_second", o.PerSecond), zap.String("reported_by", from), zap.Duration("age", b.opts.Clock.Now().Sub(o.HeardAt)))
}

// Observation returns the latest observation of a target; ok is false when it has
// never asked for less.
func (b *Balancer) Observation(instance registry.Instance) (o backpressure.Observation, ok bool) {
	return b.asked.Lookup(instance)
}

// RateLimitedPartitions returns the partitions with a target that has a rate limit,
// named or because it is cold.
func (b *Balancer) RateLimitedPartitions() []PartitionID {
	now := b.opts.Clock.Now()
	var out []PartitionID
	for pool, ps := range *b.pools.Load() {
		for _, p := range ps {
			if p.hasRateLimit(now) {
				out = append(out, PartitionID{Pool: pool, Number: p.number})
			}
		}
	}
	return out
}

// RateLimitedTargets returns up to limit random targets of a partition that name
// a rate limit.
func (b *Balancer) RateLimitedTargets(pool string, partition, limit int) []registry.Instance {
	ps := (*b.pools.Load())[pool]
	if partition < 1 || partition > len(ps) {
		return nil
	}
	return ps[partition-1].rateLimited(limit)
}

// hasRateLimit reports whether a target has a rate limit.
func (p *partition) hasRateLimit(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endWarmups(now)
	return p.limited > 0
}

// rateLimited returns up to limit random targets that name a rate limit.
func (p *partition) rateLimited(limit int) []registry.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limited == 0 {
		return nil
	}
	limited := lo.FilterMap(p.targets, func(t *target, _ int) (registry.Instance, bool) { return t.Instance, t.named.InForce() })
	rand.Shuffle(len(limited), func(i, j int) { limited[i], limited[j] = limited[j], limited[i] })
	return limited[:min(limit, len(limited))]
}

// applyObservation applies what a target asked for; false when the target is not
// in this partition. One that leaves is removed.
func (p *partition) applyObservation(now time.Time, instance registry.Instance, o backpressure.Observation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := lo.Find(p.targets, func(t *target) bool { return t.Instance == instance })
	if !ok {
		return false
	}
	t.named, t.limitHeardAt = o.NamedLimit(), o.HeardAt
	if o.Leaving {
		p.targets = lo.Without(p.targets, t)
	}
	p.applyLimits(now)
	return true
}

// applyLimits gives each target the limiter of the limit in force, or takes it away.
// The caller holds the lock.
func (p *partition) applyLimits(now time.Time) {
	for _, t := range p.targets {
		before := t.limit
		t.limit = backpressure.Lower(t.named, p.warmups.limit(now, t))
		switch {
		case !t.limit.InForce():
			t.limiter = nil
		case t.limiter == nil:
			t.limiter = backpressure.NewLimiter(now, t.limit.PerSecond, p.rng.Float64())
		case t.limit.PerSecond != before.PerSecond:
			t.limiter.SetRate(now, p.roleAt(now), t.limit.PerSecond)
		}
	}
	p.limited = lo.CountBy(p.targets, func(t *target) bool { return t.limiter != nil })
	p.warmups.schedule(now, p.targets)
}

// roleAt returns this host's part in the rate limits; one decision asks for it once.
// The caller holds the lock.
func (p *partition) roleAt(now time.Time) backpressure.Role {
	if !now.Equal(p.roleAsOf) {
		p.roleAsOf, p.roleNow = now, p.role()
	}
	return p.roleNow
}

// limitCheckDue reports whether a target that names a rate limit has to be sent a request so that this
// host hears whether it still has its rate limit: it might otherwise never be
// chosen. The caller holds the lock.
func (p *partition) limitCheckDue(now time.Time, t *target) bool {
	return t.named.InForce() && t.inFlight == 0 && now.Sub(t.limitHeardAt) >= limitCheckInterval && !p.roleAt(now).HeldSince.IsZero()
}

// permitted reports whether a target takes a request from this host now. The
// caller holds the lock.
func (p *partition) permitted(now time.Time, t *target) bool {
	return !t.evacuated && !now.Before(t.pausedUntil) && (t.limiter == nil || t.limiter.Wait(now, p.roleAt(now)) == 0)
}

// permitWait returns the time until a target takes one more request from this host
// when that many go before it; ok is false when none has asked for less or is cold.
// The caller holds the lock.
func (p *partition) permitWait(now time.Time, q lb.PlaceQuery, ahead int) (wait time.Duration, ok bool) {
	role, perSecond, bars := p.roleAt(now), 0.0, barred(q)
	for _, t := range p.targets {
		if t.evacuated || bars(t) || t.limiter == nil && !now.Before(t.pausedUntil) {
			continue
		}
		w := t.pausedUntil.Sub(now)
		if t.limiter != nil {
			w = max(w, t.limiter.Wait(now, role))
			perSecond += t.limiter.Rate(role)
		} else {
			perSecond += float64(max(t.Slots, 1)) / p.serviceTimeLocked().Seconds()
		}
		if !ok || w < wait {
			wait, ok = w, true
		}
	}
	if ok && ahead > 0 {
		wait += time.Duration(min(float64(ahead)/perSecond, maxRateLimitRetryAfter.Seconds()) * float64(time.Second))
	}
	return min(wait, p.warmWait(now, q, ahead)), ok
}

// waitForPermit decides about a request for which no target is left but those
// that take none now; ahead is the number of requests that go before
// it. The caller holds the lock.
func (b *Balancer) waitForPermit(p *partition, q lb.PlaceQuery, now time.Time, ahead int) (placeResult, bool) {
	wait, limited := p.permitWait(now, q, ahead)
	switch left := q.Deadline.Sub(now); {
	case !limited:
		return placeResult{refusal: b.refuse(q, outcome.NoTarget, noTargetRetryAfter)}, true
	case !q.Hedge && wait <= maxPermitWait(left-p.serviceTimeLocked(), ahead):
		return placeResult{}, false
	default:
		p.countColdRefusal(now)
		retryAfter := min(max(wait, minRetryAfter, p.backlogWait(now, q)), maxRateLimitRetryAfter)
		if !q.Hedge {
			b.opts.Logger.Info("request refused: no target takes another request from this host before its deadline", zap.String("request", q.RequestID), zap.String("pool", q.Pool),
				zap.Duration("waited", now.Sub(q.Received)), zap.Duration("left", left), zap.Duration("permit_in", wait), zap.Int("ahead", ahead),
				zap.Int("limited", p.limited), zap.Int("cold", p.warmups.limited), zap.Int("targets", len(p.targets)), zap.Bool("lease_held", !p.roleAt(now).HeldSince.IsZero()))
		}
		return placeResult{refusal: b.refuse(q, outcome.RateLimited, retryAfter+rand.N(retryAfter/2))}, true
	}
}
