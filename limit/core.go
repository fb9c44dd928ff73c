package limit

import (
	"time"

	"github.com/chestnutfield/chestnutfield/limit/fair"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// maxQueued is the highest number of requests of one class queued for one
	// pool, so that a class which fills its queue takes no place of another.
	maxQueued = 512
	// maxQueuedCaller is the highest number that one caller may have queued
	// for one pool.
	maxQueuedCaller = 128
	// foregroundMemory is how long batch keeps clear of lookups and orders
	// after the last of them.
	foregroundMemory = time.Second
	// pressedWait is the wait of a lookup or order, in latencies, from which
	// batch is held to its floor, and pressedMemory for how long.
	pressedWait = 2
	// pressedInflation is the inflation of a lookup's or order's latency that
	// does the same: it waits at the targets.
	pressedInflation = 2.5
	pressedMemory    = 250 * time.Millisecond
	// sweepInterval is the time between two looks at what can't be met.
	sweepInterval = 5 * time.Millisecond
	// minRetryAfter is the shortest hint of a refusal.
	minRetryAfter = 50 * time.Millisecond
)

// Class numbers in the fair queue.
const (
	lookupClass = iota
	orderClass
	batchClass
	classCount
)

// The weights of the classes when all are queued.
const (
	lookupWeight = 8
	orderWeight  = 8
	batchWeight  = 1
)

func classNumber(c table.Class) int {
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
	// granted and refusal are set once the waiter is decided; decided is
	// closed by the shell.
	granted bool
	refusal *ports.Refusal
	decided chan struct{}
}

// core decides the admissions of one pool. It is pure: time comes in, and the
// waiters that a call has decided come out.
type core struct {
	bounds  bounds
	total   Limiter
	batch   Limiter
	all     gate
	batches gate
	classes [classCount]latency
	// mix is the smoothed latency of all classes as they are mixed.
	mix   time.Duration
	queue *fair.Queue[*waiter]
	// foreground is the time of the last lookup or order.
	foreground time.Time
	// pressed is the time at which a lookup or order last faced a long wait,
	// here or at the targets.
	pressed time.Time
	swept   time.Time
}

// makeLimiter makes a limiter from its starting limit and the inflation of
// latency that it tolerates.
type makeLimiter func(limit, tolerance float64) Limiter

func newCore(b bounds, total, batch makeLimiter) *core {
	c := &core{
		total: total(b.start, totalTolerance),
		batch: batch(b.start/2, batchTolerance),
		mix:   initialLatency,
		queue: fair.New[*waiter](lookupWeight, orderWeight, batchWeight),
	}
	c.rebound(b)
	return c
}

func (c *core) rebound(b bounds) {
	c.bounds = b
	c.total.Bound(b.lowest, b.highest)
	c.batch.Bound(b.batchFloor, b.highest)
}

// arrive decides a request at once or queues it.
func (c *core) arrive(now time.Time, w *waiter) (decided []*waiter) {
	if w.class != batchClass {
		c.foreground = now
	}
	if w.expired(now) {
		return []*waiter{w.refuse(outcome.DeadlinePassed, 0)}
	}
	decided = c.sweep(now)
	if reason, after := c.refusal(now, w); reason != 0 {
		return append(decided, w.refuse(reason, after))
	}
	if w.class != batchClass && c.expectedWait(now, w) > pressedWait*c.mix {
		c.pressed = now
	}
	w.item = c.queue.Push(w.class, w.caller, w)
	return append(decided, c.dispatch(now)...)
}

// refusal returns why a request can't be queued, 0 when it can.
func (c *core) refusal(now time.Time, w *waiter) (outcome.Reason, time.Duration) {
	wait := c.expectedWait(now, w)
	switch {
	case c.queue.CallerLen(w.class, w.caller) >= maxQueuedCaller:
		return outcome.LimitReached, wait
	case c.queue.ClassLen(w.class) >= maxQueued:
		return outcome.QueueFull, wait
	case wait > 0 && c.misses(now, w, wait):
		return outcome.QueueFull, wait
	default:
		return 0, 0
	}
}

// misses reports whether a request that waits can't meet its deadline.
func (c *core) misses(now time.Time, w *waiter, wait time.Duration) bool {
	return !w.deadline.IsZero() && now.Add(wait+c.classes[w.class].smoothed()).After(w.deadline)
}

// expectedWait returns the time until a request pushed now would start.
func (c *core) expectedWait(now time.Time, w *waiter) time.Duration {
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

// waitAt returns the wait of the request with rank others before it.
func (c *core) waitAt(rank int) time.Duration {
	return time.Duration(float64(rank+1) * float64(c.mix) / c.total.Limit())
}

func (c *core) batchWaitAt(now time.Time, rank int) time.Duration {
	latency := c.classes[batchClass].smoothed()
	return time.Duration(float64(rank+1) * float64(latency) / c.batchLimit(now))
}

// batchLimit keeps half of the limit clear of batch while lookups or orders
// come, and all but the floor while they wait for long.
func (c *core) batchLimit(now time.Time) float64 {
	limit := c.total.Limit()
	switch {
	case now.Sub(c.pressed) < pressedMemory:
		return c.bounds.batchFloor
	case now.Sub(c.foreground) < foregroundMemory:
		limit /= 2
	}
	return max(min(c.batch.Limit(), limit), c.bounds.batchFloor)
}

func (c *core) mayStart(now time.Time, class int) bool {
	if !c.all.open(now, c.total.Limit()) {
		return false
	}
	return class != batchClass || c.batches.open(now, c.batchLimit(now))
}

// dispatch grants what may start.
func (c *core) dispatch(now time.Time) (decided []*waiter) {
	for {
		w, ok := c.queue.Pop(func(class int) bool { return c.mayStart(now, class) })
		if !ok {
			return decided
		}
		c.all.enter()
		if w.class == batchClass {
			c.batches.enter()
		}
		w.granted = true
		decided = append(decided, w)
	}
}

// release ends a granted request.
func (c *core) release(now time.Time, class int, r ports.Result) []*waiter {
	lat := &c.classes[class]
	if r.Verdict == ports.Succeeded || r.Verdict == ports.TimedOut {
		lat.observe(r.Latency)
		c.mix = follow(c.mix, r.Latency, mixWeight)
	}
	if class != batchClass && lat.inflation() > pressedInflation {
		c.pressed = now
	}
	signal := Signal{
		Now: now, Verdict: r.Verdict, InFlight: c.all.inFlight,
		Inflation: lat.inflation(), Latency: lat.smoothed(),
	}
	c.total.Observe(signal)
	signal.InFlight = c.batches.inFlight
	c.batch.Observe(signal)
	c.all.leave(now, c.total.Limit(), r.Latency)
	if class == batchClass {
		c.batches.leave(now, c.batchLimit(now), r.Latency)
	}
	return c.tick(now)
}

// tick refuses what can't be met any more and grants what may start.
func (c *core) tick(now time.Time) []*waiter {
	return append(c.sweep(now), c.dispatch(now)...)
}

// cancel takes a waiter out of the queue; false when it was decided before.
func (c *core) cancel(w *waiter) bool {
	return w.item != nil && !w.granted && w.refusal == nil && c.queue.Remove(w.item)
}

// sweep refuses queued requests that can't meet their deadline any more.
func (c *core) sweep(now time.Time) (decided []*waiter) {
	if c.queue.Len() == 0 || now.Sub(c.swept) < sweepInterval {
		return nil
	}
	c.swept = now
	for class := range classCount {
		for rank, w := range c.queue.Values(class) {
			wait := c.waitAt(rank)
			if class == batchClass {
				wait = max(wait, c.batchWaitAt(now, rank))
			}
			// The next to start waits for no other.
			if rank == 0 {
				wait = 0
			}
			if c.misses(now, w, wait) && c.queue.Remove(w.item) {
				decided = append(decided, w.refuse(outcome.QueueFull, wait))
			}
		}
	}
	return decided
}

// wake returns when a queued request wants a tick, if it isn't decided before.
func (c *core) wake(now time.Time, w *waiter) time.Duration {
	wake := foregroundMemory
	if !w.deadline.IsZero() {
		wake = min(wake, w.deadline.Sub(now)-c.classes[w.class].smoothed())
	}
	for _, g := range []*gate{&c.all, &c.batches} {
		if pause := g.next.Sub(now); pause > 0 {
			wake = min(wake, pause)
		}
	}
	return max(wake, 0) + time.Millisecond
}

func (w *waiter) expired(now time.Time) bool {
	return !w.deadline.IsZero() && !now.Before(w.deadline)
}

func (w *waiter) refuse(reason outcome.Reason, after time.Duration) *waiter {
	w.refusal = &ports.Refusal{Reason: reason, RetryAfter: max(after, minRetryAfter)}
	return w
}
