package balance_test

import (
	"container/heap"
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/probe"
	"github.com/chestnutfield/chestnutfield/table"
)

const serviceTime = 20 * time.Millisecond

// drive sends a lookup every gap for the given span and ends each after the
// latency that respond returns, never when it is negative. It counts the requests
// by target.
func drive(b *balance.Balancer, from time.Time, span, gap time.Duration,
	respond func(target int, now time.Time) (time.Duration, lb.Feedback),
) (calls map[int]int) {
	calls = map[int]int{}
	var events simQueue
	for at := time.Duration(0); at < span; at += gap {
		heap.Push(&events, simEvent{at, func() {
			a := pick(b, from.Add(at))
			i := int(a.Target().Port()) - 9000
			calls[i]++
			latency, f := respond(i, from.Add(at))
			f.Latency = latency
			if latency >= 0 {
				heap.Push(&events, simEvent{at + latency, func() { a.Done(from.Add(at+latency), f) }})
			}
		}})
	}
	for events.Len() > 0 {
		heap.Pop(&events).(simEvent).run()
	}
	return calls
}

func healthy(int, time.Time) (time.Duration, lb.Feedback) {
	f := succeeded(serviceTime)
	f.LoadReport = "TEXT named_metrics.in_flight=1, named_metrics.queued=0"
	return serviceTime, f
}

// faulty makes target 0 behave as given and the others be healthy.
func faulty(latency time.Duration, f lb.Feedback) func(int, time.Time) (time.Duration, lb.Feedback) {
	return func(i int, now time.Time) (time.Duration, lb.Feedback) {
		if i == 0 {
			return latency, f
		}
		return healthy(i, now)
	}
}

func verdict(v lb.Verdict) lb.Feedback { return lb.Feedback{Result: lb.Result{Verdict: v}} }

func stateOf(b *balance.Balancer, now time.Time, i int) balance.TargetState {
	return b.States(now, "p")[i]
}

var _ = Describe("A faulty target", func() {
	const gap = 5 * time.Millisecond
	var b *balance.Balancer

	for _, policy := range balance.PolicyNames() {
		DescribeTable(policy+" ejects a target",
			func(latency time.Duration, f lb.Feedback, most int) {
				b = newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(6), Policy: policy})
				drive(b, start, time.Second, gap, healthy)
				calls := drive(b, start.Add(2*time.Second), 2*time.Second, gap, faulty(latency, f))
				Expect(calls[0]).To(BeNumerically("<=", most), "of 400 calls, 67 each")
			},
			Entry("that fails fast", time.Millisecond, verdict(lb.Failed), 20),
			Entry("that sheds everything without announcing a drain", time.Millisecond, verdict(lb.Shed), 20),
			Entry("that is slow ×10", 10*serviceTime, succeeded(0), 30),
			Entry("that accepts and never answers", time.Duration(-1), lb.Feedback{}, 30),
		)
	}

	It("returns through a few trial requests, never an order, and a growing share", func() {
		b = newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(4), Policy: balance.P2C})
		drive(b, start, time.Second, gap, healthy)
		at := start.Add(time.Second)
		drive(b, at, time.Second/2, gap, faulty(time.Millisecond, verdict(lb.Failed)))
		Expect(stateOf(b, at.Add(time.Second/2), 0).State).To(Equal("set-aside"))
		later := at.Add(5 * time.Second)
		for range 20 {
			a, ok := b.Pick(lb.PickQuery{Pool: "p", Class: table.Order, Now: later})
			Expect(ok).To(BeTrue())
			Expect(a.Target()).NotTo(Equal(addr(0)))
			a.Done(later, succeeded(serviceTime))
		}
		first := pick(b, later)
		Expect(first.Target()).To(Equal(addr(0)), "one lookup is its trial")
		Expect(pick(b, later).Target()).NotTo(Equal(addr(0)), "one at a time")
		first.Done(later, succeeded(serviceTime))
		calls := drive(b, later, time.Second, gap, healthy)
		Expect(stateOf(b, later.Add(time.Second), 0).State).To(Equal("ramping"))
		Expect(calls[0]).To(BeNumerically("<", 25), "of 200 calls, 50 each at the normal share")
		full := drive(b, later.Add(10*time.Second), time.Second, gap, healthy)
		Expect(full[0]).To(BeNumerically("~", 50, 20))
	})

	It("is ejected again by a failed probe but not readmitted by a successful one", func() {
		b = newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(4), Policy: balance.P2C})
		drive(b, start, time.Second, gap, healthy)
		drive(b, start.Add(time.Second), time.Second/2, gap, faulty(time.Millisecond, verdict(lb.Failed)))
		at := start.Add(1500 * time.Millisecond)
		b.ProbeDone(at, addr(0), probe.Result{})
		Expect(stateOf(b, at, 0).State).To(Equal("set-aside"))
		b.ProbeDone(at, addr(0), probe.Result{Failed: true})
		pick(b, start.Add(3*time.Second-time.Millisecond))
		Expect(stateOf(b, start.Add(3*time.Second-time.Millisecond), 0).State).To(Equal("set-aside"))
	})

	DescribeTable("does not empty the pool when all targets fail",
		func(f lb.Feedback, latency time.Duration) {
			b = newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(6)})
			drive(b, start, time.Second, gap, healthy)
			used := drive(b, start.Add(time.Second), 5*time.Second, gap,
				func(int, time.Time) (time.Duration, lb.Feedback) { return latency, f })
			Expect(len(used)).To(BeNumerically(">=", 3))
		},
		Entry("failing fast", verdict(lb.Failed), time.Millisecond),
		Entry("slow", succeeded(0), 10*serviceTime),
		Entry("shedding", verdict(lb.Shed), time.Millisecond),
	)

	It("followed by others leaves half of the pool in use", func() {
		b = newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(6), Policy: balance.Random})
		for failing := range 6 {
			drive(b, start.Add(time.Duration(failing)*time.Second/2), time.Second/2, gap,
				func(i int, now time.Time) (time.Duration, lb.Feedback) {
					if i < failing {
						return time.Millisecond, verdict(lb.Failed)
					}
					return healthy(i, now)
				})
		}
		Expect(len(countPicks(b, start.Add(3*time.Second), 60, verdict(lb.Abandoned)))).To(BeNumerically(">=", 3))
	})

	It("isn't inferred from long batch requests among lookups", func() {
		b = newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(6)})
		drive(b, start, time.Second, gap, healthy)
		for i := range 60 {
			now := start.Add(time.Second + time.Duration(i)*20*time.Millisecond)
			export, ok := b.Pick(lb.PickQuery{Pool: "p", Class: table.Batch, Now: now})
			Expect(ok).To(BeTrue())
			if i%2 == 0 {
				export.Done(now.Add(2*time.Second), succeeded(2*time.Second))
			}
			drive(b, now, 20*time.Millisecond, gap, healthy)
		}
		for _, s := range b.States(start.Add(3*time.Second), "p") {
			Expect(s.State).To(Equal("ready"))
			Expect(s.Latency).To(BeNumerically("<=", 2*serviceTime))
		}
	})

	It("isn't inferred from one long request while others are answered", func() {
		b = newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(2), Policy: balance.RoundRobin})
		drive(b, start, time.Second, gap, healthy)
		long := pick(b, start.Add(time.Second))
		drive(b, start.Add(time.Second), time.Second, gap, healthy)
		Expect(stateOf(b, start.Add(2*time.Second), int(long.Target().Port())-9000).State).To(Equal("ready"))
	})

	It("shares its ramp-up with a new target, which starts with a small share", func() {
		b = newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(3), Policy: balance.Random})
		Expect(b.Update(start, map[string]balance.PoolSpec{"p": {Targets: targets(4), Policy: balance.Random}})).To(Succeed())
		Expect(countPicks(b, start, 1000, succeeded(serviceTime))[addr(3)]).To(BeNumerically("<", 50))
		Expect(countPicks(b, start.Add(5*time.Second), 1000, succeeded(serviceTime))[addr(3)]).To(BeNumerically("~", 250, 50))
	})
})

var _ = Describe("Load reports", func() {
	const gap = 2500 * time.Microsecond

	DescribeTable("that mislead lose their weight",
		func(latency time.Duration, report string) {
			b := newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(6), Policy: balance.P2CShared})
			f := succeeded(0)
			f.LoadReport = report
			calls := 0
			honest := func(i int, now time.Time) (time.Duration, lb.Feedback) {
				if i == 0 {
					return latency, f
				}
				calls++
				_, f := healthy(i, now)
				f.LoadReport = fmt.Sprintf("TEXT named_metrics.in_flight=2, named_metrics.queued=%d", 1+calls%3)
				return 2 * serviceTime, f
			}
			drive(b, start, 4*time.Second, gap, honest)
			Expect(stateOf(b, start, 0).Trust).To(BeNumerically("<", 0.5))
			Expect(stateOf(b, start, 1).Trust).To(BeNumerically(">", 0.9))
		},
		Entry("idle while calls are slow", 7*serviceTime, "TEXT named_metrics.in_flight=0, named_metrics.queued=0"),
		Entry("frozen high while calls are fast", serviceTime/4, "TEXT named_metrics.in_flight=2, named_metrics.queued=9"),
		Entry("frozen while calls agree", 2*serviceTime, "TEXT named_metrics.in_flight=2, named_metrics.queued=2"),
		Entry("absurd", serviceTime, "TEXT named_metrics.in_flight=-7, named_metrics.queued=1e30"),
	)

	It("of an idle pool may stay at zero", func() {
		b := newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(3), Policy: balance.RoundRobin})
		drive(b, start, 4*time.Second, 30*time.Millisecond, func(int, time.Time) (time.Duration, lb.Feedback) {
			f := succeeded(0)
			f.LoadReport = "TEXT named_metrics.in_flight=0, named_metrics.queued=0"
			return serviceTime, f
		})
		Expect(stateOf(b, start, 0).Trust).To(Equal(1.0))
	})

	It("of a peer are used when they are newer, and passed on to other peers", func() {
		b := newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(2), Policy: balance.P2CShared})
		_, f := healthy(0, start)
		countPicks(b, start, 20, f)
		now := start.Add(2 * time.Second)
		b.Incoming(now, "entry-2", []lb.TargetLoad{
			{Target: addr(0), Reported: 9, Latency: serviceTime, Age: time.Millisecond},
			{Target: addr(1), Reported: 9, Latency: serviceTime, Age: time.Minute},
			{Target: addr(9), Reported: 9},
		})
		Expect(stateOf(b, now, 0).Estimate).To(BeNumerically(">", 8))
		Expect(stateOf(b, now, 1).Estimate).To(BeNumerically("<", 3), "too old")
		out := b.Outgoing(now, 1)
		Expect(out).To(HaveLen(1))
		Expect(out[0].Target).To(Equal(addr(0)))
		Expect(out[0].Reported).To(Equal(9))
	})
})

var _ = Describe("Connections", func() {
	for _, policy := range balance.PolicyNames() {
		It(policy+" stays within this host's share at each target while other targets have connections left", func() {
			b := newBalancer(balance.Options{Membership: simHosts{"entry-1", "entry-2"}},
				balance.PoolSpec{Targets: targets(6), Connections: 8, Policy: policy})
			for range 12 {
				pick(b, start)
			}
			for _, s := range b.States(start, "p") {
				Expect(s.InFlight).To(Equal(2))
			}
			pick(b, start)
		})
	}
})

var _ = Describe("An exclusive pool", func() {
	exclusive := func() *balance.Balancer {
		return newBalancer(balance.Options{Membership: simHosts{"entry-1", "entry-2", "entry-3"}},
			balance.PoolSpec{Targets: targets(2), Connections: 250, Exclusive: true, Policy: balance.Completion})
	}

	It("does not lengthen ejections by the number of hosts", func() {
		b := exclusive()
		now := start
		for stateOf(b, now, 0).State != "set-aside" {
			now = now.Add(time.Millisecond)
			pick(b, now, addr(1)).Done(now, lb.Feedback{Result: lb.Result{Verdict: lb.Failed}})
			pick(b, now, addr(0)).Done(now, succeeded(time.Millisecond))
		}
		now = now.Add(1600 * time.Millisecond)
		pick(b, now)
		Expect(stateOf(b, now, 0).State).NotTo(Equal("set-aside"))
	})

	It("ejects a target that sheds everything for the longest time, as one that shuts down unannounced", func() {
		b := exclusive()
		inFlight := lo.Times(3, func(int) lb.Attempt { return pick(b, start, addr(1)) })
		for _, a := range inFlight {
			a.Done(start, lb.Feedback{Result: lb.Result{Verdict: lb.Shed}})
		}
		for ms := 0; ms < 14000; ms += 20 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			a := pick(b, now)
			Expect(a.Target()).To(Equal(addr(1)))
			a.Done(now, succeeded(time.Millisecond))
		}
	})

	It("does not eject a target for a few slow calls at the start", func() {
		b := exclusive()
		for i := range 5 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			pick(b, now, addr(1)).Done(now, succeeded(100*time.Millisecond))
			pick(b, now, addr(0)).Done(now, succeeded(10*time.Millisecond))
		}
		pick(b, start.Add(time.Second))
		Expect(stateOf(b, start.Add(time.Second), 0).State).To(Equal("ready"))
	})
})

var _ = Describe("Probes", func() {
	It("are sent only where the result is useful", func() {
		b := newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(3), Drain: []netip.AddrPort{addr(2)}})
		wants := func(at time.Duration, i int) probe.Kind { return b.ProbeKind(start.Add(at), "p", addr(i)) }
		Expect(wants(0, 0)).To(Equal(probe.None), "an idle pool")
		pick(b, start).Done(start, succeeded(serviceTime))
		Expect(wants(0, 0)).To(Equal(probe.Load))
		b.ProbeDone(start, addr(0), probe.Result{Report: "TEXT named_metrics.in_flight=1"})
		Expect(wants(time.Second/2, 0)).To(Equal(probe.None), "a fresh report")
		Expect(wants(0, 2)).To(Equal(probe.None), "drained by the operator")
		b.MarkDraining(start, addr(1))
		Expect(wants(time.Second, 1)).To(Equal(probe.None))
		Expect(wants(time.Minute, 1)).To(Equal(probe.Health))
	})
})
