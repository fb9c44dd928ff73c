package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/table"
)

// closeWithoutResponse reads a request and closes the connection.
func closeWithoutResponse(u *rawConn) { u.request() }

// neverRespond reads a request and never responds.
func neverRespond(u *rawConn) {
	u.request()
	u.waitClosed()
}

// refusingAdmission refuses every request.
type refusingAdmission struct{ refusal *lb.Refusal }

func (r refusingAdmission) Admit(context.Context, lb.AdmitQuery) (lb.Permit, *lb.Refusal) {
	return nil, r.refusal
}

// closedUpstream returns an upstream whose address refuses connections.
func closedUpstream() *rawUpstream {
	up := newUpstream(closeWithoutResponse)
	up.ln.Close()
	return up
}

const (
	keyedOrder     = "POST /orders/a HTTP/1.1\r\nHost: h\r\nX-Caller: c1\r\nIdempotency-Key: k1\r\nContent-Length: 5\r\n\r\nhello"
	notRunResponse = "HTTP/1.1 503 Busy\r\nChestnut-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

func expectLocalReply(resp *http.Response, status int, o outcome.Outcome) {
	GinkgoHelper()
	Expect(resp.StatusCode).To(Equal(status))
	Expect(resp.Header.Get("Chestnut-Outcome")).To(Equal(o.String()))
	Expect(resp.Header.Get("Proxy-Status")).To(HavePrefix("chestnutfield; error="))
	if status == 503 {
		Expect(resp.Header.Get("Retry-After")).To(MatchRegexp(`^[1-9]\d*$`))
	}
}

var _ = Describe("outcomes", func() {
	It("answers 404 not-run without a route", func() {
		resp, _ := newHarness(nil).ask("GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
		expectLocalReply(resp, 404, outcome.NotRun)
	})

	It("answers 503 not-run without a target", func() {
		resp, _ := newHarness(nil).ask(postOrder)
		expectLocalReply(resp, 503, outcome.NotRun)
	})

	It("answers 503 not-run when no connection opens", func() {
		b := newHarness([]*rawUpstream{closedUpstream()})
		resp, _ := b.ask(postOrder)
		expectLocalReply(resp, 503, outcome.NotRun)
		Expect(b.balancer.feedback()[0].ConnectFailed).To(BeTrue())
	})

	It("never retries an order that may have run", func() {
		first, second := newUpstream(closeWithoutResponse), newUpstream(respondAlways(okResponse))
		resp, _ := newHarness([]*rawUpstream{first, second}).ask(postOrder)
		expectLocalReply(resp, 502, outcome.Unknown)
		Expect(second.received()).To(BeEmpty())
	})

	It("retries an order that certainly did not run", func() {
		second := newUpstream(respondAlways(okResponse))
		b := newHarness([]*rawUpstream{closedUpstream(), newUpstream(respondAlways(notRunResponse)), second})
		resp, _ := b.ask(postOrder)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(second.received()).To(ContainSubstring("Chestnut-Retries: 0\r\n"))
		Expect(b.balancer.feedback()).To(HaveLen(3))
		Expect(b.balancer.feedback()[1].Verdict).To(Or(Equal(lb.Shed), Equal(lb.Succeeded)))
	})

	It("trusts Chestnut-Not-Run only on a 429 or 503", func() {
		first := newUpstream(respondAlways("HTTP/1.1 500 Oops\r\nChestnut-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		second := newUpstream(respondAlways(okResponse))
		b := newHarness([]*rawUpstream{first, second})
		resp, _ := b.ask(keyedOrder)
		Expect(resp.StatusCode).To(Equal(500))
		Expect(second.received()).To(BeEmpty())
		Expect(b.ledger.outcomes).To(Equal([]outcome.Outcome{outcome.Ran}))
	})

	It("counts requests by outcome, with a bounded number of caller labels", func() {
		registry := prometheus.NewRegistry()
		b := newHarness([]*rawUpstream{newUpstream(respondAlways(okResponse))}, func(o *Options, _ *table.Tables) {
			o.Registerer, o.Limits.MaxCallerLabels = registry, 1
		})
		for _, caller := range []string{"c1", "c2", "c3"} {
			b.ask(strings.Replace(getSpec, "c1", caller, 1))
		}
		b.ask("GET / HTTP/1.1\r\n\r\n")
		Expect(testutil.ToFloat64(b.server.metrics.requests.WithLabelValues("lookup", "catalogue", "lookup", "ran", "answered"))).To(Equal(3.0))
		Expect(testutil.ToFloat64(b.server.metrics.refusals.WithLabelValues("bad-request"))).To(Equal(1.0))
		Expect(testutil.ToFloat64(b.server.metrics.attempts.WithLabelValues("catalogue", "succeeded"))).To(Equal(3.0))
		Expect(testutil.GatherAndCount(registry, "chestnut_request_seconds")).To(Equal(2))
		Expect(testutil.GatherAndCount(registry, "chestnut_added_seconds")).To(Equal(1))
	})

	It("retries a lookup", func() {
		first, second := newUpstream(closeWithoutResponse), newUpstream(respondAlways(okResponse))
		resp, _ := newHarness([]*rawUpstream{first, second}).ask(getSpec)
		Expect(resp.StatusCode).To(Equal(200))
	})

	It("tries the next target after one that can't be connected to, even without retry budget", func() {
		gone, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		dead := netip.MustParseAddrPort(gone.Addr().String())
		Expect(gone.Close()).To(Succeed())
		up := newUpstream(respondAlways(okResponse))
		b := newHarness(nil, func(o *Options, _ *table.Tables) {
			o.Balancer, o.Retries = &orderedBalancer{targets: []netip.AddrPort{dead, up.addr()}}, &budgetFake{}
		})
		resp, _ := b.ask(postOrder)
		Expect(resp.StatusCode).To(Equal(200))
	})

	DescribeTable("does not retry a lookup",
		func(raw string, change func(b *harness)) {
			second := newUpstream(respondAlways(okResponse))
			b := newHarness([]*rawUpstream{newUpstream(closeWithoutResponse), second})
			change(b)
			resp, _ := b.ask(raw)
			expectLocalReply(resp, 502, outcome.Unknown)
			Expect(second.received()).To(BeEmpty())
		},
		Entry("when the budget is spent", getSpec, func(b *harness) { b.budget.left.Store(0) }),
		Entry("without a budget", getSpec, func(b *harness) { b.server.opts.Retries = nil }),
		Entry("when the caller forbade retries",
			"GET /specs/a HTTP/1.1\r\nHost: h\r\nChestnut-Retries: 0\r\n\r\n", func(*harness) {}),
	)

	Context("on a reused connection that closes while the request is written", func() {
		// closeOnSecondRequest responds only to the first request on the
		// first connection.
		closeOnSecondRequest := func(u *rawConn) {
			for n := 1; ; n++ {
				if _, _, ok := u.request(); !ok || u.number == 1 && n == 2 {
					return
				}
				u.send(okResponse)
			}
		}

		It("loses no order, which gets a new connection", func() {
			other := newUpstream(respondAlways(okResponse))
			up := newUpstream(closeOnSecondRequest)
			b := newHarness([]*rawUpstream{up, other})
			b.ask(getSpec)
			resp, _ := b.ask(postOrder)
			Expect(resp.StatusCode).To(Equal(200))
			Expect(up.conns.Load()).To(BeEquivalentTo(2))
			Expect(other.received()).To(BeEmpty())
		})

		It("retries a lookup on the same target when there is no other", func() {
			b := newHarness([]*rawUpstream{newUpstream(closeOnSecondRequest)})
			b.ask(getSpec)
			resp, _ := b.ask(getSpec)
			Expect(resp.StatusCode).To(Equal(200))
		})
	})

	It("forwards a 5xx when no retry succeeds", func() {
		up := newUpstream(respondAlways("HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno"))
		resp, body := newHarness([]*rawUpstream{up}).ask(getSpec)
		Expect(resp.Status).To(Equal("500 Oops"))
		Expect(body).To(Equal("no"))
		Expect(resp.Header).NotTo(HaveKey("Chestnut-Outcome"))
	})

	It("answers 504 unknown when the upstream does not respond, and closes the connection", func() {
		closed := make(chan struct{})
		up := newUpstream(func(u *rawConn) {
			neverRespond(u)
			close(closed)
		})
		b := newHarness([]*rawUpstream{up}, withRoute("order", func(r *table.Route) { r.Timeout = 50 * time.Millisecond }))
		resp, _ := b.ask(postOrder)
		expectLocalReply(resp, 504, outcome.Unknown)
		Eventually(closed, "10s").Should(BeClosed())
	})

	It("lets a caller shorten the deadline", func() {
		up := newUpstream(neverRespond)
		b := newHarness([]*rawUpstream{up})
		resp, _ := b.ask("GET /specs/a HTTP/1.1\r\nHost: h\r\nChestnut-Deadline-Ms: 40\r\n\r\n")
		Expect(resp.StatusCode).To(Equal(504))
		Expect(up.received()).To(MatchRegexp(`Chestnut-Deadline-Ms: ([1-3]?\d|40)\r\n`))
	})

	It("cancels the upstream request when the caller closes its connection", func() {
		arrived, closed := make(chan struct{}), make(chan struct{})
		up := newUpstream(func(u *rawConn) {
			u.request()
			close(arrived)
			u.waitClosed()
			close(closed)
		})
		b := newHarness([]*rawUpstream{up})
		c := b.dial()
		c.send(postOrder)
		Eventually(arrived, "10s").Should(BeClosed())
		c.Close()
		Eventually(closed, "10s").Should(BeClosed())
		Eventually(b.balancer.inFlight, "10s").Should(BeZero())
		Expect(b.balancer.feedback()[0].Verdict).To(Equal(lb.Abandoned))
	})

	It("cancels a streamed response when the caller closes its connection", func() {
		closed := make(chan struct{})
		up := newUpstream(func(u *rawConn) {
			u.request()
			u.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbend\r\n")
			u.waitClosed()
			close(closed)
		})
		b := newHarness([]*rawUpstream{up})
		c := b.dial()
		c.send(getSpec)
		_, err := c.br.Peek(1)
		Expect(err).NotTo(HaveOccurred())
		c.Close()
		Eventually(closed, "10s").Should(BeClosed())
		Eventually(b.balancer.inFlight, "10s").Should(BeZero())
	})

	It("answers pipelined requests in order", func() {
		up := newUpstream(func(u *rawConn) {
			for {
				req, _, ok := u.request()
				if !ok {
					return
				}
				u.send(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%s", req.URL.Path[len("/specs/"):]))
			}
		})
		c := newHarness([]*rawUpstream{up}).dial()
		c.send(getSpec + strings.Replace(getSpec, "/a", "/b", 1) + strings.Replace(getSpec, "/a", "/c", 1))
		for _, want := range []string{"a", "b", "c"} {
			_, body, err := c.readResponse("GET")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(want))
		}
	})

	It("hedges a lookup and cancels the slower attempt", func() {
		closed := make(chan struct{})
		slow := newUpstream(func(u *rawConn) {
			neverRespond(u)
			close(closed)
		})
		b := newHarness([]*rawUpstream{slow, newUpstream(respondAlways(okResponse))},
			withRoute("lookup", func(r *table.Route) { r.HedgeAfter = time.Millisecond }))
		_, body := b.ask(getSpec)
		Expect(body).To(Equal("done"))
		Eventually(closed, "10s").Should(BeClosed())
		Eventually(b.balancer.inFlight, "10s").Should(BeZero())
	})

	It("answers 503 not-run with Retry-After when admission refuses", func() {
		refusal := &lb.Refusal{Reason: outcome.QueueFull, RetryAfter: 2500 * time.Millisecond}
		b := newHarness(nil, func(o *Options, _ *table.Tables) { o.Admission = refusingAdmission{refusal} })
		resp, _ := b.ask(keyedOrder)
		expectLocalReply(resp, 503, outcome.NotRun)
		Expect(resp.Header.Get("Retry-After")).To(Equal("3"))
		Expect(b.ledger.outcomes).To(Equal([]outcome.Outcome{outcome.NotRun}))
		*refusal = lb.Refusal{}
		resp, _ = b.ask(postOrder)
		expectLocalReply(resp, 503, outcome.NotRun)
	})

	It("hedges a lookup whose first target accepts no connection", func() {
		unreachable, reachable := newUpstream(neverRespond), newUpstream(respondAlways(okResponse))
		b := newHarness([]*rawUpstream{unreachable, reachable}, func(o *Options, _ *table.Tables) {
			o.Upstream.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if address == unreachable.addr().String() {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
		}, withRoute("lookup", func(r *table.Route) { r.HedgeAfter = time.Millisecond }))
		_, body := b.ask(getSpec)
		Expect(body).To(Equal("done"))
		Eventually(b.balancer.inFlight, "10s").Should(BeZero())
		for _, f := range b.balancer.feedback() {
			Expect(f.ConnectFailed).To(BeFalse())
		}
	})

	It("does not exceed its share of a target's connections", func() {
		release := make(chan struct{})
		up := newUpstream(func(u *rawConn) {
			u.request()
			<-release
			u.send(okResponse)
		})
		b := newHarness([]*rawUpstream{up}, func(_ *Options, t *table.Tables) {
			p := t.Pools["catalogue"]
			p.Connections = 1
			t.Pools["catalogue"] = p
		})
		first := b.dial()
		first.send(postOrder)
		Eventually(up.received, "10s").ShouldNot(BeEmpty())
		resp, _ := b.ask(postOrder)
		expectLocalReply(resp, 503, outcome.NotRun)
		close(release)
		_, body, err := first.readResponse("POST")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("done"))
	})
})

var _ = Describe("orders with a key", func() {
	It("records the outcome of an order that ran, with its response", func() {
		b := newHarness([]*rawUpstream{newUpstream(respondAlways(okResponse))})
		b.ask(keyedOrder)
		Expect(b.ledger.outcomes).To(Equal([]outcome.Outcome{outcome.Ran}))
		Expect(string(b.ledger.recorded[0].Body)).To(Equal("done"))
		Expect(b.ledger.recorded[0].Header).To(ContainElement([2]string{"X-Spec", "Bend"}))
		Expect(b.ledger.keys[0]).To(HaveField("Caller", "c1"))
	})

	It("records unknown and not-run outcomes", func() {
		b := newHarness([]*rawUpstream{newUpstream(closeWithoutResponse)})
		b.ask(keyedOrder)
		b.balancer.targets = nil
		b.ask(keyedOrder)
		Expect(b.ledger.outcomes).To(Equal([]outcome.Outcome{outcome.Unknown, outcome.NotRun}))
	})

	DescribeTable("is refused by the ledger",
		func(claim lb.Claim, status int, o outcome.Outcome) {
			up := newUpstream(respondAlways(okResponse))
			b := newHarness([]*rawUpstream{up})
			b.ledger.claim = claim
			resp, _ := b.ask(keyedOrder)
			expectLocalReply(resp, status, o)
			Expect(up.received()).To(BeEmpty())
		},
		Entry("in flight", lb.Claim{State: lb.ClaimInFlight, Outcome: outcome.Unknown}, 409, outcome.Unknown),
		Entry("other body", lb.Claim{State: lb.ClaimConflict}, 422, outcome.NotRun),
		Entry("no ledger", lb.Claim{State: lb.ClaimUnavailable}, 503, outcome.NotRun),
		Entry("response not recorded", lb.Claim{State: lb.ClaimDone}, 409, outcome.Ran),
	)

	It("replays the recorded response", func() {
		b := newHarness(nil)
		b.ledger.claim = lb.Claim{State: lb.ClaimDone, Response: &lb.RecordedResponse{
			Status: 201, Header: [][2]string{{"Location", "/orders/7"}}, Body: []byte("kept"),
		}}
		resp, body := b.ask(keyedOrder)
		Expect(resp.StatusCode).To(Equal(201))
		Expect(resp.Header.Get("Location")).To(Equal("/orders/7"))
		Expect(body).To(Equal("kept"))
	})

	It("is refused without a ledger", func() {
		b := newHarness(nil, func(o *Options, _ *table.Tables) { o.Ledger = nil })
		resp, _ := b.ask(keyedOrder)
		expectLocalReply(resp, 503, outcome.NotRun)
	})

	It("is refused when its body exceeds the limit for keyed orders", func() {
		b := newHarness(nil, withLimits(func(l *Limits) { l.MaxKeyedBodyBytes = 4 }))
		resp, _ := b.ask(keyedOrder)
		expectLocalReply(resp, 413, outcome.NotRun)
	})
})
