package proxy

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/shutdown"
	"github.com/chestnutfield/chestnutfield/table"
)

// fullPool is a balancer whose targets have no room until room is closed.
type fullPool struct {
	orderedBalancer
	waiting chan lb.PlaceQuery
	room    chan struct{}
}

func (b *fullPool) Place(ctx context.Context, q lb.PlaceQuery) (lb.Attempt, *lb.Refusal) {
	b.waiting <- q
	select {
	case <-b.room:
		a, _ := b.Pick(lb.PickQuery{})
		return a, nil
	case <-ctx.Done():
		return nil, &lb.Refusal{Reason: outcome.DeadlinePassed}
	}
}

// stoppingHarness is a proxy with a clock that stands still, whose stop can be begun.
type stoppingHarness struct {
	*harness
	clock *clockwork.FakeClock
	pool  *fullPool
}

// newStoppingHarness returns a proxy whose only pool is full if so wanted.
func newStoppingHarness(up *rawUpstream, full bool) *stoppingHarness {
	h := &stoppingHarness{clock: clockwork.NewFakeClock()}
	h.pool = &fullPool{waiting: make(chan lb.PlaceQuery, 8), room: make(chan struct{})}
	h.pool.targets = []netip.AddrPort{up.addr()}
	if !full {
		close(h.pool.room)
	}
	h.harness = newHarness([]*rawUpstream{up}, func(o *Options, _ *table.Tables) { o.Clock, o.Balancer = h.clock, h.pool })
	return h
}

// beginStop begins a stop with the times of a grace period of 6 s.
func (h *stoppingHarness) beginStop() {
	now := h.clock.Now()
	h.server.BeginStop(shutdown.Schedule{
		Began: now, LateFrom: now.Add(2850 * time.Millisecond), CutAt: now.Add(5750 * time.Millisecond),
	})
}

// expectNotRun expects the refusal of a stopping host.
func expectNotRun(c *caller, method string) {
	GinkgoHelper()
	resp, body, err := c.readResponse(method)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(resp.Header.Get("Chestnut-Outcome")).To(Equal("not-run"))
	Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	Expect(resp.Close).To(BeTrue())
	Expect(body).To(HavePrefix("stopping"))
}

// orderInParts is an order in two parts, the second being the end of its body.
var orderInParts = []string{strings.TrimSuffix(postOrder, "llo"), "llo"}

var _ = Describe("a planned stop", func() {
	// Guards against requests that wait for a target until the host closes their
	// connections.
	DescribeTable("refuses a request that waits for a target while its caller can still be told",
		func(raw, method string) {
			up := newUpstream(respondAlways(okResponse))
			b := newStoppingHarness(up, true)
			c, after := b.dial(), b.dial()
			c.send(raw)
			Expect((<-b.pool.waiting).Deadline).To(Equal(b.clock.Now().Add(20 * time.Second)))
			b.beginStop()
			after.send(raw)
			Expect((<-b.pool.waiting).Deadline).To(Equal(b.clock.Now().Add(5750*time.Millisecond)), "the pool knows how long the host stays")
			b.clock.Advance(2 * time.Second)
			Consistently(b.pool.inFlight, "50ms").Should(BeZero())
			b.clock.Advance(1500 * time.Millisecond)
			expectNotRun(c, method)
			expectNotRun(after, method)
			Expect(up.received()).To(BeEmpty())
		},
		Entry("order", postOrder, "POST"),
		Entry("lookup", getSpec, "GET"),
	)

	It("passes on a request that waited, while it can be expected to end", func() {
		b := newStoppingHarness(newUpstream(respondAlways(okResponse)), true)
		for range 10 {
			b.server.durations.Record(shutdown.Kind{Pool: "catalogue", Class: "order"}, time.Second)
		}
		c := b.dial()
		c.send(postOrder)
		<-b.pool.waiting
		b.beginStop()
		b.clock.Advance(4 * time.Second)
		close(b.pool.room)
		resp, body, err := c.readResponse("POST")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("done"))
		Expect(resp.Close).To(BeTrue())
	})

	// Guards against a request that is passed on late in a stop and cut while its
	// target works on it.
	DescribeTable("refuses a request whose last bytes arrive late",
		func(method, first, rest string) {
			up := newUpstream(respondAlways(okResponse))
			b := newStoppingHarness(up, false)
			c := b.dial()
			b.beginStop()
			b.clock.Advance(2450 * time.Millisecond)
			c.send(first)
			Consistently(b.pool.inFlight, "50ms").Should(BeZero())
			b.clock.Advance(time.Second)
			if rest != "" {
				c.send(rest)
			}
			expectNotRun(c, method)
			Expect(up.received()).To(BeEmpty())
		},
		Entry("order, in its body", "POST", orderInParts[0], orderInParts[1]),
		Entry("order whose body doesn't arrive", "POST", orderInParts[0], ""),
		Entry("order, in its header", "POST", postOrder[:20], postOrder[20:]),
		Entry("lookup", "GET", getSpec[:20], getSpec[20:]),
	)

	It("passes on a late request that ends by its deadline", func() {
		b := newStoppingHarness(newUpstream(respondAlways(okResponse)), false)
		c := b.dial()
		b.beginStop()
		c.send(getSpec[:20])
		b.clock.Advance(3450 * time.Millisecond)
		c.send(strings.TrimSuffix(getSpec[20:], "\r\n") + "Chestnut-Deadline-Ms: 2000\r\n\r\n")
		_, body, err := c.readResponse("GET")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("done"))
	})

	It("does not begin to stream the body of a request", func() {
		up := newUpstream(respondAlways(okResponse))
		b := newStoppingHarness(up, false)
		c := b.dial()
		b.beginStop()
		c.send("POST /orders/a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 100_000))
		expectNotRun(c, "POST")
		Expect(up.received()).To(BeEmpty())
	})

	It("tells the callers of requests that targets still work on, and of those that wait, when they are cut", func() {
		closed := make(chan struct{}, 2)
		up := newUpstream(func(u *rawConn) {
			neverRespond(u)
			closed <- struct{}{}
		})
		b := newStoppingHarness(up, false)
		order, lookup := b.dial(), b.dial()
		order.send(postOrder)
		lookup.send(getSpec)
		Eventually(up.received, "10s").Should(And(ContainSubstring("hello"), ContainSubstring("GET")))
		b.beginStop()
		b.clock.Advance(5750 * time.Millisecond)
		for method, c := range map[string]*caller{"POST": order, "GET": lookup} {
			resp, body, err := c.readResponse(method)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(resp.Header.Get("Chestnut-Outcome")).To(Equal("unknown"))
			Expect(body).To(HavePrefix("interrupted"))
			Eventually(closed, "10s").Should(Receive())
		}
		late := b.dial()
		late.send(getSpec)
		expectNotRun(late, "GET")
	})

	It("lets a response that is being forwarded go on after the cut", func() {
		release := make(chan struct{})
		up := newUpstream(func(u *rawConn) {
			u.request()
			u.send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 500_000))
			<-release
			u.send(strings.Repeat("x", 500_000))
		})
		b := newStoppingHarness(up, false)
		c := b.dial()
		c.send(getSpec)
		_, err := c.br.Peek(1)
		Expect(err).NotTo(HaveOccurred())
		b.beginStop()
		b.clock.Advance(5750 * time.Millisecond)
		close(release)
		_, body, err := c.readResponse("GET")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(1_000_000))
	})

	It("makes a host that handed a request over send it to another one", func() {
		up := newUpstream(respondAlways(okResponse))
		stopping, owner := newOwner([]*rawUpstream{up}), newOwner([]*rawUpstream{up})
		stopping.server.BeginStop(shutdown.Schedule{Began: time.Now(), LateFrom: time.Now(), CutAt: time.Now().Add(time.Second)})
		b, _ := newReceiver([]netip.AddrPort{stopping.addrPort(), owner.addrPort()})
		_, body := b.ask(postOrder)
		Expect(body).To(Equal("done"))
		Expect(strings.Count(up.received(), "POST")).To(Equal(1))
	})
})
