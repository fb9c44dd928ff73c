package limit

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

func TestLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limit")
}

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func adaptive(limit, tolerance float64) Limiter { return NewAIMD(limit, tolerance) }

func fixed(limit, _ float64) Limiter { return NewAIMD(limit, 1e9) }

// testController returns a controller whose limit stays at 4 and whose classes
// all have a measured latency of 20 ms.
func testController() *controller {
	c := newController(bounds{start: 4, lowest: 4, highest: 4, batchFloor: 0.2}, fixed, fixed)
	for i := range c.classes {
		c.classes[i] = latency{ewma: 20 * time.Millisecond, baseline: 20 * time.Millisecond, samples: 100}
	}
	c.meanLatency = 20 * time.Millisecond
	return c
}

func submit(c *controller, now time.Time, class int, caller string, timeout time.Duration) *waiter {
	w := &waiter{class: class, caller: caller, deadline: now.Add(timeout)}
	c.arrive(now, w)
	return w
}

func succeeded(latency time.Duration) lb.Result {
	return lb.Result{Verdict: lb.Succeeded, Latency: latency}
}

var _ = Describe("controller", func() {
	It("refuses at once a request that can't meet its deadline, with a retry-after time", func() {
		c := testController()
		for range 12 {
			Expect(submit(c, start, lookupClass, "a", time.Second).refusal).To(BeNil())
		}
		w := submit(c, start, lookupClass, "a", 50*time.Millisecond)
		Expect(w.refusal).To(HaveValue(Equal(lb.Refusal{Reason: outcome.QueueFull, RetryAfter: minRetryAfter})))
		late := &waiter{class: lookupClass, deadline: start}
		c.arrive(start, late)
		Expect(late.refusal.Reason).To(Equal(outcome.DeadlinePassed))
	})

	It("refuses a queued request as soon as it can't meet its deadline", func() {
		c := testController()
		for range 4 {
			submit(c, start, lookupClass, "a", time.Second)
		}
		w := submit(c, start, lookupClass, "a", 100*time.Millisecond)
		c.tick(start.Add(79 * time.Millisecond))
		Expect(w.refusal).To(BeNil())
		c.tick(start.Add(85 * time.Millisecond))
		Expect(w.refusal.Reason).To(Equal(outcome.QueueFull))
	})

	It("refuses a flooding caller at the per-caller limit while others proceed", func() {
		c := testController()
		var refused *waiter
		for refused == nil || refused.refusal == nil {
			refused = submit(c, start, lookupClass, "flood", time.Minute)
		}
		Expect(refused.refusal.Reason).To(Equal(outcome.LimitReached))
		calm := submit(c, start, lookupClass, "calm", time.Second)
		for range 2 {
			c.release(start, lookupClass, succeeded(20*time.Millisecond))
		}
		Expect(calm.granted).To(BeTrue())
	})

	DescribeTable("serves lookups and orders ahead of a flood of batch requests, and batch at its floor",
		func(class, rate int) {
			c := testController()
			ends := make([][]int, 0)
			now := start
			run := func(ws []*waiter) {
				for _, w := range ws {
					Expect(w.granted).To(BeTrue())
					ends = append(ends, []int{int(now.Sub(start).Milliseconds()) + 20, w.class})
				}
			}
			for range 100 {
				run(c.arrive(now, &waiter{class: batchClass, caller: "nightly"}))
			}
			for ms := range 2000 {
				now = start.Add(time.Duration(ms) * time.Millisecond)
				for len(ends) > 0 && ends[0][0] <= ms {
					ended := ends[0][1]
					ends = ends[1:]
					run(c.release(now, ended, succeeded(20*time.Millisecond)))
				}
				if ms*rate/1000 != (ms+1)*rate/1000 {
					run(c.arrive(now, &waiter{class: class, caller: "planner", deadline: now.Add(time.Second)}))
				}
				Expect(len(c.queue.Values(class))).To(BeNumerically("<=", 4))
				if ms > 100 {
					Expect(c.batchGate.inFlight).To(BeNumerically("<=", 2), "half of the limit is reserved for lookups and orders")
				}
			}
			Expect(c.queue.Values(batchClass)).To(BeEmpty(), "100 batch requests fit into the idle quarter")
		},
		Entry("lookups at three quarters of the limit", lookupClass, 150),
		Entry("orders at three quarters of the limit", orderClass, 150),
		Entry("few lookups", lookupClass, 30))

	It("queues lookups and orders while the batch queue is full", func() {
		c := testController()
		for i := range 2 * maxQueued {
			submit(c, start, batchClass, strconv.Itoa(i), time.Hour)
		}
		Expect(submit(c, start, batchClass, "late", time.Hour).refusal.Reason).To(Equal(outcome.QueueFull))
		Expect(submit(c, start, lookupClass, "a", time.Second).refusal).To(BeNil())
		Expect(submit(c, start, orderClass, "a", time.Second).refusal).To(BeNil())
	})

	It("limits batch to its floor while lookups face long waits", func() {
		c := testController()
		c.batchLimiter = NewAIMD(4, 1e9)
		Expect(c.batchLimit(start)).To(Equal(4.0))
		for range 16 {
			submit(c, start, lookupClass, "a", time.Second)
		}
		Expect(c.batchLimit(start)).To(Equal(0.2))
		Expect(c.batchLimit(start.Add(congestionHold))).To(Equal(2.0))
	})

	It("limits batch to its floor while lookups queue at the targets", func() {
		c := testController()
		c.batchLimiter = NewAIMD(4, 1e9)
		c.totalLimiter = NewAIMD(4, 1e9)
		for range 40 {
			submit(c, start, lookupClass, "a", time.Second)
			c.release(start, lookupClass, succeeded(100*time.Millisecond))
		}
		Expect(c.batchLimit(start)).To(Equal(0.2))
	})

	It("doesn't report inflated latency for a pool with one slow target", func() {
		var l latency
		rng, above := rand.New(rand.NewPCG(1, 2)), 0
		for i := range 4000 {
			took := rng.ExpFloat64() * float64(20*time.Millisecond)
			if i%50 == 49 {
				took = float64(400 * time.Millisecond)
			}
			l.observe(time.Duration(took))
			if l.inflation() > congestedInflation {
				above++
			}
		}
		Expect(above).To(BeNumerically("<", 80), "at most 2 in 100, the share of slow calls")
	})

	It("doesn't let slow batch requests raise the expected wait of lookups", func() {
		c := testController()
		for i := range 200 {
			class, took := lookupClass, 20*time.Millisecond
			if i%20 == 19 {
				class, took = batchClass, 2*time.Second
			}
			Expect(submit(c, start, class, "a", time.Minute).granted).To(BeTrue())
			c.release(start, class, succeeded(took))
		}
		for range 14 {
			Expect(submit(c, start, lookupClass, "a", time.Second).refusal).To(BeNil())
		}
	})

	It("distinguishes queueing from the variance of service times", func() {
		var l latency
		rng, above := rand.New(rand.NewPCG(1, 2)), 0
		for range 5000 {
			l.observe(time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond)))
			if l.inflation() > totalTolerance {
				above++
			}
		}
		// The decreases of one false report in a hundred are smaller than the
		// increases of the other calls.
		Expect(above).To(BeNumerically("<", 50))
		for range 40 {
			l.observe(time.Duration((1 + rng.ExpFloat64()) * float64(80*time.Millisecond)))
		}
		Expect(l.inflation()).To(BeNumerically(">", totalTolerance))
	})

	It("is work-conserving: batch alone uses the whole limit", func() {
		c := testController()
		c.batchLimiter = NewAIMD(4, 1e9)
		for range 4 {
			Expect(submit(c, start, batchClass, "nightly", time.Hour).granted).To(BeTrue())
		}
	})

	It("raises the limit of a busy host above its share and lowers it on congestion", func() {
		b := newBounds(24, 18)
		c := newController(b, adaptive, adaptive)
		now := start
		for range 2000 {
			now = now.Add(time.Millisecond)
			for c.mayStart(now, lookupClass) {
				submit(c, now, lookupClass, "a", time.Second)
			}
			c.release(now, lookupClass, succeeded(20*time.Millisecond))
		}
		Expect(c.totalLimiter.Limit()).To(BeNumerically(">=", 24), "no other host uses the pool")
		for range 2000 {
			now = now.Add(time.Millisecond)
			c.release(now, lookupClass, lb.Result{Verdict: lb.Shed})
			c.totalGate.enter()
		}
		Expect(c.totalLimiter.Limit()).To(BeNumerically("~", b.lowest, 0.5))
	})

	It("enforces a limit below 1 by pauses", func() {
		var g gate
		starts := 0
		for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
			if g.allows(now, 0.25) {
				starts++
				g.enter()
				g.leave(now.Add(10*time.Millisecond), 0.25, 10*time.Millisecond)
			}
		}
		Expect(starts).To(Equal(25))
	})
})

// TestControllerAccounting checks that every waiter is granted or refused at
// most once, and that the number in flight equals the grants not yet released.
func TestControllerAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newController(newBounds(rapid.IntRange(1, 40).Draw(t, "slots"), rapid.IntRange(1, 40).Draw(t, "hosts")),
			adaptive, adaptive)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		seen, running, now := map[*waiter]bool{}, []*waiter{}, start
		take := func(ws []*waiter) {
			for _, w := range ws {
				if seen[w] || w.granted == (w.refusal != nil) {
					t.Fatal("a waiter was decided twice, or both granted and refused")
				}
				seen[w] = true
				if w.granted {
					running = append(running, w)
				}
			}
		}
		for range 300 {
			now = now.Add(time.Duration(rng.IntN(10)) * time.Millisecond)
			switch {
			case rng.IntN(2) == 0 || len(running) == 0:
				take(c.arrive(now, &waiter{class: rng.IntN(classCount), caller: string(rune('a' + rng.IntN(3))), deadline: now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)}))
			default:
				w := running[0]
				running = running[1:]
				take(c.release(now, w.class, lb.Result{Verdict: lb.Verdict(1 + rng.IntN(5)), Latency: 20 * time.Millisecond}))
			}
			if c.totalGate.inFlight != len(running) {
				t.Fatalf("%d in flight, want %d", c.totalGate.inFlight, len(running))
			}
		}
	})
}
