package limit

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
)

func TestLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limit")
}

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func adaptive(limit, tolerance float64) Limiter { return NewAIMD(limit, tolerance) }

func fixed(limit, _ float64) Limiter { return NewAIMD(limit, 1e9) }

// testCore has a limit that stays at 4 and a known latency of 20 ms.
func testCore() *core {
	c := newCore(bounds{start: 4, lowest: 4, highest: 4, batchFloor: 0.2}, fixed, fixed)
	for i := range c.classes {
		c.classes[i] = latency{short: 20 * time.Millisecond, base: 20 * time.Millisecond, samples: 100}
	}
	c.mix = 20 * time.Millisecond
	return c
}

func ask(c *core, now time.Time, class int, caller string, timeout time.Duration) *waiter {
	w := &waiter{class: class, caller: caller, deadline: now.Add(timeout)}
	c.arrive(now, w)
	return w
}

func ran(latency time.Duration) ports.Result {
	return ports.Result{Verdict: ports.Succeeded, Latency: latency}
}

var _ = Describe("core", func() {
	It("refuses at once what can't meet its deadline and says when to return", func() {
		c := testCore()
		for range 12 {
			Expect(ask(c, start, lookupClass, "a", time.Second).refusal).To(BeNil())
		}
		w := ask(c, start, lookupClass, "a", 50*time.Millisecond)
		Expect(w.refusal).To(HaveValue(Equal(ports.Refusal{Reason: outcome.QueueFull, RetryAfter: minRetryAfter})))
		late := &waiter{class: lookupClass, deadline: start}
		c.arrive(start, late)
		Expect(late.refusal.Reason).To(Equal(outcome.DeadlinePassed))
	})

	It("refuses a queued request as soon as it can't be met", func() {
		c := testCore()
		for range 4 {
			ask(c, start, lookupClass, "a", time.Second)
		}
		w := ask(c, start, lookupClass, "a", 100*time.Millisecond)
		c.tick(start.Add(79 * time.Millisecond))
		Expect(w.refusal).To(BeNil())
		c.tick(start.Add(85 * time.Millisecond))
		Expect(w.refusal.Reason).To(Equal(outcome.QueueFull))
	})

	It("lets a caller that floods meet its own limit while others proceed", func() {
		c := testCore()
		var refused *waiter
		for refused == nil || refused.refusal == nil {
			refused = ask(c, start, lookupClass, "flood", time.Minute)
		}
		Expect(refused.refusal.Reason).To(Equal(outcome.LimitReached))
		calm := ask(c, start, lookupClass, "calm", time.Second)
		for range 2 {
			c.release(start, lookupClass, ran(20*time.Millisecond))
		}
		Expect(calm.granted).To(BeTrue())
	})

	DescribeTable("serves lookups and orders ahead of a batch flood, and batch at its floor",
		func(class, rate int) {
			c := testCore()
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
					run(c.release(now, ended, ran(20*time.Millisecond)))
				}
				if ms*rate/1000 != (ms+1)*rate/1000 {
					run(c.arrive(now, &waiter{class: class, caller: "planner", deadline: now.Add(time.Second)}))
				}
				Expect(len(c.queue.Values(class))).To(BeNumerically("<=", 4))
				if ms > 100 {
					Expect(c.batches.inFlight).To(BeNumerically("<=", 2), "half stays clear")
				}
			}
			Expect(c.queue.Values(batchClass)).To(BeEmpty(), "100 batch requests fit into the idle quarter")
		},
		Entry("lookups at three quarters of the limit", lookupClass, 150),
		Entry("orders at three quarters of the limit", orderClass, 150),
		Entry("few lookups", lookupClass, 30))

	It("takes lookups and orders while the queue is full of batch", func() {
		c := testCore()
		for i := range 2 * maxQueued {
			ask(c, start, batchClass, strconv.Itoa(i), time.Hour)
		}
		Expect(ask(c, start, batchClass, "late", time.Hour).refusal.Reason).To(Equal(outcome.QueueFull))
		Expect(ask(c, start, lookupClass, "a", time.Second).refusal).To(BeNil())
		Expect(ask(c, start, orderClass, "a", time.Second).refusal).To(BeNil())
	})

	It("holds batch to its floor while lookups wait for long", func() {
		c := testCore()
		c.batch = NewAIMD(4, 1e9)
		Expect(c.batchLimit(start)).To(Equal(4.0))
		for range 16 {
			ask(c, start, lookupClass, "a", time.Second)
		}
		Expect(c.batchLimit(start)).To(Equal(0.2))
		Expect(c.batchLimit(start.Add(pressedMemory))).To(Equal(2.0))
	})

	It("holds batch to its floor while lookups wait at the targets", func() {
		c := testCore()
		c.batch = NewAIMD(4, 1e9)
		c.total = NewAIMD(4, 1e9)
		for range 40 {
			ask(c, start, lookupClass, "a", time.Second)
			c.release(start, lookupClass, ran(100*time.Millisecond))
		}
		Expect(c.batchLimit(start)).To(Equal(0.2))
	})

	It("doesn't take one slow target for a loaded pool", func() {
		var l latency
		rng, above := rand.New(rand.NewPCG(1, 2)), 0
		for i := range 4000 {
			took := rng.ExpFloat64() * float64(20*time.Millisecond)
			if i%50 == 49 {
				took = float64(400 * time.Millisecond)
			}
			l.observe(time.Duration(took))
			if l.inflation() > pressedInflation {
				above++
			}
		}
		Expect(above).To(BeNumerically("<", 80), "2 in 100, as many as are slow")
	})

	It("doesn't take the time of exports for that of lookups", func() {
		c := testCore()
		for i := range 200 {
			class, took := lookupClass, 20*time.Millisecond
			if i%20 == 19 {
				class, took = batchClass, 2*time.Second
			}
			Expect(ask(c, start, class, "a", time.Minute).granted).To(BeTrue())
			c.release(start, class, ran(took))
		}
		for range 14 {
			Expect(ask(c, start, lookupClass, "a", time.Second).refusal).To(BeNil())
		}
	})

	It("tells queueing from the spread of service times", func() {
		var l latency
		rng, above := rand.New(rand.NewPCG(1, 2)), 0
		for range 5000 {
			l.observe(time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond)))
			if l.inflation() > totalTolerance {
				above++
			}
		}
		// One in a hundred costs less than what the rest give back.
		Expect(above).To(BeNumerically("<", 50))
		for range 40 {
			l.observe(time.Duration((1 + rng.ExpFloat64()) * float64(80*time.Millisecond)))
		}
		Expect(l.inflation()).To(BeNumerically(">", totalTolerance))
	})

	It("is work-conserving: batch alone uses the whole limit", func() {
		c := testCore()
		c.batch = NewAIMD(4, 1e9)
		for range 4 {
			Expect(ask(c, start, batchClass, "nightly", time.Hour).granted).To(BeTrue())
		}
	})

	It("grows a busy host past its share and cuts it on congestion", func() {
		b := newBounds(24, 18)
		c := newCore(b, adaptive, adaptive)
		now := start
		for range 2000 {
			now = now.Add(time.Millisecond)
			for c.mayStart(now, lookupClass) {
				ask(c, now, lookupClass, "a", time.Second)
			}
			c.release(now, lookupClass, ran(20*time.Millisecond))
		}
		Expect(c.total.Limit()).To(BeNumerically(">=", 24), "the whole pool is idle otherwise")
		for range 2000 {
			now = now.Add(time.Millisecond)
			c.release(now, lookupClass, ports.Result{Verdict: ports.Shed})
			c.all.enter()
		}
		Expect(c.total.Limit()).To(BeNumerically("~", b.lowest, 0.5))
	})

	It("keeps a limit below 1 by pauses", func() {
		var g gate
		starts := 0
		for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
			if g.open(now, 0.25) {
				starts++
				g.enter()
				g.leave(now.Add(10*time.Millisecond), 0.25, 10*time.Millisecond)
			}
		}
		Expect(starts).To(Equal(25))
	})
})

// TestCoreAccounts: every waiter is decided at most once, and the number in
// flight is that of grants not released.
func TestCoreAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCore(newBounds(rapid.IntRange(1, 40).Draw(t, "slots"), rapid.IntRange(1, 40).Draw(t, "hosts")),
			adaptive, adaptive)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		seen, running, now := map[*waiter]bool{}, []*waiter{}, start
		take := func(ws []*waiter) {
			for _, w := range ws {
				if seen[w] || w.granted == (w.refusal != nil) {
					t.Fatal("decided twice or both ways")
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
				take(c.release(now, w.class, ports.Result{Verdict: ports.Verdict(1 + rng.IntN(5)), Latency: 20 * time.Millisecond}))
			}
			if c.all.inFlight != len(running) {
				t.Fatalf("%d in flight, want %d", c.all.inFlight, len(running))
			}
		}
	})
}
