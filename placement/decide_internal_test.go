package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/table"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var start = time.Unix(1_700_000_000, 0)

var _ = Describe("the cost of a target", func() {
	idle := targetState{slots: 2, slowdown: 1}
	DescribeTable("an idle usual target costs less than",
		func(worse targetState) { Expect(idle.cost()).To(BeNumerically("<", worse.cost())) },
		Entry("a busy target", targetState{slots: 2, slowdown: 1, outstanding: 1}),
		Entry("a slow target", targetState{slots: 2, slowdown: 2}),
		Entry("a target that has just started", targetState{slots: 2, slowdown: 1, cold: true}),
		Entry("a target in another failure domain", targetState{slots: 2, slowdown: 1, crossDomain: true}),
		Entry("a target with failed calls", targetState{slots: 2, slowdown: 1, failureRate: 0.2}),
		Entry("a target without a report", targetState{slots: 2, reportAge: maxReportAge}),
	)

	It("prefers a busy usual target to an idle one in a slow spell", func() {
		Expect(targetState{slots: 2, slowdown: 1, outstanding: 1}.cost()).To(BeNumerically("<", targetState{slots: 2, slowdown: 5}.cost()))
	})

	// Guards against traffic between domains that saves callers little time.
	It("prefers a busy target of the own domain to an idle one of another", func() {
		local, remote := targetState{slots: 6, slowdown: 1, outstanding: 5}, targetState{slots: 6, slowdown: 1, crossDomain: true}
		Expect(local.cost()).To(BeNumerically("<", remote.cost()))
		local.slowdown = 5
		Expect(local.cost()).To(BeNumerically(">", remote.cost()))
	})

	// Guards against requests that wait in their own domain while another has room.
	It("prefers a target with two free slots to a full one of the own domain", func() {
		full := targetState{slots: 6, slowdown: 1, outstanding: 6}
		for outstanding := range 5 {
			Expect(targetState{slots: 6, slowdown: 1, outstanding: outstanding, crossDomain: true}.cost()).To(BeNumerically("<", full.cost()))
		}
	})

	It("adds failures to the cost, not to the expected duration", func() {
		failing := targetState{slots: 2, slowdown: 1, failureRate: 0.5}
		Expect(failing.durationFactor()).To(Equal(idle.durationFactor()))
	})
})

var _ = Describe("the decision about a request", func() {
	base := decisionInput{
		now: start, received: start, deadline: start.Add(time.Second),
		objective: 200 * time.Millisecond, serviceTime: 60 * time.Millisecond,
	}
	with := func(change func(s *decisionInput)) decisionInput {
		s := base
		change(&s)
		return s
	}
	free, full := targetState{slots: 2, outstanding: 1, slowdown: 1}, targetState{slots: 2, outstanding: 2, slowdown: 1}
	DescribeTable("depends on the best target and the time left",
		func(s decisionInput, want decision) { Expect(s.decide()).To(Equal(want)) },
		Entry("a free target", with(func(s *decisionInput) { s.best = free }), send),
		Entry("a full target, request just arrived", with(func(s *decisionInput) { s.best = full }), wait),
		Entry("a full target, after a tenth of the objective", with(func(s *decisionInput) {
			s.best, s.now = full, start.Add(20*time.Millisecond)
		}), send),
		Entry("a full target, few requests waiting", with(func(s *decisionInput) {
			s.best, s.waiting, s.servable = full, 2, 100
		}), wait),
		Entry("a full target, more requests waiting than slots get free in a tenth of the objective", with(func(s *decisionInput) {
			s.best, s.waiting, s.servable = full, 3, 100
		}), send),
		Entry("a target where another request is queued", with(func(s *decisionInput) {
			s.best, s.now = targetState{slots: 2, outstanding: 3, slowdown: 1}, start.Add(100*time.Millisecond)
		}), wait),
		Entry("less time left than the service time", with(func(s *decisionInput) {
			s.best, s.now = free, start.Add(950*time.Millisecond)
		}), refuse),
		Entry("all targets full, and the deadline before the expected end", with(func(s *decisionInput) {
			s.best, s.now = targetState{slots: 2, outstanding: 4, slowdown: 5}, start.Add(600*time.Millisecond)
		}), refuse),
		Entry("a hedged copy, a free target at usual speed", with(func(s *decisionInput) {
			s.best, s.hedge = targetState{slots: 2, slowdown: 1}, true
		}), send),
		Entry("a hedged copy, all targets full", with(func(s *decisionInput) { s.best, s.hedge = full, true }), refuse),
	)

	It("sets Retry-After to the expected duration, within bounds", func() {
		s := with(func(s *decisionInput) { s.best = full })
		Expect(s.retryAfter()).To(BeNumerically(">", s.serviceTime))
		s.serviceTime = time.Hour
		Expect(s.retryAfter()).To(Equal(maxRetryAfter))
		s.serviceTime = time.Microsecond
		Expect(s.retryAfter()).To(Equal(minRetryAfter))
	})
})

var _ = Describe("the order of waiting requests", func() {
	It("is by rank, then by lateness, then newest first, late ones oldest first", func() {
		w := func(id string, rank int, waited time.Duration) *waiter {
			return &waiter{q: lb.PlaceQuery{
				RequestID: id, Received: start.Add(-waited),
				Route: &table.Route{Rank: rank, Objective: 200 * time.Millisecond},
			}}
		}
		waiters := []*waiter{
			w("late", 1, 300*time.Millisecond), w("old", 1, 100*time.Millisecond), w("new", 1, 0),
			w("too late for its work", 1, 150*time.Millisecond), w("low", 2, 0), w("high and late", 0, time.Second),
		}
		sortWaiters(start, 60*time.Millisecond, starvation{starved: func(int) bool { return false }}, waiters)
		Expect(lo.Map(waiters, func(w *waiter, _ int) string { return w.q.RequestID })).To(Equal([]string{
			"high and late", "new", "old", "late", "too late for its work", "low"}))
	})

	It("puts a starved rank first", func() {
		waiters := []*waiter{
			{q: lb.PlaceQuery{RequestID: "high", Received: start, Route: &table.Route{Rank: 0}}},
			{q: lb.PlaceQuery{RequestID: "low", Received: start, Route: &table.Route{Rank: 2}}},
		}
		sortWaiters(start, 0, starvation{starved: func(rank int) bool { return rank == 2 }}, waiters)
		Expect(waiters[0].q.RequestID).To(Equal("low"))
	})
})

var _ = Describe("the health of a target", func() {
	failed := lb.Feedback{Result: lb.Result{Verdict: lb.Failed}}
	succeeded := lb.Feedback{Result: lb.Result{Verdict: lb.Succeeded}}

	It("ejects it after consecutive failures, longer each time, then allows one call at a time", func() {
		var h health
		h.recordEnd(start, failed)
		Expect(h.available(start, 0)).To(BeTrue())
		h.recordEnd(start, failed)
		Expect(h.available(start, 0)).To(BeFalse())
		ejectionEnd := start.Add(minEjection)
		Expect(h.available(ejectionEnd, 0)).To(BeTrue())
		Expect(h.available(ejectionEnd, 1)).To(BeFalse())
		h.recordEnd(ejectionEnd, failed)
		Expect(h.available(ejectionEnd.Add(minEjection), 0)).To(BeFalse())
		Expect(h.available(ejectionEnd.Add(2*minEjection), 0)).To(BeTrue())
		h.recordEnd(ejectionEnd.Add(2*minEjection), succeeded)
		Expect(h.available(ejectionEnd.Add(2*minEjection), 5)).To(BeTrue())
	})

	It("ejects it at once when no connection can be opened or another target answers", func() {
		var a, b health
		a.recordEnd(start, lb.Feedback{Result: lb.Result{Verdict: lb.Failed}, ConnectFailed: true})
		Expect(a.available(start, 0)).To(BeFalse())
		b.recordEnd(start, lb.Feedback{Result: lb.Result{Verdict: lb.Shed}, WrongTarget: true})
		Expect(b.available(start.Add(wrongTargetEjection-1), 0)).To(BeFalse())
	})

	It("ignores abandoned calls", func() {
		var h health
		for range 10 {
			h.recordEnd(start, lb.Feedback{Result: lb.Result{Verdict: lb.Abandoned}})
		}
		Expect(h).To(Equal(health{}))
	})
})

var _ = Describe("the calls to a target that reports no load", func() {
	const expected = 100 * time.Millisecond
	newCall := func(after time.Duration) call { return call{sentAt: start.Add(after), expected: expected} }

	It("show that it is slow while they are overdue and a short time after", func() {
		var t callTracker
		Expect(t.slowdown(start)).To(BeZero())
		t.begin(newCall(0))
		t.begin(newCall(50 * time.Millisecond))
		Expect(t.slowdown(start.Add(100 * time.Millisecond))).To(BeZero())
		Expect(t.slowdown(start.Add(300 * time.Millisecond))).To(BeNumerically("~", 3, 0.01))
		t.end(start.Add(400*time.Millisecond), newCall(0), true)
		t.end(start.Add(400*time.Millisecond), newCall(50*time.Millisecond), false)
		Expect(t.slowdown(start.Add(450 * time.Millisecond))).To(BeNumerically("~", 4, 0.01))
		Expect(t.slowdown(start.Add(700 * time.Millisecond))).To(BeZero())
	})

	It("show no slowdown when they end in time", func() {
		var t callTracker
		t.begin(newCall(0))
		t.end(start.Add(90*time.Millisecond), newCall(0), true)
		Expect(t.slowdown(start.Add(100 * time.Millisecond))).To(BeZero())
	})
})

var _ = Describe("the query budget", func() {
	It("keeps its rate whatever the demand", func() {
		var b queryBudget
		Expect(b.take(start, 5)).To(BeZero())
		b.setRate(10)
		taken := 0
		for i := range 10_000 {
			taken += b.take(start.Add(time.Duration(i)*time.Millisecond), 5)
		}
		Expect(taken).To(BeNumerically("~", 10*10+10*queryBurstPeriod.Seconds(), 5))
	})
})

var _ = Describe("an event rate", func() {
	It("follows the events and decays", func() {
		var p eventRate
		Expect(p.rate(start)).To(BeZero())
		now := start
		for range 500 {
			now = now.Add(10 * time.Millisecond)
			p.count(now)
		}
		Expect(p.rate(now)).To(BeNumerically("~", 100, 5))
		Expect(p.rate(now.Add(3 * time.Second))).To(BeNumerically("<", 10))
	})
})

func soleRole() backpressure.Role { return backpressure.Role{HeldSince: start, Hosts: 1} }

func setTargets(p *partition, targets ...registry.Target) {
	p.update(start, PoolSpec{HealthPath: "/health"}, targets, backpressure.NewBook())
}

var _ = Describe("a partition", func() {
	registered := func(id string, domain string) registry.Target {
		return registry.Target{Entry: registry.Entry{Instance: registry.Instance{ID: id, StartedMillis: 1}, FailureDomain: domain, Slots: 2}}
	}

	It("keeps the state of an instance, but not for its next process", func() {
		p := newPartition("p", 1, rand.New(rand.NewPCG(1, 1)), soleRole)
		setTargets(p, registered("a", "x"))
		p.recordReport(start, p.targets[0], load.Report{InFlight: 1, Slots: 2})
		setTargets(p, registered("a", "x"), registered("b", "x"))
		Expect(p.targets[0].reportAt).To(Equal(start))
		restarted := registered("a", "x")
		restarted.StartedMillis = 2
		setTargets(p, restarted)
		Expect(p.targets[0].reportAt.IsZero()).To(BeTrue())
	})

	It("picks targets of its own failure domain first, and of others too", func() {
		p := newPartition("p", 1, rand.New(rand.NewPCG(1, 1)), soleRole)
		setTargets(p, registered("a", "x"), registered("b", "x"), registered("c", "x"),
			registered("d", "y"), registered("e", "z"), registered("f", "z"))
		sameDomain := lo.CountBy(p.candidates(start, 5, 3, "x", nil), func(t *target) bool { return t.FailureDomain == "x" })
		Expect(sameDomain).To(Equal(3))
		Expect(p.candidates(start, 5, 3, "nowhere", nil)).To(HaveLen(5))
	})

	It("uses ejected targets when there are no others", func() {
		p := newPartition("p", 1, rand.New(rand.NewPCG(1, 1)), soleRole)
		setTargets(p, registered("a", "x"))
		p.targets[0].health.ejectedUntil = start.Add(time.Hour)
		Expect(p.candidates(start, 5, 3, "x", nil)).To(HaveLen(1))
	})

	It("stops querying targets that report no load", func() {
		p := newPartition("p", 1, rand.New(rand.NewPCG(1, 1)), soleRole)
		setTargets(p, registered("a", "x"))
		for range maxMissingReports {
			_, skip := p.queryPath()
			Expect(skip).To(BeFalse())
			p.countMissingReport()
		}
		_, skip := p.queryPath()
		Expect(skip).To(BeTrue())
		p.recordReport(start, p.targets[0], load.Report{Slots: 2})
		_, skip = p.queryPath()
		Expect(skip).To(BeFalse())
	})
})

var _ = Describe("the bound of load queries", func() {
	It("may change while requests are placed", func() {
		b, err := New(Options{LoadQuerier: HTTPLoadQuerier{}, MaxQueriesPerSecond: 60, QueryAllowance: func(string, int) QueryAllowance { return QueryAllowance{Share: 0.5} }})
		Expect(err).NotTo(HaveOccurred())
		Expect(b.queryRate("p", 1, 10)).To(Equal(300.0))
		b.SetMaxQueriesPerSecond(20)
		Expect(b.queryRate("p", 1, 10)).To(Equal(100.0))
		b.SetMaxQueriesPerSecond(0)
		Expect(b.queryRate("p", 1, 10)).To(Equal(DefaultMaxQueriesPerSecond * 5))
	})
})

var _ = Describe("the demand of a partition", func() {
	const slots = 20
	// loaded returns the demand on 20 slots whose calls take 100 ms, so that 200
	// requests a second can be served, after three seconds of the given arrivals.
	loaded := func(perSecond int) (d demand, now time.Time) {
		d = newDemand()
		d.recordCall(100 * time.Millisecond)
		for i := range 3 * perSecond {
			now = start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			d.arrivals.count(now)
		}
		return d, now
	}

	// Guards against refusals at a usual load: where no late request was placed
	// lately, three that waited together were refused with most of their time
	// left.
	It("lets late requests wait for the spare capacity of a pool that can serve all that arrive", func() {
		d, now := loaded(100)
		Expect(d.spareRate(now, slots)).To(BeNumerically("~", 100, 20))
		Expect(mayWaitLate(20, d.lateRate(now, slots), time.Second)).To(BeTrue())
		Expect(mayWaitLate(100, d.lateRate(now, slots), time.Second)).To(BeFalse())
	})

	It("lets late requests wait as far as late ones are placed while more arrive than can be served", func() {
		d, now := loaded(300)
		Expect(d.spareRate(now, slots)).To(BeZero())
		Expect(mayWaitLate(3, d.lateRate(now, slots), time.Second)).To(BeFalse())
		for range 10 {
			d.latePlaced.count(now)
		}
		Expect(mayWaitLate(3, d.lateRate(now, slots), time.Second)).To(BeTrue())
		Expect(mayWaitLate(20, d.lateRate(now, slots), time.Second)).To(BeFalse())
	})

	It("names a Retry-After by the work that was turned away", func() {
		d, now := loaded(100)
		for range 200 {
			d.refused.count(now)
		}
		Expect(d.retryAfter(now, slots)).To(Equal(minOverloadRetryAfter), "the targets can serve all that arrive")
		d, now = loaded(300)
		Expect(d.retryAfter(now, slots)).To(Equal(minOverloadRetryAfter))
		for range 200 {
			d.refused.count(now)
		}
		Expect(d.retryAfter(now, slots)).To(BeNumerically("~", time.Second, 10*time.Millisecond))
		for range 600 {
			d.refused.count(now)
		}
		Expect(d.retryAfter(now, slots)).To(Equal(maxRetryAfter))
	})
})
