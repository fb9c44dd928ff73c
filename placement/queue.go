package placement

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// waiter is a request that waits for room in a partition.
type waiter struct {
	q lb.PlaceQuery
	// result receives the outcome; it is buffered for one.
	result chan placeResult
	place  place
}

// placeResult is the outcome of placing a request.
type placeResult struct {
	attempt *attempt
	refusal *lb.Refusal
	// partitionClosed is true when the request has to be placed in another
	// partition.
	partitionClosed bool
}

// enqueue puts a waiter in the queue and starts the partition's dispatcher when
// none runs; false when the partition is closed.
func (b *Balancer) enqueue(p *partition, w *waiter) bool {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return false
	}
	p.waiters = append(p.waiters, w)
	start := !p.dispatching
	p.dispatching = true
	p.mu.Unlock()
	if start {
		go b.dispatchWaiters(p)
	}
	return true
}

// removeWaiter removes from the queue a waiter whose caller has gone.
func (p *partition) removeWaiter(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters = slices.DeleteFunc(p.waiters, func(x *waiter) bool { return x == w })
}

// dispatchWaiters places waiting requests whenever a call of this host ends or
// the targets are due to be queried again, until the queue is empty.
func (b *Balancer) dispatchWaiters(p *partition) {
	ctx := context.Background()
	for {
		if !b.placeWaiters(p) {
			return
		}
		select {
		case <-p.wake:
		case <-b.opts.Clock.After(b.recheckDelay()):
			b.refreshReports(ctx, p, b.drawTargets(p, lb.PlaceQuery{FailureDomain: b.opts.FailureDomain}))
		}
	}
}

// placeWaiters places or refuses the waiters for which that can be decided; it
// returns false when none is left.
func (b *Balancer) placeWaiters(p *partition) bool {
	now := b.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	serviceTime := p.serviceTimeLocked()
	sortWaiters(now, serviceTime, p.fairness.starvation(now), p.waiters)
	kept := p.waiters[:0]
	slots := p.slotsLocked(now)
	count := waitCount{latePerSecond: p.demand.lateRate(now, slots), spare: p.demand.spareRate(now, slots)}
	for _, w := range p.waiters {
		isLate := w.place.late > 0
		if !count.mayWait(w.place, w.q.Deadline.Sub(now)-serviceTime) {
			w.result <- placeResult{refusal: b.refuseWait(p, w, now, slots)}
			continue
		}
		t, v := p.chooseAny(now, w.q)
		result, done := b.tryPlace(p, w.q, t, v, now, len(kept))
		if done {
			if isLate && result.attempt != nil {
				p.demand.latePlaced.count(now)
			}
			w.result <- result
			continue
		}
		kept = append(kept, w)
	}
	clear(p.waiters[len(kept):])
	p.waiters = kept
	p.dispatching = len(kept) > 0
	return p.dispatching
}

// maxRefusalLines is the number of log lines a second about each of the kinds of
// refusals that an overload causes in large numbers.
const maxRefusalLines = 20

// refuseWait refuses a request that can't meet its objective because too many of
// them wait, or one of a workspace that received more than its part. The caller
// holds the partition's lock.
func (b *Balancer) refuseWait(p *partition, w *waiter, now time.Time, slots int) *lb.Refusal {
	q, message, logged := w.q, "request refused: too many requests that can't meet their objective are waiting", true
	if w.place.over {
		message = "request refused: its workspace received more than its part and requests of others are waiting"
		logged = b.overServedLog.AllowN(now, 1)
		b.metrics.overServed.WithLabelValues(q.Pool).Inc()
	}
	p.demand.refused.count(now)
	retryAfter := jitter(p.demand.retryAfter(now, slots))
	if logged {
		b.opts.Logger.Info(message, zap.String("request", q.RequestID), zap.String("pool", q.Pool), zap.String("workspace", q.Workspace),
			zap.Duration("waited", now.Sub(q.Received)), zap.Duration("left", q.Deadline.Sub(now)), zap.Int("waiting", len(p.waiters)),
			zap.Float64("late_placed_per_second", p.demand.latePlaced.rate(now)), zap.Float64("arrivals_per_second", p.demand.arrivals.rate(now)),
			zap.Float64("servable_per_second", p.demand.servableRate(now, slots)), zap.Float64("refused_per_second", p.demand.refused.rate(now)),
			zap.Duration("retry_after", retryAfter))
	}
	return b.refuse(q, outcome.QueueFull, retryAfter)
}

// jitter returns a random time between d/2 and 3d/2, so that callers that were
// refused together don't retry together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// logRefusal logs the state that a refusal is based on.
func (b *Balancer) logRefusal(p *partition, q lb.PlaceQuery, s decisionInput, message string) {
	b.opts.Logger.Info(message, zap.String("request", q.RequestID), zap.String("pool", q.Pool),
		zap.Duration("waited", s.now.Sub(s.received)), zap.Duration("left", s.deadline.Sub(s.now)),
		zap.Duration("usual_work", s.serviceTime), zap.Duration("expected", s.expectedDuration()),
		zap.Int("waiting", len(p.waiters)), zap.Int("targets", len(p.targets)),
		zap.Int("present", s.best.outstanding), zap.Int("slots", s.best.slots),
		zap.Float64("slowdown", s.best.slowdown), zap.Duration("report_age", s.best.reportAge))
}

// tryPlace sends one request to the best target or refuses it; false when it
// has to wait. ahead is the number of waiting requests that go before it. The
// caller holds the partition's lock.
func (b *Balancer) tryPlace(p *partition, q lb.PlaceQuery, t *target, v targetState, now time.Time, ahead int) (placeResult, bool) {
	if t == nil {
		return b.waitForPermit(p, q, now, ahead)
	}
	if refusal := b.refuseCopy(p, q, t, v, now); refusal != nil {
		return placeResult{refusal: refusal}, true
	}
	s := decisionInput{
		now: now, received: q.Received, deadline: q.Deadline, objective: q.Route.Objective,
		serviceTime: p.serviceTimeLocked(), hedge: q.Hedge, best: v,
		waiting: len(p.waiters), servable: p.demand.servableRate(now, p.slotsLocked(now)),
		unfinishable: p.unfinishable(now, q, v),
	}
	switch s.decide() {
	case send:
		b.metrics.observeWait(q.Pool, now.Sub(q.Received))
		p.demand.placed.count(now)
		p.fairness.countPlacement(now, q)
		a := b.startAttempt(p, t, v, q.RequestID)
		return placeResult{attempt: a}, true
	case refuse:
		if s.unfinishable {
			return placeResult{refusal: b.refuseUnfinishable(p, q, s)}, true
		}
		if !q.Hedge {
			b.logRefusal(p, q, s, "request refused: no target can serve it before its deadline")
		}
		return placeResult{refusal: b.refuse(q, outcome.QueueFull, jitter(s.retryAfter()))}, true
	default:
		return placeResult{}, false
	}
}
