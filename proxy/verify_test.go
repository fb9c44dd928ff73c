package proxy

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/dialect"
	"github.com/chestnutfield/chestnutfield/hedge"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/table"
)

// signedDialect has request IDs that upstreams repeat and signatures on 2xx
// responses.
func signedDialect() *dialect.Dialect {
	d := dialect.Default()
	d.RequestID, d.Signature, d.PlainBodies = "Bend-Id", "Bend-Seal", true
	d.Target, d.WrongTarget, d.FractionalRetryAfter = "Bend-Target", http.StatusMisdirectedRequest, true
	d.NotRunStatuses = append(d.NotRunStatuses, d.WrongTarget)
	return &d
}

func withSignedDialect(o *Options, _ *table.Tables) { o.Dialect = signedDialect() }

func signedResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nBend-Id: " + id + "\r\nBend-Seal: s\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func idOf(req *http.Request) string { return req.Header.Get("Bend-Id") }

var _ = Describe("responses that belong to another request", func() {
	get := func(id string) string { return "GET /specs/a HTTP/1.1\r\nHost: h\r\nBend-Id: " + id + "\r\n\r\n" }

	It("are skipped, and the connection is not reused", func() {
		up := newUpstream(func(u *rawConn) {
			for first := true; ; first = false {
				req, _, ok := u.request()
				if !ok {
					return
				}
				id := idOf(req)
				if !first {
					u.send(signedResponse("earlier", "foreign"))
				}
				u.send(signedResponse(id, "own "+id))
			}
		})
		b := newHarness([]*rawUpstream{up}, withSignedDialect)
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			resp, body := b.ask(get(id))
			Expect(resp.StatusCode).To(Equal(200))
			Expect(body).To(Equal("own " + id))
		}
		Expect(up.conns.Load()).To(BeEquivalentTo(2))
	})

	DescribeTable("a 2xx response that is not the upstream's own complete response is never forwarded",
		func(response string) {
			up := newUpstream(func(u *rawConn) {
				for {
					req, _, ok := u.request()
					if !ok {
						return
					}
					u.send(strings.ReplaceAll(response, "ID", idOf(req)))
				}
			})
			b := newHarness([]*rawUpstream{up}, withSignedDialect)
			resp, body := b.ask(get("r1"))
			Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(body).NotTo(ContainSubstring("spoilt"))
		},
		Entry("no signature", "HTTP/1.1 200 OK\r\nBend-Id: ID\r\nContent-Length: 6\r\n\r\nspoilt"),
		Entry("encoded", "HTTP/1.1 200 OK\r\nBend-Id: ID\r\nBend-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 6\r\n\r\nspoilt"),
		Entry("no id", "HTTP/1.1 200 OK\r\nBend-Seal: s\r\nContent-Length: 6\r\n\r\nspoilt"),
		Entry("no HTTP", "spoilt\r\n\r\n"),
		Entry("another id beside its own", "HTTP/1.1 200 OK\r\nBend-Id: ID\r\nBend-Id: other\r\nBend-Seal: s\r\nContent-Length: 6\r\n\r\nspoilt"),
		Entry("its own id twice", "HTTP/1.1 200 OK\r\nBend-Id: ID\r\nbend-id: ID\r\nBend-Seal: s\r\nContent-Length: 6\r\n\r\nspoilt"),
	)

	It("a response from the wrong target means that the request was not run there", func() {
		wrong := newUpstream(respondAlways("HTTP/1.1 421 Misdirected Request\r\nChestnut-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		right := newUpstream(func(u *rawConn) {
			if req, _, ok := u.request(); ok {
				u.send(signedResponse(idOf(req), "own"))
			}
		})
		b := newHarness([]*rawUpstream{wrong, right}, withSignedDialect)
		resp, body := b.ask("POST /orders/a HTTP/1.1\r\nHost: h\r\nBend-Id: r1\r\nContent-Length: 5\r\n\r\nhello")
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal("own"))
		Expect(b.balancer.feedback()).To(ContainElement(HaveField("WrongTarget", true)))
	})

	// Guards against an order that ran and is sent to a second target, and against a target
	// that is ejected as another one.
	It("the status of a wrong target alone says neither that the request was not run nor who answered", func() {
		failing := newUpstream(respondAlways("HTTP/1.1 421 Misdirected Request\r\nBend-Id: r1\r\nContent-Length: 0\r\n\r\n"))
		right := newUpstream(func(u *rawConn) {
			if req, _, ok := u.request(); ok {
				u.send(signedResponse(idOf(req), "own"))
			}
		})
		b := newHarness([]*rawUpstream{failing, right}, withSignedDialect)
		resp, _ := b.ask("POST /orders/a HTTP/1.1\r\nHost: h\r\nBend-Id: r1\r\nContent-Length: 5\r\n\r\nhello")
		Expect(resp.StatusCode).To(Equal(http.StatusMisdirectedRequest))
		Expect(right.received()).To(BeEmpty())
		Expect(b.balancer.feedback()).NotTo(ContainElement(HaveField("WrongTarget", true)))
		resp, body := b.ask(get("r1"))
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("own"))
	})
})

// recordedRequests stores the records of the request log.
type recordedRequests chan RequestRecord

func (r recordedRequests) RequestEnded(rec RequestRecord) { r <- rec }

var _ = Describe("the request log", func() {
	It("records the result of each attempt", func() {
		down := newUpstream(func(u *rawConn) { _, _, _ = u.request() })
		good := newUpstream(respondAlways(okResponse))
		records := make(recordedRequests, 1)
		b := newHarness([]*rawUpstream{down, good}, func(o *Options, _ *table.Tables) {
			o.RequestLog = records
		})
		b.ask("GET /specs/a HTTP/1.1\r\nHost: h\r\n\r\n")
		var r RequestRecord
		Eventually(records).Should(Receive(&r))
		Expect(r.Route).To(Equal("lookup"))
		Expect(r.Version).To(BeEquivalentTo(1))
		Expect(r.Status).To(Equal(200))
		Expect(r.Outcome).To(Equal(outcome.Ran))
		Expect(r.Attempts).To(HaveLen(2))
		Expect(r.Attempts[0].Verdict).To(Equal(lb.Failed))
		Expect(r.Attempts[0].Error).NotTo(BeEmpty())
		Expect(r.Attempts[1].Verdict).To(Equal(lb.Succeeded))
	})
})

var _ = Describe("before a configuration is in force", func() {
	It("every request is refused as not run", func() {
		b := newHarness(nil, func(o *Options, _ *table.Tables) { o.Configured = func() bool { return false } })
		resp, _ := b.ask(getSpec)
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get("Chestnut-Outcome")).To(Equal("not-run"))
	})
})

var _ = Describe("a lookup without a response after a fraction of its latency objective", func() {
	slow := func(u *rawConn) {
		if _, _, ok := u.request(); ok {
			u.waitClosed()
		}
	}
	withObjective := withRoute("lookup", func(r *table.Route) { r.Objective = 100 * time.Millisecond })
	withFraction := withLimits(func(l *Limits) { l.HedgeObjectiveFraction = 0.5 })

	It("is hedged, and the response of the second target is forwarded", func() {
		b := newHarness([]*rawUpstream{newUpstream(slow), newUpstream(respondAlways(okResponse))}, withObjective, withFraction)
		resp, body := b.ask(getSpec)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal("done"))
	})

	It("is not hedged on a route without retries, and neither is an order", func() {
		second := newUpstream(respondAlways(okResponse))
		b := newHarness([]*rawUpstream{newUpstream(slow), second}, withFraction,
			withRoute("lookup", func(r *table.Route) {
				r.Objective, r.Retries, r.Timeout = 100*time.Millisecond, 0, 400*time.Millisecond
			}),
			withRoute("order", func(r *table.Route) {
				r.Objective, r.Timeout = 100*time.Millisecond, 400*time.Millisecond
			}))
		resp, _ := b.ask(getSpec)
		Expect(resp.StatusCode).To(Equal(http.StatusGatewayTimeout))
		resp, _ = b.ask(postOrder)
		Expect(resp.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(second.received()).To(BeEmpty())
	})

	// Guards against a copy that can't be in time, and against one beyond the queries that
	// the limit allows.
	DescribeTable("is hedged under a limit on extra attempts where that is useful",
		func(usual time.Duration, deposits int, hedged bool) {
			second := newUpstream(respondAlways(okResponse))
			b := newHarness([]*rawUpstream{newUpstream(slow), second}, withFraction,
				withRoute("lookup", func(r *table.Route) { r.Objective, r.Timeout = 2*time.Second, 500*time.Millisecond }),
				func(o *Options, _ *table.Tables) {
					o.ExtraAttempts = &ExtraAttempts{Delays: hedge.NewDelays(0.1), Queries: hedge.NewQueries(hedge.Limit{Ratio: 0.1})}
					for range 50 {
						o.ExtraAttempts.Delays.Record(time.Now(), "lookup", usual)
					}
					for range deposits {
						o.ExtraAttempts.Queries.Deposit()
					}
				})
			b.ask(getSpec)
			Expect(second.received() != "").To(Equal(hedged))
		},
		Entry("with time left", 20*time.Millisecond, 10, true),
		Entry("with less than a usual response to the objective", 1900*time.Millisecond, 10, false),
		Entry("without a query left", 20*time.Millisecond, 0, false),
	)
})

var _ = Describe("DisableKeepAlives", func() {
	It("keeps serving and sends Connection: close", func() {
		b := newHarness([]*rawUpstream{newUpstream(respondAlways(okResponse))})
		b.server.DisableKeepAlives()
		resp, body := b.ask(getSpec)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal("done"))
		Expect(resp.Close).To(BeTrue())
	})
})

var _ = Describe("Retry-After", func() {
	It("has fractions only where the dialect allows them", func() {
		Expect(retryAfter(120*time.Millisecond, true)).To(Equal("0.12"))
		Expect(retryAfter(120*time.Millisecond, false)).To(Equal("1"))
		Expect(retryAfter(0, true)).To(Equal("1"))
		Expect(retryAfter(1001*time.Millisecond, false)).To(Equal("2"))
	})
})
