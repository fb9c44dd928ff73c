package placement

import (
	"math"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/registry"
)

const (
	// minWarmupChange is the least extension of a warm-up that is logged and passed
	// on to other hosts. The ends that one target's responses name differ by the time
	// that these take.
	minWarmupChange = 500 * time.Millisecond
	// MinToldWarmup is the least rest of a warm-up that hosts tell each other. Two hosts
	// would otherwise extend a warm-up again and again by the time of each message.
	MinToldWarmup = 50 * time.Millisecond
	// maxWarmupLogsPerSecond and warmupLogBurst bound the log lines about warm-ups
	// that last longer than the registry says.
	maxWarmupLogsPerSecond = 5
	warmupLogBurst         = 20
)

// warmups are the rate limits of a partition's cold targets. They end by time alone.
type warmups struct {
	// perSecond is what a cold target takes from all hosts together; 0 sets no limit.
	perSecond float64
	// limited is the number of cold targets with a limit that are not evacuated, nextEnd
	// when the first warm-up of a target with a limit ends; zero when there is none.
	limited int
	nextEnd time.Time
	// ended is called with each target whose warm-up lasted longer than its registry
	// entry said.
	ended func(registry.Instance)
}

func newWarmups() warmups { return warmups{ended: func(registry.Instance) {}} }

// limit returns the limit of a target because it is cold.
func (w *warmups) limit(now time.Time, t *target) backpressure.Limit {
	if w.perSecond <= 0 || !now.Before(t.warmupEnd()) {
		return backpressure.Limit{}
	}
	return backpressure.Limit{PerSecond: w.perSecond, Reason: backpressure.Warmup}
}

// schedule counts the cold targets with a limit that are not evacuated and finds when
// the next one is warm, evacuated or not: its limit has to end in both cases.
func (w *warmups) schedule(now time.Time, targets []*target) {
	w.limited, w.nextEnd = 0, time.Time{}
	for _, t := range targets {
		if !w.limit(now, t).InForce() {
			continue
		}
		if !t.evacuated {
			w.limited++
		}
		if end := t.warmupEnd(); w.nextEnd.IsZero() || end.Before(w.nextEnd) {
			w.nextEnd = end
		}
	}
}

// endWarmups lifts the limits of targets whose warm-up has ended. Each decision calls
// it first, so that nothing has to arrive for a limit to end. The caller holds the
// lock.
func (p *partition) endWarmups(now time.Time) {
	if p.warmups.nextEnd.IsZero() || now.Before(p.warmups.nextEnd) {
		return
	}
	p.applyLimits(now)
	for _, t := range p.targets {
		if !t.toldWarmupEnd.IsZero() && !now.Before(t.warmupEnd()) {
			if t.toldWarmupEnd.Sub(t.WarmupEnd) >= minWarmupChange {
				p.warmups.ended(t.Instance)
			}
			t.toldWarmupEnd = time.Time{}
		}
	}
}

// warmupEnd returns the end of the target's warm-up: the latest that its registry
// entry, its responses and other hosts say.
func (t *target) warmupEnd() time.Time {
	if t.toldWarmupEnd.After(t.WarmupEnd) {
		return t.toldWarmupEnd
	}
	return t.WarmupEnd
}

// RecordWarmup records that a target stays cold until a time. from is the address of
// the host that said so, "" when a response to this host did.
func (b *Balancer) RecordWarmup(instance registry.Instance, until time.Time, from string) {
	now := b.opts.Clock.Now()
	if from != "" && until.Sub(now) < MinToldWarmup || !b.asked.ExtendWarmup(now, instance, until) {
		return
	}
	for pool, ps := range *b.pools.Load() {
		p := ps.ofTarget(instance.ID)
		if p == nil {
			continue
		}
		before, ok := p.extendWarmup(now, instance, until)
		if !ok || until.Sub(lo.Ternary(before.After(now), before, now)) < minWarmupChange {
			continue
		}
		b.recordColdTarget(instance, until.Sub(now), before.Sub(now), from)
		if from == "" {
			(*b.fleet.Load()).WarmupHeard(pool, p.number, instance, until)
		}
	}
}

// extendWarmup extends the warm-up of a target and returns its former end; ok is false
// when the target is not in this partition.
func (p *partition) extendWarmup(now time.Time, instance registry.Instance, until time.Time) (before time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := lo.Find(p.targets, func(t *target) bool { return t.Instance == instance })
	if !ok {
		return time.Time{}, false
	}
	before = t.warmupEnd()
	if until.After(t.toldWarmupEnd) {
		t.toldWarmupEnd = until
	}
	p.applyLimits(now)
	return before, true
}

// recordColdTarget counts and logs that a target stays cold for longer than was known.
func (b *Balancer) recordColdTarget(instance registry.Instance, left, knownLeft time.Duration, from string) {
	b.metrics.countObservation(from)
	if !b.warmupLog.AllowN(b.opts.Clock.Now(), 1) {
		return
	}
	b.opts.Logger.Info("target is cold for longer than its registry entry says; it gets the warm-up rate of its pool until then",
		zap.String("target", instance.ID), zap.Int64("born", instance.StartedMillis), zap.Duration("left", left),
		zap.Duration("known_left", max(knownLeft, 0)), zap.String("reported_by", from))
}

// logWarm logs the end of a warm-up that lasted longer than the registry said.
func (b *Balancer) logWarm(instance registry.Instance) {
	if b.warmupLog.AllowN(b.opts.Clock.Now(), 1) {
		b.opts.Logger.Info("target is warm; it gets its usual share again", zap.String("target", instance.ID), zap.Int64("born", instance.StartedMillis))
	}
}

// Warmup returns the limit that a target has because it is cold, and how much longer;
// left is 0 when it has none.
func (b *Balancer) Warmup(pool string, instance registry.Instance) (limit backpressure.Limit, left time.Duration) {
	p := (*b.pools.Load())[pool].ofTarget(instance.ID)
	if p == nil {
		return backpressure.Limit{}, 0
	}
	now := b.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := lo.Find(p.targets, func(t *target) bool { return t.Instance == instance })
	if !ok || !p.warmups.limit(now, t).InForce() {
		return backpressure.Limit{}, 0
	}
	return p.warmups.limit(now, t), t.warmupEnd().Sub(now)
}

// limitsInForce returns the rate limits of the targets that have one.
func (p *partition) limitsInForce(now time.Time) map[registry.Instance]backpressure.Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endWarmups(now)
	limits := make(map[registry.Instance]backpressure.Limit, p.limited)
	for _, t := range p.targets {
		if t.limit.InForce() {
			limits[t.Instance] = t.limit
		}
	}
	return limits
}

// warmWait returns the time until the first target that may serve a request and whose
// only limit is that of its warm-up is warm and takes the request behind that many
// others. The caller holds the lock.
func (p *partition) warmWait(now time.Time, q lb.PlaceQuery, ahead int) time.Duration {
	wait, bars := time.Duration(math.MaxInt64), barred(q)
	for _, t := range p.targets {
		if t.evacuated || bars(t) || t.limit.Reason != backpressure.Warmup || t.named.InForce() {
			continue
		}
		turn := time.Duration(ahead/max(t.Slots, 1)) * p.serviceTimeLocked()
		wait = min(wait, max(t.warmupEnd().Sub(now), t.pausedUntil.Sub(now))+turn)
	}
	return wait
}

// countColdRefusal counts a refused request while a target has a limit because it is
// cold. The caller holds the lock.
func (p *partition) countColdRefusal(now time.Time) {
	if p.warmups.limited > 0 {
		p.demand.refused.count(now)
	}
}

// backlogWait returns the time that the targets that may serve a request need for the
// requests that were refused lately and come back, at most until the first of them is warm; 0 when no
// limit is that of a warm-up. The caller holds the lock.
func (p *partition) backlogWait(now time.Time, q lb.PlaceQuery) time.Duration {
	if p.warmups.limited == 0 {
		return 0
	}
	bars := barred(q)
	perSecond := lo.SumBy(p.targets, func(t *target) float64 {
		switch {
		case t.evacuated || bars(t) || now.Before(t.pausedUntil):
			return 0
		case t.limiter == nil:
			return float64(max(t.Slots, 1)) / p.serviceTimeLocked().Seconds()
		default:
			return t.limiter.Rate(p.roleAt(now))
		}
	})
	if perSecond <= 0 {
		return 0
	}
	backlog := p.demand.refused.rate(now) * refusedWindow.Seconds() / perSecond
	return min(time.Duration(min(backlog, maxRateLimitRetryAfter.Seconds())*float64(time.Second)), p.warmWait(now, q, 0))
}
