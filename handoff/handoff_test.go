package handoff_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/handoff"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/owner"
	"github.com/chestnutfield/chestnutfield/table"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// direct is an lb.Balancer that always selects directTarget and counts its
// calls.
type direct struct{ picks int }

var directTarget = netip.MustParseAddrPort("127.0.0.1:9999")

type directAttempt struct{}

func (directAttempt) Target() netip.AddrPort      { return directTarget }
func (directAttempt) Done(time.Time, lb.Feedback) {}

func (d *direct) Pick(lb.PickQuery) (lb.Attempt, bool) {
	d.picks++
	return directAttempt{}, true
}

func peers(n int) []handoff.Peer {
	ps := make([]handoff.Peer, n)
	for i := range ps {
		ps[i] = handoff.Peer{
			Member: owner.Member{Name: fmt.Sprintf("entry-%d", i), FailureDomain: string(rune('a' + i%3))},
			Addr:   netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i)),
		}
	}
	return ps
}

func pool() map[string]handoff.PoolSpec {
	var targets []table.Target
	for i := range 12 {
		targets = append(targets, table.Target{
			Addr:          netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
			FailureDomain: string(rune('a' + i%3)),
		})
	}
	return map[string]handoff.PoolSpec{"p": {Targets: targets, Slots: 2}}
}

var _ = Describe("Balancer", func() {
	var (
		d *direct
		b *handoff.Balancer
	)
	BeforeEach(func() {
		d = &direct{}
		b = handoff.New(handoff.Options{Self: peers(1)[0].Member, Direct: d, Seed: 1})
	})
	pick := func(exclude ...netip.AddrPort) lb.Attempt {
		a, ok := b.Pick(lb.PickQuery{Pool: "p", Now: start, Exclude: exclude})
		Expect(ok).To(BeTrue())
		return a
	}

	It("hands requests to owners in the group's failure domain", func() {
		b.Update(peers(18), pool())
		a, isPeer := pick().(lb.PeerAttempt)
		Expect(isPeer).To(BeTrue())
		group, ok := a.Group()
		Expect(ok).To(BeTrue())
		at := int(a.Target().Port()) - 7000
		Expect(group).To(Equal("p@" + peers(18)[at].FailureDomain))
		Expect(d.picks).To(BeZero())
	})

	It("tries other owners, then dispatches directly", func() {
		b.Update(peers(18), pool())
		var tried []netip.AddrPort
		for range 3 {
			a := pick(tried...)
			Expect(tried).NotTo(ContainElement(a.Target()))
			a.Done(start, lb.Feedback{ConnectFailed: true})
			tried = append(tried, a.Target())
		}
		Expect(pick(tried...).Target()).To(Equal(directTarget))
	})

	It("dispatches directly while all owners are unreachable, and hands requests off again later", func() {
		b.Update(peers(18), pool())
		for range 3 {
			pick().Done(start, lb.Feedback{ConnectFailed: true})
		}
		Expect(pick().Target()).To(Equal(directTarget))
		a, ok := b.Pick(lb.PickQuery{Pool: "p", Now: start.Add(5 * time.Second)})
		Expect(ok).To(BeTrue())
		Expect(a.Target()).NotTo(Equal(directTarget))
	})

	It("dispatches directly when it is the only host or the pool is unknown", func() {
		Expect(pick().Target()).To(Equal(directTarget))
		b.Update(peers(1), pool())
		Expect(pick().Target()).To(Equal(directTarget))
		b.Update(peers(18), nil)
		Expect(pick().Target()).To(Equal(directTarget))
	})

	It("admits immediately what it hands off and delegates the rest", func() {
		admission := b.Admission(refuseAll{})
		_, refusal := admission.Admit(context.Background(), lb.AdmitQuery{Pool: "p"})
		Expect(refusal).NotTo(BeNil())
		b.Update(peers(18), pool())
		permit, refusal := admission.Admit(context.Background(), lb.AdmitQuery{Pool: "p"})
		Expect(refusal).To(BeNil())
		permit.Release(start, lb.Result{})
	})

	It("delegates the admission while no owner can be reached", func() {
		b = handoff.New(handoff.Options{Self: peers(1)[0].Member, Direct: d, Clock: clockwork.NewFakeClockAt(start)})
		b.Update(peers(18), pool())
		for range 3 {
			pick().Done(start, lb.Feedback{ConnectFailed: true})
		}
		_, refusal := b.Admission(refuseAll{}).Admit(context.Background(), lb.AdmitQuery{Pool: "p"})
		Expect(refusal).NotTo(BeNil())
	})

	It("records the load from responses, once per attempt", func() {
		b.Update(peers(18), pool())
		first := pick()
		first.Done(start, lb.Feedback{GroupLoad: "500 8 20000"})
		first.Done(start, lb.Feedback{GroupLoad: "0 8 20000"})
		second := pick()
		second.Done(start, lb.Feedback{GroupLoad: "8 8 20000"})
		third := pick()
		third.Done(start, lb.Feedback{GroupLoad: "8 8 20000"})
		for range 20 {
			Expect(pick().Target()).NotTo(Equal(first.Target()))
		}
	})
})

// whileQueued calls the function while the request waits for admission and then
// refuses it.
type whileQueued func()

func (f whileQueued) Admit(context.Context, lb.AdmitQuery) (lb.Permit, *lb.Refusal) {
	f()
	return nil, &lb.Refusal{Reason: outcome.QueueFull}
}

type refuseAll struct{}

func (refuseAll) Admit(context.Context, lb.AdmitQuery) (lb.Permit, *lb.Refusal) {
	return nil, &lb.Refusal{Reason: outcome.QueueFull}
}

var _ = Describe("Meter", func() {
	It("counts from admission to release and averages the service time", func() {
		m := handoff.NewMeter(nil)
		m.SetSlots(map[string]int{"p@a": 8})
		p, refusal := m.Admit(context.Background(), lb.AdmitQuery{Pool: "p@a"})
		Expect(refusal).To(BeNil())
		r, ok := m.Load("p@a")
		Expect(ok).To(BeTrue())
		Expect(r).To(Equal(owner.GroupLoad{Backlog: 1, Slots: 8}))
		text, ok := m.GroupLoadHeader("p@a")
		Expect(ok).To(BeTrue())
		Expect(text).To(Equal("1 8 0"))
		p.Release(start, lb.Result{Verdict: lb.Succeeded, Latency: 20 * time.Millisecond})
		p.Release(start, lb.Result{Verdict: lb.Succeeded, Latency: 20 * time.Millisecond})
		r, _ = m.Load("p@a")
		Expect(r).To(Equal(owner.GroupLoad{Slots: 8, ServiceTime: 20 * time.Millisecond}))
	})

	It("ignores the latency of failures in the service time", func() {
		m := handoff.NewMeter(nil)
		m.SetSlots(map[string]int{"p@a": 8})
		p, _ := m.Admit(context.Background(), lb.AdmitQuery{Pool: "p@a"})
		p.Release(start, lb.Result{Verdict: lb.Failed, Latency: time.Microsecond})
		r, _ := m.Load("p@a")
		Expect(r.ServiceTime).To(BeZero())
	})

	DescribeTable("counts the requests that a lookup would wait for",
		func(class table.Class, queued int) {
			var m *handoff.Meter
			m = handoff.NewMeter(whileQueued(func() {
				r, _ := m.Load("p@a")
				Expect(r.Backlog).To(Equal(queued))
			}))
			m.SetSlots(map[string]int{"p@a": 8})
			_, _ = m.Admit(context.Background(), lb.AdmitQuery{Pool: "p@a", Class: class})
			r, _ := m.Load("p@a")
			Expect(r.Backlog).To(BeZero())
			admitting := handoff.NewMeter(nil)
			admitting.SetSlots(map[string]int{"p@a": 8})
			_, _ = admitting.Admit(context.Background(), lb.AdmitQuery{Pool: "p@a", Class: class})
			r, _ = admitting.Load("p@a")
			Expect(r.Backlog).To(Equal(1))
		},
		Entry("lookups in the queue", table.Lookup, 1),
		Entry("orders in the queue", table.Order, 1),
		Entry("no batch in the queue, which lookups overtake", table.Batch, 0),
	)

	It("does not count refused requests and does not know unlisted groups", func() {
		m := handoff.NewMeter(refuseAll{})
		m.SetSlots(map[string]int{"p@a": 8})
		_, refusal := m.Admit(context.Background(), lb.AdmitQuery{Pool: "p@a"})
		Expect(refusal).NotTo(BeNil())
		r, _ := m.Load("p@a")
		Expect(r.Backlog).To(BeZero())
		_, ok := m.Load("p@b")
		Expect(ok).To(BeFalse())
	})
})

func FuzzParseGroupLoad(f *testing.F) {
	for _, seed := range []string{"1 2 3", "", "-1 2 3", "1 2", "9999999999999 1 1", "1 2 3 4", "a b c"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, err := handoff.ParseGroupLoad(text)
		if err == nil && !r.Valid() {
			t.Fatalf("%q was parsed to an invalid load: %+v", text, r)
		}
		if err == nil {
			if again, err := handoff.ParseGroupLoad(handoff.FormatGroupLoad(r)); err != nil || again != r {
				t.Fatalf("%q changed in a round trip: %+v, %+v, %v", text, r, again, err)
			}
		}
	})
}
