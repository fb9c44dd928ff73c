package limit

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/table"
)

var _ = Describe("Admission", func() {
	var (
		clock *clockwork.FakeClock
		a     *Admission
		held  []lb.Permit
	)

	admit := func(ctx context.Context, timeout time.Duration) (lb.Permit, *lb.Refusal) {
		return a.Admit(ctx, lb.AdmitQuery{Pool: "p", Class: table.Lookup, Caller: "c", Deadline: clock.Now().Add(timeout)})
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClockAt(start)
		var err error
		a, err = New(Options{Clock: clock, NewLimiter: fixed, Registerer: prometheus.NewRegistry()})
		Expect(err).NotTo(HaveOccurred())
		a.Update(map[string]Capacity{"p": {Targets: 1, Slots: 2}})
		held = nil
		for st, _ := a.Status("p"); len(held) < int(st.Limit); {
			p, refusal := admit(context.Background(), time.Second)
			Expect(refusal).To(BeNil())
			held = append(held, p)
		}
	})

	type result struct {
		permit  lb.Permit
		refusal *lb.Refusal
	}

	// waiting starts a request that is queued and returns its result channel.
	waiting := func(ctx context.Context) chan result {
		done := make(chan result, 1)
		go func() {
			p, r := admit(ctx, time.Second)
			done <- result{p, r}
		}()
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		return done
	}

	It("passes a released permit on to a waiter only once", func() {
		done := waiting(context.Background())
		held[0].Release(clock.Now(), succeeded(time.Millisecond))
		held[0].Release(clock.Now(), succeeded(time.Millisecond))
		Expect((<-done).permit).NotTo(BeNil())
		st, _ := a.Status("p")
		Expect(st.InFlight).To(Equal(len(held)))
	})

	It("refuses a queued request when its caller disconnects, and frees its place", func() {
		ctx, cancel := context.WithCancel(context.Background())
		done := waiting(ctx)
		cancel()
		Expect((<-done).refusal.Reason).To(Equal(outcome.CallerGone))
		st, _ := a.Status("p")
		Expect(st.Queued).To(Equal(0))
	})

	It("refuses on its own timer a request that can't meet its deadline any more", func() {
		done := waiting(context.Background())
		clock.Advance(time.Second - initialLatency + time.Millisecond)
		Expect((<-done).refusal.Reason).To(Equal(outcome.QueueFull))
	})
})
