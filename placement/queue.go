package placement

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
)

// waiter is a request that waits for room in a pool.
type waiter struct {
	q ports.PlaceQuery
	// placed is given the result; it has room for one.
	placed chan placed
}

// placed is what became of a waiter.
type placed struct {
	attempt *attempt
	refusal *ports.Refusal
	// moved is true when the request has to be placed elsewhere.
	moved bool
}

// hope says what a caller can still gain: requests that can meet their
// objective go before those that can only be late.
func hope(now time.Time, q ports.PlaceQuery, work time.Duration) int {
	if q.Route.Objective <= 0 || now.Add(work).Before(q.Received.Add(q.Route.Objective)) {
		return 0
	}
	return 1
}

// order sorts waiters for the heaviest load, when not all can be served in
// time: starved ranks first; by rank; then those that can still meet their objective before those
// that can't, so that a request that is late anyway takes no slot from one
// that is not. Those that can are sorted newest first: where room is short for
// long, the oldest first would make every request wait until it is almost late.
// Late ones are sorted oldest first, so that one that was told to wait is not
// overtaken.
func order(now time.Time, work time.Duration, starved func(rank int) bool, waiters []*waiter) {
	behind := map[int]int{}
	for _, w := range waiters {
		behind[w.q.Route.Rank] = 1
	}
	for rank := range behind {
		behind[rank] = lo.Ternary(starved(rank), 0, 1)
	}
	slices.SortStableFunc(waiters, func(a, b *waiter) int {
		late := hope(now, a.q, work)
		return cmp.Or(
			cmp.Compare(behind[a.q.Route.Rank], behind[b.q.Route.Rank]),
			cmp.Compare(a.q.Route.Rank, b.q.Route.Rank),
			cmp.Compare(late, hope(now, b.q, work)),
			lo.Ternary(late > 0, 1, -1)*a.q.Received.Compare(b.q.Received),
		)
	})
}

// enqueue puts a waiter in the queue and starts the pool's dispatcher when
// none runs; false when the pool is no more.
func (b *Balancer) enqueue(p *pool, w *waiter) bool {
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

// leave takes a waiter that has gone out of the queue.
func (p *pool) leave(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters = slices.DeleteFunc(p.waiters, func(x *waiter) bool { return x == w })
}

// dispatchWaiters places waiting requests whenever a call of this host ends or
// a look at the targets is due, until nobody waits.
func (b *Balancer) dispatchWaiters(p *pool) {
	ctx := context.Background()
	for {
		if !b.match(p) {
			return
		}
		select {
		case <-p.wake:
		case <-b.opts.Clock.After(b.pause()):
			b.ask(ctx, p, b.draw(p, b.opts.FailureDomain, nil))
		}
	}
}

// match places or refuses the waiters for whom that can be decided; it
// returns false when none is left.
func (b *Balancer) match(p *pool) bool {
	now := b.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	work := p.usualWorkLocked()
	order(now, work, func(rank int) bool { return p.fairness.starved(now, rank) }, p.waiters)
	kept := p.waiters[:0]
	late, latePace := 0, p.latePace.rate(now)
	for _, w := range p.waiters {
		isLate := hope(now, w.q, work) > 0
		if isLate {
			late++
		}
		if isLate && !mayWaitLate(late, latePace, w.q.Deadline.Sub(now)-work) {
			w.placed <- placed{refusal: b.refuseLate(p, w.q, now)}
			continue
		}
		t, v := p.best(now, w.q.FailureDomain, w.q.Exclude)
		result, done := b.settle(p, w.q, t, v, now)
		if done {
			if isLate && result.attempt != nil {
				p.latePace.count(now)
			}
			w.placed <- result
			continue
		}
		kept = append(kept, w)
	}
	clear(p.waiters[len(kept):])
	p.waiters = kept
	p.dispatching = len(kept) > 0
	return p.dispatching
}

const (
	// lateShare is the part of the time left that a late request may be
	// expected to wait: the pace may fall, and nobody is held without hope.
	lateShare = 0.5
	// lateReturn is about when a refused late request may come back: a third of
	// a second is what callers mostly have left to wait.
	lateReturn = 300 * time.Millisecond
	// lateLeast is the number of late requests that may wait in any case.
	lateLeast = 2
)

// mayWaitLate says whether the nth late request is likely to be placed in the
// time that it has left, where that many late ones are placed a second.
func mayWaitLate(n int, pace float64, left time.Duration) bool {
	return n <= lateLeast || float64(n) <= pace*lateShare*left.Seconds()
}

// refuseLate refuses a request for which too many late ones wait. The caller
// holds the pool's lock.
func (b *Balancer) refuseLate(p *pool, q ports.PlaceQuery, now time.Time) *ports.Refusal {
	after := spread(lateReturn)
	b.opts.Logger.Info("too many late requests wait", zap.String("request", q.RequestID), zap.String("pool", q.Pool),
		zap.Duration("waited", now.Sub(q.Received)), zap.Duration("left", q.Deadline.Sub(now)),
		zap.Int("waiting", len(p.waiters)), zap.Float64("late_placed_per_second", p.latePace.rate(now)), zap.Duration("retry_after", after))
	return b.refuse(q, outcome.QueueFull, after)
}

// spread draws a time around d, so that callers that were refused together do
// not come back together.
func spread(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// logRefusal writes what a refusal rests on.
func (b *Balancer) logRefusal(p *pool, q ports.PlaceQuery, s situation) {
	b.opts.Logger.Info("no target can serve in time", zap.String("request", q.RequestID), zap.String("pool", q.Pool),
		zap.Duration("waited", s.now.Sub(s.received)), zap.Duration("left", s.deadline.Sub(s.now)),
		zap.Duration("usual_work", s.work), zap.Duration("expected", s.expected()),
		zap.Int("waiting", len(p.waiters)), zap.Int("targets", len(p.targets)),
		zap.Int("present", s.best.present), zap.Int("slots", s.best.slots),
		zap.Float64("slowdown", s.best.slowdown), zap.Duration("report_age", s.best.age))
}

// settle decides about one request with the best target there is. The caller
// holds the pool's lock.
func (b *Balancer) settle(p *pool, q ports.PlaceQuery, t *target, v view, now time.Time) (placed, bool) {
	if t == nil {
		return placed{refusal: b.refuse(q, outcome.NoTarget, noTargetReturn)}, true
	}
	s := situation{
		now: now, received: q.Received, deadline: q.Deadline, objective: q.Route.Objective,
		work: p.usualWorkLocked(), beside: q.Beside, best: v,
	}
	switch s.decide() {
	case send:
		b.metrics.placed(q.Pool, now.Sub(q.Received))
		if !q.Further {
			p.fairness.place(now, q.Route.Rank)
		}
		return placed{attempt: b.sendTo(p, t, v)}, true
	case refuse:
		if !q.Beside {
			b.logRefusal(p, q, s)
		}
		return placed{refusal: b.refuse(q, outcome.QueueFull, spread(s.comeBack()))}, true
	default:
		return placed{}, false
	}
}
