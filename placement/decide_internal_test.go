package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/table"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var start = time.Unix(1_700_000_000, 0)

var _ = Describe("the cost of a target", func() {
	idle := view{slots: 2, slowdown: 1}
	DescribeTable("an idle usual target costs less than",
		func(worse view) { Expect(idle.cost()).To(BeNumerically("<", worse.cost())) },
		Entry("a busy one", view{slots: 2, slowdown: 1, present: 1}),
		Entry("a slow one", view{slots: 2, slowdown: 2}),
		Entry("a cold one", view{slots: 2, slowdown: 1, cold: true}),
		Entry("a far one", view{slots: 2, slowdown: 1, far: true}),
		Entry("a failing one", view{slots: 2, slowdown: 1, failures: 0.2}),
		Entry("one of which nothing is known", view{slots: 2, age: staleAfter}),
	)

	It("prefers a busy usual target to an idle one in a slow spell", func() {
		Expect(view{slots: 2, slowdown: 1, present: 1}.cost()).To(BeNumerically("<", view{slots: 2, slowdown: 5}.cost()))
	})

	It("counts failures against a target, not as time", func() {
		failing := view{slots: 2, slowdown: 1, failures: 0.5}
		Expect(failing.duration()).To(Equal(idle.duration()))
	})
})

var _ = Describe("a waiting request", func() {
	base := situation{
		now: start, received: start, deadline: start.Add(time.Second),
		objective: 200 * time.Millisecond, work: 60 * time.Millisecond,
	}
	with := func(change func(s *situation)) situation {
		s := base
		change(&s)
		return s
	}
	free, full := view{slots: 2, present: 1, slowdown: 1}, view{slots: 2, present: 2, slowdown: 1}
	DescribeTable("is decided about",
		func(s situation, want verdict) { Expect(s.decide()).To(Equal(want)) },
		Entry("a free target", with(func(s *situation) { s.best = free }), send),
		Entry("a full one, just arrived", with(func(s *situation) { s.best = full }), wait),
		Entry("a full one, after a tenth of the objective", with(func(s *situation) {
			s.best, s.now = full, start.Add(20*time.Millisecond)
		}), send),
		Entry("one where another queues already", with(func(s *situation) {
			s.best, s.now = view{slots: 2, present: 3, slowdown: 1}, start.Add(100*time.Millisecond)
		}), wait),
		Entry("less time left than the work takes", with(func(s *situation) {
			s.best, s.now = free, start.Add(950*time.Millisecond)
		}), refuse),
		Entry("all full, and the deadline nearer than the end of what is ahead", with(func(s *situation) {
			s.best, s.now = view{slots: 2, present: 4, slowdown: 5}, start.Add(600*time.Millisecond)
		}), refuse),
		Entry("a second copy, a free usual target", with(func(s *situation) {
			s.best, s.beside = view{slots: 2, slowdown: 1}, true
		}), send),
		Entry("a second copy, nothing but busy ones", with(func(s *situation) { s.best, s.beside = full, true }), refuse),
	)

	It("is told to come back after what is ahead of it, within bounds", func() {
		s := with(func(s *situation) { s.best = full })
		Expect(s.comeBack()).To(BeNumerically(">", s.work))
		s.work = time.Hour
		Expect(s.comeBack()).To(Equal(mostReturn))
		s.work = time.Microsecond
		Expect(s.comeBack()).To(Equal(leastReturn))
	})
})

var _ = Describe("the order of waiting requests", func() {
	It("is by rank, then what the caller can still gain, then newest first", func() {
		w := func(id string, rank int, waited time.Duration) *waiter {
			return &waiter{q: ports.PlaceQuery{
				RequestID: id, Received: start.Add(-waited),
				Route: &table.Route{Rank: rank, Objective: 200 * time.Millisecond},
			}}
		}
		waiters := []*waiter{
			w("late", 1, 300*time.Millisecond), w("old", 1, 100*time.Millisecond), w("new", 1, 0),
			w("too late for its work", 1, 150*time.Millisecond), w("low", 2, 0), w("high and late", 0, time.Second),
		}
		order(start, 60*time.Millisecond, func(int) bool { return false }, waiters)
		Expect(lo.Map(waiters, func(w *waiter, _ int) string { return w.q.RequestID })).To(Equal([]string{
			"high and late", "new", "old", "late", "too late for its work", "low"}))
	})

	It("puts a starved rank before the others", func() {
		waiters := []*waiter{
			{q: ports.PlaceQuery{RequestID: "high", Received: start, Route: &table.Route{Rank: 0}}},
			{q: ports.PlaceQuery{RequestID: "low", Received: start, Route: &table.Route{Rank: 2}}},
		}
		order(start, 0, func(rank int) bool { return rank == 2 }, waiters)
		Expect(waiters[0].q.RequestID).To(Equal("low"))
	})
})

var _ = Describe("the health of a target", func() {
	failed := ports.Feedback{Result: ports.Result{Verdict: ports.Failed}}
	succeeded := ports.Feedback{Result: ports.Result{Verdict: ports.Succeeded}}

	It("sets it aside after failures in a row, longer each time, and tries one call then", func() {
		var h health
		h.ended(start, failed)
		Expect(h.open(start, 0)).To(BeTrue())
		h.ended(start, failed)
		Expect(h.open(start, 0)).To(BeFalse())
		back := start.Add(asideFirst)
		Expect(h.open(back, 0)).To(BeTrue())
		Expect(h.open(back, 1)).To(BeFalse())
		h.ended(back, failed)
		Expect(h.open(back.Add(asideFirst), 0)).To(BeFalse())
		Expect(h.open(back.Add(2*asideFirst), 0)).To(BeTrue())
		h.ended(back.Add(2*asideFirst), succeeded)
		Expect(h.open(back.Add(2*asideFirst), 5)).To(BeTrue())
	})

	It("sets it aside at once when it can't be connected to or is another one", func() {
		var a, b health
		a.ended(start, ports.Feedback{Result: ports.Result{Verdict: ports.Failed}, ConnectFailed: true})
		Expect(a.open(start, 0)).To(BeFalse())
		b.ended(start, ports.Feedback{Result: ports.Result{Verdict: ports.Shed}, WrongTarget: true})
		Expect(b.open(start.Add(wrongAside-1), 0)).To(BeFalse())
	})

	It("takes nothing from calls that were given up", func() {
		var h health
		for range 10 {
			h.ended(start, ports.Feedback{Result: ports.Result{Verdict: ports.Abandoned}})
		}
		Expect(h).To(Equal(health{}))
	})
})

var _ = Describe("the calls at a target that tells no load", func() {
	const expected = 100 * time.Millisecond
	call := func(after time.Duration) sent { return sent{at: start.Add(after), expected: expected} }

	It("that are behind say that it is slow, while they last and a short time after", func() {
		var t track
		Expect(t.slowdown(start)).To(BeZero())
		t.begin(call(0))
		t.begin(call(50 * time.Millisecond))
		Expect(t.slowdown(start.Add(100 * time.Millisecond))).To(BeZero())
		Expect(t.slowdown(start.Add(300 * time.Millisecond))).To(BeNumerically("~", 3, 0.01))
		t.end(start.Add(400*time.Millisecond), call(0), true)
		t.end(start.Add(400*time.Millisecond), call(50*time.Millisecond), false)
		Expect(t.slowdown(start.Add(450 * time.Millisecond))).To(BeNumerically("~", 4, 0.01))
		Expect(t.slowdown(start.Add(700 * time.Millisecond))).To(BeZero())
	})

	It("that end in time say that it is not", func() {
		var t track
		t.begin(call(0))
		t.end(start.Add(90*time.Millisecond), call(0), true)
		Expect(t.slowdown(start.Add(100 * time.Millisecond))).To(BeZero())
	})
})

var _ = Describe("the budget of questions", func() {
	It("keeps its rate whatever is wanted", func() {
		var b budget
		Expect(b.take(start, 5)).To(BeZero())
		b.set(10)
		asked := 0
		for i := range 10_000 {
			asked += b.take(start.Add(time.Duration(i)*time.Millisecond), 5)
		}
		Expect(asked).To(BeNumerically("~", 10*10+10*budgetBurst.Seconds(), 5))
	})
})

var _ = Describe("the pace of a pool", func() {
	It("follows the calls that end", func() {
		var p pace
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

var _ = Describe("a pool", func() {
	registered := func(id string, domain string) registry.Target {
		return registry.Target{Entry: registry.Entry{Instance: registry.Instance{ID: id, Born: 1}, FailureDomain: domain, Slots: 2}}
	}

	It("keeps what it knows of an instance, and nothing of its next run", func() {
		p := newPool("p", 1, rand.New(rand.NewPCG(1, 1)))
		p.update("/health", []registry.Target{registered("a", "x")})
		p.take(start, p.targets[0], load.Report{InFlight: 1, Slots: 2})
		p.update("/health", []registry.Target{registered("a", "x"), registered("b", "x")})
		Expect(p.targets[0].reportAt).To(Equal(start))
		again := registered("a", "x")
		again.Born = 2
		p.update("/health", []registry.Target{again})
		Expect(p.targets[0].reportAt.IsZero()).To(BeTrue())
	})

	It("asks targets of other failure domains too, and the own domain first", func() {
		p := newPool("p", 1, rand.New(rand.NewPCG(1, 1)))
		p.update("/health", []registry.Target{
			registered("a", "x"), registered("b", "x"), registered("c", "x"),
			registered("d", "y"), registered("e", "z"), registered("f", "z"),
		})
		near := lo.CountBy(p.candidates(start, 5, "x", nil), func(t *target) bool { return t.FailureDomain == "x" })
		Expect(near).To(Equal(3))
		Expect(p.candidates(start, 5, "nowhere", nil)).To(HaveLen(5))
	})

	It("uses targets that are set aside when there are no others", func() {
		p := newPool("p", 1, rand.New(rand.NewPCG(1, 1)))
		p.update("/health", []registry.Target{registered("a", "x")})
		p.targets[0].health.until = start.Add(time.Hour)
		Expect(p.candidates(start, 5, "x", nil)).To(HaveLen(1))
	})

	It("stops asking targets that tell no load", func() {
		p := newPool("p", 1, rand.New(rand.NewPCG(1, 1)))
		p.update("/health", []registry.Target{registered("a", "x")})
		for range silentAfter {
			_, silent := p.asks()
			Expect(silent).To(BeFalse())
			p.noteSilent()
		}
		_, silent := p.asks()
		Expect(silent).To(BeTrue())
		p.take(start, p.targets[0], load.Report{Slots: 2})
		_, silent = p.asks()
		Expect(silent).To(BeFalse())
	})
})

var _ = Describe("the bound of questions", func() {
	It("may change while requests are placed", func() {
		b, err := New(Options{Asker: HTTPAsker{}, QuestionsPerSecond: 60, Share: func(string, int) float64 { return 0.5 }})
		Expect(err).NotTo(HaveOccurred())
		Expect(b.questionRate("p", 1, 10)).To(Equal(300.0))
		b.SetQuestions(20)
		Expect(b.questionRate("p", 1, 10)).To(Equal(100.0))
		b.SetQuestions(0)
		Expect(b.questionRate("p", 1, 10)).To(Equal(DefaultQuestions * 5))
	})
})
