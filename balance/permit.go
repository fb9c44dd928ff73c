package balance

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/probe"
)

var _ lb.RefusingBalancer = (*Balancer)(nil)

// permitPollInterval is the longest time between two attempts of a waiting request to
// get a permit; a target may become warm or known earlier than expected.
const permitPollInterval = 20 * time.Millisecond

// PickOrRefuse selects a target like Pick. While all targets that may serve the request
// are cold, it waits for a permit, or refuses the request at once when none is expected
// early enough.
func (b *Balancer) PickOrRefuse(ctx context.Context, q lb.PickQuery) (lb.Attempt, *lb.Refusal) {
	p, ok := b.pool(q.Pool)
	if !ok {
		return nil, &lb.Refusal{Reason: outcome.NoTarget}
	}
	var ticket uint64
	for {
		a, wait, refusal := p.pickOrWait(q, &ticket)
		switch {
		case refusal != nil:
			return nil, refusal
		case a != nil:
			return a, nil
		}
		if !b.sleep(ctx, min(max(wait, time.Millisecond), permitPollInterval)) {
			p.stopWaiting(ticket)
			return nil, &lb.Refusal{Reason: outcome.DeadlinePassed}
		}
		q.Now = b.opts.Clock.Now()
	}
}

// sleep waits; false when the context ended first.
func (b *Balancer) sleep(ctx context.Context, d time.Duration) bool {
	timer := b.opts.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

// pickOrWait selects a target, refuses the request, or returns how long to wait for a
// permit. *ticket is the request's place among those that wait, 0 while it has none.
func (p *pool) pickOrWait(q lb.PickQuery, ticket *uint64) (a *attempt, wait time.Duration, refusal *lb.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.pickLocked(q, *ticket)
	if ok {
		p.permits.leave(*ticket)
		return a, 0, nil
	}
	supply, limited := p.permitSupply(q)
	if !limited {
		p.permits.leave(*ticket)
		p.balancer.metrics.noTarget.WithLabelValues(p.name).Inc()
		return nil, 0, &lb.Refusal{Reason: outcome.NoTarget}
	}
	wait, refused := p.permits.decide(q.Now, supply, p.permits.ahead(*ticket), q.Deadline.Sub(q.Now))
	if refused {
		p.permits.leave(*ticket)
		p.balancer.metrics.permitRefusals.WithLabelValues(p.name).Inc()
		return nil, 0, &lb.Refusal{Reason: outcome.RateLimited, RetryAfter: wait}
	}
	if *ticket == 0 {
		*ticket = p.permits.enter()
	}
	return nil, wait, nil
}

// RefuseCold refuses a request at its arrival when all usable targets of the pool are
// cold and the requests already in the backlog use up their permits for too long. It
// returns nil when the request may queue.
func (b *Balancer) RefuseCold(q lb.AdmitQuery, backlog int) *lb.Refusal {
	p, ok := b.pool(q.Pool)
	if !ok {
		return nil
	}
	now := b.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.ContainsFunc(p.targets, func(t *target) bool { return !t.unlimited(now) }) {
		return nil
	}
	p.markUsable(now)
	for i, t := range p.targets {
		if p.usable[i] && t.unlimited(now) {
			return nil
		}
	}
	supply, limited := p.permitSupply(lb.PickQuery{Now: now})
	if !limited {
		return nil
	}
	wait, refused := p.permits.decide(now, supply, backlog, q.Deadline.Sub(now))
	if !refused {
		return nil
	}
	b.metrics.permitRefusals.WithLabelValues(p.name).Inc()
	return &lb.Refusal{Reason: outcome.RateLimited, RetryAfter: wait}
}

// unlimited reports whether the target has no rate limit.
func (t *target) unlimited(now time.Time) bool {
	if t.cold == nil {
		return true
	}
	limit, _ := t.cold.status(now)
	return !limit.InForce()
}

func (p *pool) stopWaiting(ticket uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.permits.leave(ticket)
}

// permitSupply returns what the usable targets that are cold take from this host;
// limited is false when there is none. The caller holds the lock.
func (p *pool) permitSupply(q lb.PickQuery) (s permitSupply, limited bool) {
	for i, t := range p.targets {
		if t.cold == nil || i >= len(p.usable) || !p.usable[i] || slices.Contains(q.Exclude, t.addr) {
			continue
		}
		own, ok := t.cold.supply(q.Now)
		if !ok {
			continue
		}
		if !limited {
			s.next, s.warm, limited = own.next, own.warm, true
		}
		s.next, s.warm = min(s.next, own.next), min(s.warm, own.warm)
		s.perSecond += own.perSecond
	}
	return s, limited
}

// permitted reports whether the warm-up rate of a target lets this host send it a
// request now. The caller holds the lock.
func (p *pool) permitted(now time.Time, t *target) bool {
	return t.cold == nil || t.cold.permits(now, p.behindOthers)
}

// chooseWithPermit chooses a target and uses a permit of it, nil when there is none.
// Another pool with the same target may use the permit in between; another target is
// chosen then. The caller holds the lock.
func (p *pool) chooseWithPermit(q lb.PickQuery) *target {
	for range p.targets {
		t := p.choose(q)
		if t == nil || t.cold == nil || t.cold.take(q.Now) {
			return t
		}
	}
	return nil
}

// readWarmup records what a probe says about a target's warm-up.
func (b *Balancer) readWarmup(now time.Time, addr netip.AddrPort, r probe.Result) {
	c := b.cold.find(addr)
	if c == nil {
		return
	}
	change := c.read(r.SentAt, now, r.Warmup)
	if change.firstRead || change.extended {
		b.availabilityGeneration.Add(1)
	}
	if change.extended {
		b.metrics.warmups.Inc()
		b.opts.Logger.Info("target is cold; it gets the warm-up rate of its pool until it is warm", zap.Stringer("target", addr),
			zap.String("pool", change.spec.Pool), zap.Duration("left", r.Warmup), zap.Float64("per_second", change.spec.PerSecond))
	}
}

// EndWarmups gives targets whose warm-up has ended their usual share without a ramp.
// Their limits end by time alone; the caller calls it several times a second, so that
// the capacity of a pool follows and a change of this host's role is noticed.
func (b *Balancer) EndWarmups(now time.Time) {
	var ended []netip.AddrPort
	for _, c := range b.cold.all() {
		if c.endWarmup(now) {
			ended = append(ended, c.addr)
			b.opts.Logger.Info("target is warm; it gets its usual share again", zap.Stringer("target", c.addr))
		}
	}
	if len(ended) == 0 {
		return
	}
	for _, p := range *b.pools.Load() {
		p.endWarmups(ended)
	}
	b.availabilityGeneration.Add(1)
}

// endWarmups ends the ramps of targets and forgets the latencies measured while they
// were cold.
func (p *pool) endWarmups(ended []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if t.health.phase == ready && slices.Contains(ended, t.addr) {
			t.health.rampStartedAt = time.Time{}
			t.tracker.ResetLatency()
		}
	}
}

// limitCollector exports the rate limits in force.
type limitCollector struct{ balancer *Balancer }

var limitDesc = prometheus.NewDesc("chestnut_target_rate_limit",
	"Rate limit of a target for all hosts together, in requests a second, by target and reason.", []string{"target", "reason"}, nil)

// Describe implements prometheus.Collector.
func (limitCollector) Describe(descs chan<- *prometheus.Desc) { descs <- limitDesc }

// Collect implements prometheus.Collector.
func (l limitCollector) Collect(metrics chan<- prometheus.Metric) {
	now := l.balancer.opts.Clock.Now()
	for _, c := range l.balancer.cold.all() {
		if limit, _ := c.status(now); limit.InForce() {
			metrics <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, limit.PerSecond, c.addr.String(), limit.Reason.String())
		}
	}
}

// ColdSlots returns the number of slots that a target's warm-up rate keeps busy, the
// part of the owner alone; slots when the target has no limit.
func (s TargetState) ColdSlots(slots int) float64 {
	if s.LimitReason != backpressure.Warmup.String() {
		return float64(slots)
	}
	serviceTime := s.Latency
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
	}
	const ownerShare = 0.9
	return min(s.RateLimit*ownerShare*serviceTime.Seconds(), float64(slots))
}
