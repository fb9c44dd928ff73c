package balance_test

import (
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

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func addr(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 9000+i))
}

func targets(n int) []table.Target {
	return lo.Times(n, func(i int) table.Target {
		return table.Target{Addr: addr(i), FailureDomain: string(rune('a' + i%3))}
	})
}

func newBalancer(o balance.Options, spec balance.PoolSpec) *balance.Balancer {
	o.Host, o.FailureDomain, o.Seed = "entry-1", "a", 7
	b, err := balance.New(o)
	Expect(err).NotTo(HaveOccurred())
	Expect(b.Update(start, map[string]balance.PoolSpec{"p": spec})).To(Succeed())
	return b
}

func pick(b *balance.Balancer, now time.Time, exclude ...netip.AddrPort) lb.Attempt {
	a, ok := b.Pick(lb.PickQuery{Pool: "p", Class: table.Lookup, Now: now, Exclude: exclude})
	Expect(ok).To(BeTrue())
	return a
}

// countPicks sends n sequential requests and counts them by target.
func countPicks(b *balance.Balancer, now time.Time, n int, f lb.Feedback) map[netip.AddrPort]int {
	counts := map[netip.AddrPort]int{}
	for range n {
		a := pick(b, now)
		counts[a.Target()]++
		a.Done(now, f)
	}
	return counts
}

func succeeded(latency time.Duration) lb.Feedback {
	return lb.Feedback{Result: lb.Result{Verdict: lb.Succeeded, Latency: latency}}
}

var _ = Describe("Balancer", func() {
	for _, name := range balance.PolicyNames() {
		It(name+" uses every target and respects exclusions", func() {
			b := newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(4), Policy: name})
			if name == balance.Completion || name == balance.SubsetCompletion {
				// Sequential requests stay in the same failure domain;
				// concurrent ones spread over all targets.
				for range 40 {
					pick(b, start)
				}
				for _, s := range b.States(start, "p") {
					Expect(s.InFlight).To(BeNumerically("~", 10, 3))
				}
			} else {
				Expect(countPicks(b, start, 400, succeeded(time.Millisecond))).To(HaveLen(4))
			}
			for range 50 {
				Expect(pick(b, start, addr(0), addr(1), addr(2)).Target()).To(Equal(addr(3)))
			}
			_, ok := b.Pick(lb.PickQuery{Pool: "p", Now: start, Exclude: []netip.AddrPort{addr(0), addr(1), addr(2), addr(3)}})
			Expect(ok).To(BeFalse())
		})
	}

	It("offers exactly the policies that the configuration of a pool may name", func() {
		named := lo.Without(table.Policies, table.PolicyOwned)
		Expect(balance.PolicyNames()).To(ConsistOf(named))
	})

	It("round robin uses the targets in turn", func() {
		b := newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(5), Policy: balance.RoundRobin})
		for _, n := range countPicks(b, start, 50, succeeded(0)) {
			Expect(n).To(Equal(10))
		}
	})

	It("least outstanding keeps the in-flight counts equal", func() {
		b := newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(5), Policy: balance.LeastOutstanding})
		for range 10 {
			pick(b, start)
		}
		for _, s := range b.States(start, "p") {
			Expect(s.InFlight).To(Equal(2))
		}
	})

	It("rejects an unknown policy and changes nothing", func() {
		b := newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(2)})
		err := b.Update(start, map[string]balance.PoolSpec{"q": {Policy: "nearest"}})
		Expect(err).To(MatchError(ContainSubstring("pool q: policy \"nearest\": expected one of")))
		Expect(b.Pools()).To(Equal([]string{"p"}))
	})

	It("keeps the state of targets that remain and counts the end of an attempt once", func() {
		b := newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(1)})
		a := pick(b, start)
		Expect(b.Update(start, map[string]balance.PoolSpec{"p": {Targets: targets(3)}})).To(Succeed())
		Expect(b.States(start, "p")[0].InFlight).To(Equal(1))
		a.Done(start, succeeded(0))
		a.Done(start, succeeded(0))
		Expect(b.States(start, "p")[0].InFlight).To(Equal(0))
	})

	It("returns no target for an unknown pool", func() {
		b := newBalancer(balance.Options{}, balance.PoolSpec{})
		_, ok := b.Pick(lb.PickQuery{Pool: "q", Now: start})
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Drain", func() {
	It("sends no requests to a target whose response said draining, and notifies peers once", func() {
		var notified []netip.AddrPort
		b := newBalancer(balance.Options{
			OnDrain: func(_ time.Time, t netip.AddrPort) { notified = append(notified, t) },
		}, balance.PoolSpec{Targets: targets(3)})
		a := pick(b, start)
		for range 2 {
			a.Done(start, lb.Feedback{Result: lb.Result{Verdict: lb.Succeeded}, Draining: true})
		}
		Expect(notified).To(Equal([]netip.AddrPort{a.Target()}))
		Expect(countPicks(b, start, 100, succeeded(0))).NotTo(HaveKey(a.Target()))
	})

	It("accepts drains from a peer, the operator or the host list", func() {
		b := newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(3), Drain: []netip.AddrPort{addr(0)}})
		Expect(b.MarkDraining(start, addr(1))).To(BeTrue())
		Expect(b.MarkDraining(start, addr(1))).To(BeFalse())
		Expect(countPicks(b, start, 100, succeeded(0))).To(Equal(map[netip.AddrPort]int{addr(2): 100}))
		b.MarkDraining(start, addr(2))
		_, ok := b.Pick(lb.PickQuery{Pool: "p", Now: start})
		Expect(ok).To(BeFalse(), "a pool whose targets are all draining has no target")
	})

	It("clears a drain mark by a probe only after the minimum time, and by expiry without probes", func() {
		b := newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(1)})
		state := func(at time.Duration) string { return b.States(start.Add(at), "p")[0].State }
		b.ProbeDone(start, addr(0), probe.Result{Draining: true})
		b.ProbeDone(start.Add(29*time.Second), addr(0), probe.Result{})
		Expect(state(29*time.Second)).To(Equal("leaving"), "a health endpoint lags")
		b.ProbeDone(start.Add(30*time.Second), addr(0), probe.Result{})
		Expect(state(30 * time.Second)).To(Equal("ready"))
		b.MarkDraining(start, addr(0))
		Expect(state(10 * time.Minute)).To(Equal("leaving"))
		Expect(state(10*time.Minute + 1)).To(Equal("ready"))
	})
})
