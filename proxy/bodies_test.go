package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/table"
)

// respondOnceAndClose responds to the first request and closes the
// connection.
func respondOnceAndClose(response string) func(u *rawConn) {
	return func(u *rawConn) {
		u.request()
		u.send(response)
	}
}

var largeBody = strings.Repeat("0123456789abcdef", 64<<10)

var _ = Describe("caller limits of the tables", func() {
	withTableLimits := func(header int, body int64) harnessOption {
		return func(_ *Options, t *table.Tables) { t.Limits = table.CallerLimits{HeaderBytes: header, BodyBytes: body} }
	}
	post := "POST /orders/a HTTP/1.1\r\nHost: h\r\n"

	It("refuse a larger body, whether announced, chunked or streamed, and a larger header", func() {
		up := newUpstream(respondAlways(okResponse))
		b := newHarness([]*rawUpstream{up}, withTableLimits(200, 10), withLimits(func(l *Limits) { l.BufferedBodyBytes = 4 }))
		resp, _ := b.ask(post + "Content-Length: 11\r\n\r\nhello world")
		Expect(resp.StatusCode).To(Equal(413))
		Expect(resp.Header.Get("Chestnut-Outcome")).To(Equal("not-run"))
		resp, _ = b.ask(post + "Transfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n")
		Expect(resp.StatusCode).To(Equal(413))
		resp, _ = b.ask(post + "X-Long: " + strings.Repeat("x", 200) + "\r\nContent-Length: 0\r\n\r\n")
		Expect(resp.StatusCode).To(Equal(431))
	})

	It("bound the idle time of a connection and the arrival time of a header", func() {
		times := func(_ *Options, t *table.Tables) {
			t.Limits = table.CallerLimits{HeaderTimeout: 500 * time.Millisecond, IdleTimeout: time.Second}
		}
		b := newHarness([]*rawUpstream{newUpstream(respondAlways(okResponse))}, times)
		ask := func(c *caller, raw string) int {
			c.send(raw)
			resp, _, err := c.readResponse("GET")
			Expect(err).NotTo(HaveOccurred())
			return resp.StatusCode
		}
		Expect(ask(b.dial(), "GET /specs/a HTTP/1.1\r\n")).To(Equal(408))
		unused := b.dial()
		Expect(ask(unused, getSpec)).To(Equal(200))
		time.Sleep(750 * time.Millisecond)
		Expect(ask(unused, getSpec)).To(Equal(200))
		began := time.Now()
		_, err := unused.br.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(time.Since(began)).To(BeNumerically(">=", 830*time.Millisecond))
	})

	It("allow requests within them", func() {
		b := newHarness([]*rawUpstream{newUpstream(respondAlways(okResponse))}, withTableLimits(200, 10))
		for _, rest := range []string{"Content-Length: 10\r\n\r\nhello worl", "Transfer-Encoding: chunked\r\n\r\na\r\nhello worl\r\n0\r\n\r\n"} {
			resp, _ := b.ask(post + rest)
			Expect(resp.StatusCode).To(Equal(200))
		}
	})
})

var _ = Describe("responses", func() {
	DescribeTable("that are malformed or truncated become a 502 with outcome unknown",
		func(response string) {
			b := newHarness([]*rawUpstream{newUpstream(respondOnceAndClose(response))})
			resp, _ := b.ask(postOrder)
			expectLocalReply(resp, 502, outcome.Unknown)
		},
		Entry("nothing", ""),
		Entry("half a status line", "HTTP/1.1 20"),
		Entry("half a header", "HTTP/1.1 200 OK\r\nContent-Le"),
		Entry("no body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"),
		Entry("half a body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo"),
		Entry("not HTTP", "+PONG\r\n\r\n"),
		Entry("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone"),
		Entry("unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ndone"),
		Entry("an upgrade that was not requested", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n"),
		Entry("a folded header line", "HTTP/1.1 200 OK\r\nConnection: a\r\n b\r\nContent-Length: 0\r\n\r\n"),
		Entry("a bare line feed", "HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n"),
		Entry("only interim", "HTTP/1.1 100 Continue\r\n\r\n"),
		Entry("a header that is too large", "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("a", 20<<10)+"\r\n\r\n"),
	)

	DescribeTable("that are truncated after their header was forwarded close the caller's connection",
		func(response string) {
			b := newHarness([]*rawUpstream{newUpstream(respondOnceAndClose(response))})
			c := b.dial()
			c.send(postOrder)
			resp, body, err := c.readResponse("POST")
			Expect(err).To(HaveOccurred(), "body %q", body)
			if resp != nil {
				Expect(resp.StatusCode).To(Equal(200))
			}
			Eventually(b.balancer.inFlight, "10s").Should(BeZero())
		},
		Entry("large", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(largeBody)+1, largeBody)),
		Entry("chunked without a last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"),
		Entry("bad chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\nxx\r\n"),
		Entry("bad chunk end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ndone\r\n0\r\n\r\n"),
		Entry("half a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Sum"),
	)

	DescribeTable("are forwarded completely",
		func(request, response, body string, check func(r *http.Response)) {
			b := newHarness([]*rawUpstream{newUpstream(respondOnceAndClose(response))})
			resp, got := b.ask(request)
			Expect(got).To(Equal(body))
			Expect(resp.Close).To(BeFalse())
			check(resp)
			Expect(b.balancer.inFlight()).To(BeZero())
		},
		Entry("after 1xx", getSpec, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"+okResponse, "done",
			func(r *http.Response) { Expect(r.StatusCode).To(Equal(200)) }),
		Entry("HEAD", "HEAD /specs/a HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n", "",
			func(r *http.Response) { Expect(r.ContentLength).To(BeEquivalentTo(400)) }),
		Entry("204", getSpec, "HTTP/1.1 204 No Content\r\nX-A: 1\r\n\r\n", "",
			func(r *http.Response) { Expect(r.StatusCode).To(Equal(204)) }),
		Entry("304", getSpec, "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", "",
			func(r *http.Response) { Expect(r.Header.Get("ETag")).To(Equal(`"a"`)) }),
		Entry("chunked", getSpec, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\ndo\r\n2\r\nne\r\n0\r\n\r\n", "done",
			func(r *http.Response) { Expect(r.TransferEncoding).To(Equal([]string{"chunked"})) }),
		Entry("trailers", getSpec,
			"HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Sum: 7\r\n\r\n", "done",
			func(r *http.Response) { Expect(r.Trailer.Get("X-Sum")).To(Equal("7")) }),
		Entry("until close", getSpec, "HTTP/1.0 200 Fine\r\nServer: old\r\n\r\ndone", "done",
			func(r *http.Response) { Expect(r.Proto + " " + r.Status).To(Equal("HTTP/1.1 200 Fine")) }),
		Entry("large", getSpec, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(largeBody), largeBody), largeBody,
			func(r *http.Response) { Expect(r.ContentLength).To(BeEquivalentTo(len(largeBody))) }),
		Entry("end-to-end headers unchanged, hop-by-hop headers removed", getSpec,
			"HTTP/1.1 200 OK\r\nDate: Thu, 03 Dec 2026 22:00:00 GMT\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nConnection: close, X-Hop\r\n"+
				"X-Hop: 1\r\nKeep-Alive: 3\r\nContent-Length: 4\r\n\r\ndone", "done",
			func(r *http.Response) {
				Expect(r.Header).To(Equal(http.Header{"Date": {"Thu, 03 Dec 2026 22:00:00 GMT"},
					"Set-Cookie": {"a=1", "b=2"}, "Content-Length": {"4"}}))
			}),
	)

	It("of unknown length reach an HTTP/1.0 caller with a length", func() {
		up := newUpstream(respondAlways("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"))
		resp, body := newHarness([]*rawUpstream{up}).ask("GET /specs/a HTTP/1.0\r\nHost: h\r\n\r\n")
		Expect(body).To(Equal("done"))
		Expect(resp.ContentLength).To(BeEquivalentTo(4))
	})

	DescribeTable("prevent reuse of their connection",
		func(first string) {
			up := newUpstream(func(u *rawConn) {
				for {
					if _, _, ok := u.request(); !ok {
						return
					}
					if u.number == 1 {
						u.send(first)
						continue
					}
					u.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
				}
			})
			b := newHarness([]*rawUpstream{up})
			_, body := b.ask(getSpec)
			Expect(body).To(Equal("done"))
			_, body = b.ask(getSpec)
			Expect(body).To(Equal("second"))
			Expect(up.conns.Load()).To(BeEquivalentTo(2))
		},
		Entry("when followed by a second response", okResponse+okResponse),
		Entry("when followed by stray bytes", okResponse+"\r\n"),
		Entry("with Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone"),
	)

	DescribeTable("are followed by a new connection after, while idle, the old one receives",
		func(later func(u *rawConn)) {
			resume, resumed := make(chan struct{}), make(chan struct{})
			up := newUpstream(func(u *rawConn) {
				u.request()
				u.send(okResponse)
				if u.number == 1 {
					<-resume
					later(u)
					close(resumed)
					u.waitClosed()
				}
			})
			b := newHarness([]*rawUpstream{up})
			b.ask(getSpec)
			close(resume)
			<-resumed
			_, body := b.ask(postOrder)
			Expect(body).To(Equal("done"))
			Expect(up.conns.Load()).To(BeEquivalentTo(2))
		},
		Entry("an unsolicited response", func(u *rawConn) { u.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil") }),
		Entry("the end of the stream", func(u *rawConn) { u.Close() }),
	)

	It("that the caller does not read are aborted after the write stall timeout", func() {
		closed := make(chan struct{})
		up := newUpstream(func(u *rawConn) {
			u.request()
			u.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for {
				if _, err := fmt.Fprintf(u, "%x\r\n%s\r\n", len(largeBody), largeBody); err != nil {
					break
				}
			}
			close(closed)
		})
		b := newHarness([]*rawUpstream{up}, withLimits(func(l *Limits) { l.WriteStallTimeout = 30 * time.Millisecond }))
		b.dial().send(getSpec)
		Eventually(closed, "15s").Should(BeClosed())
		Eventually(b.balancer.inFlight, "10s").Should(BeZero())
	})

	It("that arrive after the deadline do not reach another caller", func() {
		release := make(chan struct{})
		up := newUpstream(func(u *rawConn) {
			req, _, ok := u.request()
			if ok && strings.HasSuffix(req.URL.Path, "slow") {
				<-release
			}
			if ok {
				u.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + req.URL.Path[len(req.URL.Path)-4:])
			}
		})
		b := newHarness([]*rawUpstream{up}, withRoute("order", func(r *table.Route) { r.Timeout = 30 * time.Millisecond }))
		resp, _ := b.ask(strings.Replace(postOrder, "/orders/a", "/orders/slow", 1))
		expectLocalReply(resp, 504, outcome.Unknown)
		close(release)
		_, body := b.ask(strings.Replace(getSpec, "/specs/a", "/specs/fast", 1))
		Expect(body).To(Equal("fast"))
	})
})

var _ = Describe("request bodies", func() {
	chunkedPost := "POST /specs/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"

	It("that are chunked and small are forwarded with a Content-Length", func() {
		up := newUpstream(respondAlways(okResponse))
		newHarness([]*rawUpstream{up}).ask(chunkedPost + "\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n")
		Expect(up.received()).To(HaveSuffix("Content-Length: 5\r\n\r\nhello"))
	})

	It("keep their trailers, except internal ones", func() {
		up := newUpstream(respondAlways(okResponse))
		newHarness([]*rawUpstream{up}).ask(chunkedPost + "Trailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 7\r\nChestnut-Outcome: ran\r\n\r\n")
		Expect(up.received()).To(HaveSuffix("Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 7\r\n\r\n"))
	})

	DescribeTable("that are large are streamed completely",
		func(frame func(c *caller)) {
			got := make(chan string, 1)
			up := newUpstream(func(u *rawConn) {
				_, body, _ := u.request()
				got <- string(body)
				u.send(okResponse)
			})
			c := newHarness([]*rawUpstream{up}).dial()
			frame(c)
			_, body, err := c.readResponse("POST")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("done"))
			Expect(<-got == largeBody).To(BeTrue())
		},
		Entry("with a length", func(c *caller) {
			c.send(fmt.Sprintf("POST /orders/a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(largeBody), largeBody))
		}),
		Entry("chunked", func(c *caller) {
			c.send(fmt.Sprintf("%s\r\n%x\r\n%s\r\n0\r\n\r\n", chunkedPost, len(largeBody), largeBody))
		}),
	)

	It("are read after 100 Continue when the caller expects it", func() {
		up := newUpstream(respondAlways(okResponse))
		c := newHarness([]*rawUpstream{up}).dial()
		c.send("POST /orders/a HTTP/1.1\r\nHost: h\r\nexpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
		line, err := c.br.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(Equal("HTTP/1.1 100 Continue\r\n"))
		_, err = c.br.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		c.send("hello")
		_, body, err := c.readResponse("POST")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("done"))
		Expect(up.received()).NotTo(ContainSubstring("xpect"))
	})

	It("that arrive too slowly are refused before dispatch", func() {
		up := newUpstream(respondAlways(okResponse))
		b := newHarness([]*rawUpstream{up}, withRoute("order", func(r *table.Route) { r.Timeout = 30 * time.Millisecond }),
			withLimits(func(l *Limits) { l.HeaderTimeout = time.Minute }))
		resp, _ := b.ask("POST /orders/a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe")
		expectLocalReply(resp, 408, outcome.NotRun)
		Expect(up.received()).To(BeEmpty())
	})

	It("get no 100 Continue when their header is refused", func() {
		c := newHarness(nil).dial()
		c.send("POST /none HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
		resp, _, err := c.readResponse("POST")
		Expect(err).NotTo(HaveOccurred())
		expectLocalReply(resp, 404, outcome.NotRun)
		Expect(resp.Close).To(BeTrue())
	})

	It("are no longer sent when the upstream responds with an error before they are complete", func() {
		up := newUpstream(func(u *rawConn) {
			_, _ = http.ReadRequest(u.br)
			u.send("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
			u.waitClosed()
		})
		c := newHarness([]*rawUpstream{up}).dial()
		c.send(fmt.Sprintf("POST /orders/a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2*len(largeBody), largeBody[:128<<10]))
		resp, body, err := c.readResponse("POST")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(413))
		Expect(body).To(Equal("no"))
		Expect(resp.Close).To(BeTrue())
	})

	It("that fail after dispatch leave the outcome unknown", func() {
		up := newUpstream(func(u *rawConn) {
			_, _ = http.ReadRequest(u.br)
			u.waitClosed()
		})
		c := newHarness([]*rawUpstream{up}).dial()
		c.send(fmt.Sprintf("%s\r\n%x\r\n%s\r\nzz\r\n", chunkedPost, 128<<10, largeBody[:128<<10]))
		resp, _, err := c.readResponse("POST")
		Expect(err).NotTo(HaveOccurred())
		expectLocalReply(resp, 400, outcome.Unknown)
		_, err = c.br.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})
})
