package attempt

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/outcome"
)

var (
	start = time.Unix(1000, 0)
	end   = start.Add(time.Second)
)

// feed reports events to m, all at time start and for the attempt of the
// previous action, and returns the last action.
func feed(m *Machine, kinds ...EventKind) (act Action) {
	for _, k := range kinds {
		act = m.Step(Event{Kind: k, Attempt: max(1, act.Attempt), At: start, Reason: outcome.NoTarget})
	}
	return act
}

var _ = Describe("A request", func() {
	It("sends a non-idempotent request once and reports unknown when the connection is lost", func() {
		m := New(Config{Deadline: end, Retries: 3})
		act := feed(m, Admitted, Picked, Sending, ConnectionLost)
		Expect(act).To(Equal(Action{Kind: Finish, End: End{Outcome: outcome.Unknown, Reason: outcome.UpstreamLost}}))
	})

	It("retries a non-idempotent request when no connection could be opened", func() {
		m := New(Config{Deadline: end})
		act := feed(m, Admitted, Picked, ConnectFailed)
		Expect(act).To(Equal(Action{Kind: Pick, Attempt: 2, NeedsBudget: true}))
	})

	It("retries a non-idempotent request when the upstream says that it did not run it", func() {
		m := New(Config{Deadline: end})
		feed(m, Admitted, Picked, Sending)
		act := m.Step(Event{Kind: HeaderReceived, Attempt: 1, Status: 503, NotRun: true, At: start})
		Expect(act).To(Equal(Action{Kind: Pick, Attempt: 2, NeedsBudget: true}))
		act = m.Step(Event{Kind: NoTarget, Attempt: 2, At: start, Reason: outcome.NoTarget})
		Expect(act).To(Equal(Action{Kind: Forward, Attempt: 1}))
		Expect(m.Step(Event{Kind: ResponseComplete, Attempt: 1}).End).To(Equal(End{Outcome: outcome.NotRun}))
	})

	It("forwards a 5xx response to a non-idempotent request that does not say not-run", func() {
		m := New(Config{Deadline: end})
		feed(m, Admitted, Picked, Sending)
		Expect(m.Step(Event{Kind: HeaderReceived, Attempt: 1, Status: 503, At: start}).Kind).To(Equal(Forward))
	})

	// Guards against an order that ran and whose caller takes the status for not run.
	It("replaces a response that would promise not-run to a non-idempotent request that may have run", func() {
		for status, act := range map[int]Action{
			503: {Kind: Finish, End: End{Outcome: outcome.Unknown, Reason: outcome.UpstreamFailed}},
			408: {Kind: Finish, End: End{Outcome: outcome.Unknown, Reason: outcome.UpstreamFailed}},
			500: {Kind: Forward, Attempt: 1},
		} {
			m := New(Config{Deadline: end, StatusPromises: true})
			feed(m, Admitted, Picked, Sending)
			Expect(m.Step(Event{Kind: HeaderReceived, Attempt: 1, Status: status, At: start})).To(Equal(act))
		}
	})

	It("retries an idempotent request after a 5xx response, up to its retry limit", func() {
		m := New(Config{Idempotent: true, Retries: 1, Deadline: end})
		feed(m, Admitted, Picked, Sending)
		act := m.Step(Event{Kind: HeaderReceived, Attempt: 1, Status: 500, At: start})
		Expect(act.Kind).To(Equal(Pick))
		feed2 := func(k EventKind, status int) Action {
			return m.Step(Event{Kind: k, Attempt: 2, Status: status, At: start})
		}
		Expect(feed2(Picked, 0).Kind).To(Equal(Dispatch))
		Expect(feed2(Sending, 0).Kind).To(Equal(Write))
		Expect(feed2(HeaderReceived, 500)).To(Equal(Action{Kind: Forward, Attempt: 1}))
	})

	It("starts no attempt after the deadline", func() {
		m := New(Config{Idempotent: true, Retries: 3, Deadline: end})
		feed(m, Admitted, Picked, Sending)
		act := m.Step(Event{Kind: ConnectionLost, Attempt: 1, At: end})
		Expect(act.Kind).To(Equal(Finish))
	})

	It("hedges an idempotent request whose first attempt is still connecting", func() {
		m := New(Config{Idempotent: true, Deadline: end})
		feed(m, Admitted, Picked)
		Expect(feed(m, HedgeDue)).To(Equal(Action{Kind: Pick, Attempt: 2, NeedsBudget: true}))
	})

	It("hedges an idempotent request and takes the first response", func() {
		m := New(Config{Idempotent: true, Deadline: end})
		feed(m, Admitted, Picked, Sending)
		Expect(feed(m, HedgeDue)).To(Equal(Action{Kind: Pick, Attempt: 2, NeedsBudget: true}))
		for _, k := range []EventKind{Picked, Sending} {
			m.Step(Event{Kind: k, Attempt: 2, At: start})
		}
		Expect(m.Step(Event{Kind: HeaderReceived, Attempt: 2, Status: 200, At: start})).To(Equal(Action{Kind: Forward, Attempt: 2}))
		Expect(m.Step(Event{Kind: HeaderReceived, Attempt: 1, Status: 200, At: start}).Kind).To(Equal(Abandon))
	})

	DescribeTable("reports the known outcome when it is interrupted",
		func(fed []EventKind, last EventKind, want End) {
			m := New(Config{Deadline: end})
			feed(m, fed...)
			Expect(m.Step(Event{Kind: last, At: start}).End).To(Equal(want))
		},
		Entry("expired in the queue", nil, Expired, End{outcome.NotRun, outcome.DeadlinePassed}),
		Entry("expired while connecting", []EventKind{Admitted, Picked}, Expired, End{outcome.NotRun, outcome.DeadlinePassed}),
		Entry("expired after sending", []EventKind{Admitted, Picked, Sending}, Expired, End{outcome.Unknown, outcome.UpstreamTimeout}),
		Entry("host stopped while in the queue", nil, HostStopped, End{outcome.NotRun, outcome.Stopping}),
		Entry("host stopped while connecting", []EventKind{Admitted, Picked}, HostStopped, End{outcome.NotRun, outcome.Stopping}),
		Entry("host stopped after sending", []EventKind{Admitted, Picked, Sending}, HostStopped, End{outcome.Unknown, outcome.Interrupted}),
		Entry("cancelled in the queue", nil, Cancelled, End{outcome.NotRun, outcome.CallerGone}),
		Entry("cancelled after sending", []EventKind{Admitted, Picked, Sending}, Cancelled, End{outcome.Unknown, outcome.CallerGone}),
	)
})

// Guards against a response that is broken off at the end of a planned stop although
// there is time to forward the rest.
var _ = It("a response that is being forwarded goes on when its host stops", func() {
	now := time.Unix(1_700_000_000, 0)
	m := New(Config{Deadline: now.Add(time.Minute)})
	for _, ev := range []Event{{Kind: Admitted}, {Kind: Picked, Attempt: 1}, {Kind: Sending, Attempt: 1}, {Kind: HeaderReceived, Attempt: 1, Status: 200}} {
		ev.At = now
		m.Step(ev)
	}
	Expect(m.Step(Event{Kind: HostStopped, At: now}).Kind).To(Equal(Wait))
	Expect(m.Step(Event{Kind: ResponseComplete, Attempt: 1, At: now}).End).To(Equal(End{Outcome: outcome.Ran}))
})

var _ = Describe("A hedge", func() {
	It("counts as one of the retries that the route allows", func() {
		now := time.Unix(1_700_000_000, 0)
		m := New(Config{Idempotent: true, Retries: 1, Deadline: now.Add(time.Minute)})
		step := func(ev Event) Action {
			ev.At = now
			return m.Step(ev)
		}
		Expect(step(Event{Kind: Admitted}).Kind).To(Equal(Pick))
		step(Event{Kind: Picked, Attempt: 1})
		step(Event{Kind: Sending, Attempt: 1})
		Expect(step(Event{Kind: HedgeDue}).Attempt).To(Equal(2))
		step(Event{Kind: Picked, Attempt: 2})
		step(Event{Kind: Sending, Attempt: 2})
		Expect(step(Event{Kind: HeaderReceived, Attempt: 1, Status: 500}).Kind).To(Equal(Wait))
		Expect(step(Event{Kind: HeaderReceived, Attempt: 2, Status: 500}).Kind).To(Equal(Forward))
	})

	// Guards against a lost request that gets no retry because a copy of it was refused.
	DescribeTable("that gets no target",
		func(free bool, want ActionKind) {
			now := time.Unix(1_700_000_000, 0)
			m := New(Config{Idempotent: true, Retries: 1, RefusedHedgeIsFree: free, Deadline: now.Add(time.Minute)})
			for _, ev := range []Event{
				{Kind: Admitted}, {Kind: Picked, Attempt: 1}, {Kind: Sending, Attempt: 1}, {Kind: HedgeDue}, {Kind: NoTarget, Attempt: 2, Reason: outcome.QueueFull},
			} {
				ev.At = now
				m.Step(ev)
			}
			Expect(m.Step(Event{Kind: ConnectionLost, Attempt: 1, At: now}).Kind).To(Equal(want))
		},
		Entry("counts as a retry", false, Finish),
		Entry("does not under a limit on extra attempts", true, Pick),
	)
})
