package attempt

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/outcome"
)

var (
	begin = time.Unix(1000, 0)
	end   = begin.Add(time.Second)
)

// feed steps through events of attempt 1 at the beginning and returns the
// last action.
func feed(m *Machine, kinds ...EventKind) (act Action) {
	for _, k := range kinds {
		act = m.Step(Event{Kind: k, Attempt: max(1, act.Attempt), At: begin, Reason: outcome.NoTarget})
	}
	return act
}

var _ = Describe("the life of a request", func() {
	It("sends an order once, and says unknown when it was lost", func() {
		m := New(Config{Deadline: end, Retries: 3})
		act := feed(m, Admitted, Picked, Sent, Lost)
		Expect(act).To(Equal(Action{Kind: Finish, End: End{Outcome: outcome.Unknown, Reason: outcome.UpstreamLost}}))
	})

	It("sends an order elsewhere when no connection could be opened", func() {
		m := New(Config{Deadline: end})
		act := feed(m, Admitted, Picked, ConnectFailed)
		Expect(act).To(Equal(Action{Kind: Pick, Attempt: 2, Budgeted: true}))
	})

	It("sends an order elsewhere when the upstream says that it did not run it", func() {
		m := New(Config{Deadline: end})
		feed(m, Admitted, Picked, Sent)
		act := m.Step(Event{Kind: Header, Attempt: 1, Status: 503, NotRun: true, At: begin})
		Expect(act).To(Equal(Action{Kind: Pick, Attempt: 2, Budgeted: true}))
		act = m.Step(Event{Kind: NoTarget, Attempt: 2, At: begin, Reason: outcome.NoTarget})
		Expect(act).To(Equal(Action{Kind: Forward, Attempt: 1}))
		Expect(m.Step(Event{Kind: Answered, Attempt: 1}).End).To(Equal(End{Outcome: outcome.NotRun}))
	})

	It("passes on a 5xx to an order that does not say so", func() {
		m := New(Config{Deadline: end})
		feed(m, Admitted, Picked, Sent)
		Expect(m.Step(Event{Kind: Header, Attempt: 1, Status: 503, At: begin}).Kind).To(Equal(Forward))
	})

	It("sends a lookup again after a 5xx, within its retries", func() {
		m := New(Config{Idempotent: true, Retries: 1, Deadline: end})
		feed(m, Admitted, Picked, Sent)
		act := m.Step(Event{Kind: Header, Attempt: 1, Status: 500, At: begin})
		Expect(act.Kind).To(Equal(Pick))
		feed2 := func(k EventKind, status int) Action {
			return m.Step(Event{Kind: k, Attempt: 2, Status: status, At: begin})
		}
		Expect(feed2(Picked, 0).Kind).To(Equal(Dispatch))
		Expect(feed2(Sent, 0).Kind).To(Equal(Write))
		Expect(feed2(Header, 500)).To(Equal(Action{Kind: Forward, Attempt: 1}))
	})

	It("does not start anything after the deadline", func() {
		m := New(Config{Idempotent: true, Retries: 3, Deadline: end})
		feed(m, Admitted, Picked, Sent)
		act := m.Step(Event{Kind: Lost, Attempt: 1, At: end})
		Expect(act.Kind).To(Equal(Finish))
	})

	It("hedges a lookup whose first attempt still connects", func() {
		m := New(Config{Idempotent: true, Deadline: end})
		feed(m, Admitted, Picked)
		Expect(feed(m, HedgeDue)).To(Equal(Action{Kind: Pick, Attempt: 2, Budgeted: true}))
	})

	It("hedges a lookup and takes the first answer", func() {
		m := New(Config{Idempotent: true, Deadline: end})
		feed(m, Admitted, Picked, Sent)
		Expect(feed(m, HedgeDue)).To(Equal(Action{Kind: Pick, Attempt: 2, Budgeted: true}))
		for _, k := range []EventKind{Picked, Sent} {
			m.Step(Event{Kind: k, Attempt: 2, At: begin})
		}
		Expect(m.Step(Event{Kind: Header, Attempt: 2, Status: 200, At: begin})).To(Equal(Action{Kind: Forward, Attempt: 2}))
		Expect(m.Step(Event{Kind: Header, Attempt: 1, Status: 200, At: begin}).Kind).To(Equal(Abandon))
	})

	DescribeTable("says what is known when it is cut short",
		func(fed []EventKind, last EventKind, want End) {
			m := New(Config{Deadline: end})
			feed(m, fed...)
			Expect(m.Step(Event{Kind: last, At: begin}).End).To(Equal(want))
		},
		Entry("expired in the queue", nil, Expired, End{outcome.NotRun, outcome.DeadlinePassed}),
		Entry("expired while connecting", []EventKind{Admitted, Picked}, Expired, End{outcome.NotRun, outcome.DeadlinePassed}),
		Entry("expired after sending", []EventKind{Admitted, Picked, Sent}, Expired, End{outcome.Unknown, outcome.UpstreamTimeout}),
		Entry("cancelled in the queue", nil, Cancelled, End{outcome.NotRun, outcome.CallerGone}),
		Entry("cancelled after sending", []EventKind{Admitted, Picked, Sent}, Cancelled, End{outcome.Unknown, outcome.CallerGone}),
	)
})

var _ = Describe("a hedge", func() {
	It("counts as one of the further attempts that the route allows", func() {
		now := time.Unix(1_700_000_000, 0)
		m := New(Config{Idempotent: true, Retries: 1, Deadline: now.Add(time.Minute)})
		step := func(ev Event) Action {
			ev.At = now
			return m.Step(ev)
		}
		Expect(step(Event{Kind: Admitted}).Kind).To(Equal(Pick))
		step(Event{Kind: Picked, Attempt: 1})
		step(Event{Kind: Sent, Attempt: 1})
		Expect(step(Event{Kind: HedgeDue}).Attempt).To(Equal(2))
		step(Event{Kind: Picked, Attempt: 2})
		step(Event{Kind: Sent, Attempt: 2})
		Expect(step(Event{Kind: Header, Attempt: 1, Status: 500}).Kind).To(Equal(Wait))
		Expect(step(Event{Kind: Header, Attempt: 2, Status: 500}).Kind).To(Equal(Forward))
	})
})
