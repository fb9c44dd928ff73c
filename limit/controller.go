package limit

import (
	"time"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/limit/fair"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// maxQueued is the maximum number of queued requests per pool and class. It
	// is per class so that a class with a full queue takes no place of another.
	maxQueued = 512
	// maxQueuedCaller is the maximum number of queued requests per pool, class
	// and caller.
	maxQueuedCaller = 128
	// foregroundHold is how long after the last lookup or order the batch class
	// stays limited to half of the pool's limit.
	foregroundHold = time.Second
	// congestedWaitFactor is the expected wait of a lookup or order, as a
	// multiple of the mean latency, above which the batch class is limited to
	// its floor for congestionHold.
	congestedWaitFactor = 2
	// congestedInflation is the latency inflation of lookups or orders that has
	// the same effect, since it means that they queue at the targets.
	congestedInflation = 2.5
	congestionHold     = 250 * time.Millisecond
	// sweepInterval is the minimum time between two scans of the queue for
	// requests that can't meet their deadlines.
	sweepInterval = 5 * time.Millisecond
	// minRetryAfter is the shortest retry-after time of a refusal.
	minRetryAfter = 50 * time.Millisecond
)

// Class indexes in the fair queue.
const (
	lookupClass = iota
	orderClass
	batchClass
	classCount
)

// Weights of the classes in the fair queue: the shares of service that they
// get while all of them have requests queued.
const (
	lookupWeight = 8
	orderWeight  = 8
	batchWeight  = 1
)

func classIndex(c table.Class) int {
	switch c {
	case table.Lookup:
		return lookupClass
	case table.Order:
		return orderClass
	default:
		return batchClass
	}
}

// waiter is a request that asks for admission.
type waiter struct {
	class    int
	caller   string
	deadline time.Time
	item     *fair.Item[*waiter]
	// granted or refusal is set once the waiter is decided; poolState.run then
	// closes decided.
	granted bool
	refusal *lb.Refusal
	decided chan struct{}
}

// controller decides the admissions of one pool. It neither locks nor reads a
// clock: callers pass the time in, and each call returns the waiters that it
// granted or refused.
type controller struct {
	bounds       bounds
	totalLimiter Limiter
	batchLimiter Limiter
	totalGate    gate
	batchGate    gate
	classes      [classCount]latency
	// meanLatency is the smoothed latency over all classes.
	meanLatency time.Duration
	queue       *fair.Queue[*waiter]
	// lastForeground is the time of the last arrival of a lookup or order.
	lastForeground time.Time
	// lastCongested is the time at which a lookup or order last faced a long
	// wait, in this queue or at the targets.
	lastCongested time.Time
	lastSweep     time.Time
}

// limiterFactory creates a limiter from its starting limit and the latency
// inflation that it tolerates.
type limiterFactory func(limit, tolerance float64) Limiter

func newController(b bounds, total, batch limiterFactory) *controller {
	c := &controller{
		totalLimiter: total(b.start, totalTolerance),
		batchLimiter: batch(b.start/2, batchTolerance),
		meanLatency:  initialLatency,
		queue:        fair.New[*waiter](lookupWeight, orderWeight, batchWeight),
	}
	c.setBounds(b)
	return c
}

func (c *controller) setBounds(b bounds) {
	c.bounds = b
	c.totalLimiter.SetBounds(b.lowest, b.highest)
	c.batchLimiter.SetBounds(b.batchFloor, b.highest)
}

// arrive grants or refuses a request at once, or queues it.
func (c *controller) arrive(now time.Time, w *waiter) (decided []*waiter) {
	if w.class != batchClass {
		c.lastForeground = now
	}
	if w.expired(now) {
		return []*waiter{w.refuse(outcome.DeadlinePassed, 0)}
	}
	decided = c.sweep(now)
	if reason, after := c.refusal(now, w); reason != 0 {
		return append(decided, w.refuse(reason, after))
	}
	if w.class != batchClass && c.expectedWait(now, w) > congestedWaitFactor*c.meanLatency {
		c.lastCongested = now
	}
	w.item = c.queue.Push(w.class, w.caller, w)
	return append(decided, c.dispatch(now)...)
}

// refusal returns why a request can't be queued and its retry-after time; the
// reason is 0 when it can be queued.
func (c *controller) refusal(now time.Time, w *waiter) (outcome.Reason, time.Duration) {
	wait := c.expectedWait(now, w)
	switch {
	case c.queue.CallerLen(w.class, w.caller) >= maxQueuedCaller:
		return outcome.LimitReached, wait
	case c.queue.ClassLen(w.class) >= maxQueued:
		return outcome.QueueFull, wait
	case wait > 0 && c.missesDeadline(now, w, wait):
		return outcome.QueueFull, wait
	default:
		return 0, 0
	}
}

// missesDeadline reports whether a request that starts after wait and takes the
// expected latency of its class ends after its deadline.
func (c *controller) missesDeadline(now time.Time, w *waiter, wait time.Duration) bool {
	return !w.deadline.IsZero() && now.Add(wait+c.classes[w.class].smoothed()).After(w.deadline)
}

// expectedWait returns the time until a request pushed now would start.
func (c *controller) expectedWait(now time.Time, w *waiter) time.Duration {
	rank := c.queue.Rank(w.class, w.caller)
	if rank == 0 && c.mayStart(now, w.class) {
		return 0
	}
	wait := c.waitAt(rank)
	if w.class == batchClass {
		wait = max(wait, c.batchWaitAt(now, len(c.queue.Values(batchClass))))
	}
	return wait
}

// waitAt returns the expected wait of a request with rank others ahead of it.
func (c *controller) waitAt(rank int) time.Duration {
	return time.Duration(float64(rank+1) * float64(c.meanLatency) / c.totalLimiter.Limit())
}

// batchWaitAt returns the expected wait of a batch request with rank others of its
// class ahead of it, as far as the batch limit delays it.
func (c *controller) batchWaitAt(now time.Time, rank int) time.Duration {
	latency := c.classes[batchClass].smoothed()
	return time.Duration(float64(rank+1) * float64(latency) / c.batchLimit(now))
}

// batchLimit returns the concurrency limit of the batch class: at most half of
// the pool's limit while lookups or orders arrive, and only the floor while
// they face long waits.
func (c *controller) batchLimit(now time.Time) float64 {
	limit := c.totalLimiter.Limit()
	switch {
	case now.Sub(c.lastCongested) < congestionHold:
		return c.bounds.batchFloor
	case now.Sub(c.lastForeground) < foregroundHold:
		limit /= 2
	}
	return max(min(c.batchLimiter.Limit(), limit), c.bounds.batchFloor)
}

// mayStart reports whether the limits allow a request of a class to start now.
func (c *controller) mayStart(now time.Time, class int) bool {
	if !c.totalGate.allows(now, c.totalLimiter.Limit()) {
		return false
	}
	return class != batchClass || c.batchGate.allows(now, c.batchLimit(now))
}

// dispatch grants queued requests in fair order as long as the limits allow.
func (c *controller) dispatch(now time.Time) (decided []*waiter) {
	for {
		w, ok := c.queue.Pop(func(class int) bool { return c.mayStart(now, class) })
		if !ok {
			return decided
		}
		c.totalGate.enter()
		if w.class == batchClass {
			c.batchGate.enter()
		}
		w.granted = true
		decided = append(decided, w)
	}
}

// release ends a granted request, updates latencies and limits from its result
// and grants queued requests.
func (c *controller) release(now time.Time, class int, r lb.Result) []*waiter {
	lat := &c.classes[class]
	if r.Verdict == lb.Succeeded || r.Verdict == lb.TimedOut {
		lat.observe(r.Latency)
		c.meanLatency = smooth(c.meanLatency, r.Latency, meanLatencyWeight)
	}
	if class != batchClass && lat.inflation() > congestedInflation {
		c.lastCongested = now
	}
	sample := Sample{
		Now: now, Verdict: r.Verdict, InFlight: c.totalGate.inFlight,
		Inflation: lat.inflation(), Latency: lat.smoothed(),
	}
	c.totalLimiter.Observe(sample)
	sample.InFlight = c.batchGate.inFlight
	c.batchLimiter.Observe(sample)
	c.totalGate.leave(now, c.totalLimiter.Limit(), r.Latency)
	if class == batchClass {
		c.batchGate.leave(now, c.batchLimit(now), r.Latency)
	}
	return c.tick(now)
}

// tick refuses queued requests that can't meet their deadline any more and
// grants those that may start.
func (c *controller) tick(now time.Time) []*waiter {
	return append(c.sweep(now), c.dispatch(now)...)
}

// cancel removes a waiter from the queue; it returns false when the waiter was
// granted or refused before.
func (c *controller) cancel(w *waiter) bool {
	return w.item != nil && !w.granted && w.refusal == nil && c.queue.Remove(w.item)
}

// sweep refuses queued requests that can't meet their deadline any more.
func (c *controller) sweep(now time.Time) (decided []*waiter) {
	if c.queue.Len() == 0 || now.Sub(c.lastSweep) < sweepInterval {
		return nil
	}
	c.lastSweep = now
	for class := range classCount {
		for rank, w := range c.queue.Values(class) {
			wait := c.waitAt(rank)
			if class == batchClass {
				wait = max(wait, c.batchWaitAt(now, rank))
			}
			// The first of its class may be the next to start.
			if rank == 0 {
				wait = 0
			}
			if c.missesDeadline(now, w, wait) && c.queue.Remove(w.item) {
				decided = append(decided, w.refuse(outcome.QueueFull, wait))
			}
		}
	}
	return decided
}

// nextWake returns the time from now until a queued request needs the next
// tick, unless it is granted or refused before.
func (c *controller) nextWake(now time.Time, w *waiter) time.Duration {
	// The batch limit rises at most foregroundHold after the last lookup or order.
	wake := foregroundHold
	if !w.deadline.IsZero() {
		wake = min(wake, w.deadline.Sub(now)-c.classes[w.class].smoothed())
	}
	for _, g := range []*gate{&c.totalGate, &c.batchGate} {
		if pause := g.nextStart.Sub(now); pause > 0 {
			wake = min(wake, pause)
		}
	}
	return max(wake, 0) + time.Millisecond
}

func (w *waiter) expired(now time.Time) bool {
	return !w.deadline.IsZero() && !now.Before(w.deadline)
}

func (w *waiter) refuse(reason outcome.Reason, after time.Duration) *waiter {
	w.refusal = &lb.Refusal{Reason: reason, RetryAfter: max(after, minRetryAfter)}
	return w
}
