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

// thenClose answers the first request and closes.
func thenClose(answer string) func(u *rawConn) {
	return func(u *rawConn) {
		u.request()
		u.send(answer)
	}
}

var big = strings.Repeat("0123456789abcdef", 64<<10)

var _ = Describe("the limits of the tables", func() {
	withTableLimits := func(header int, body int64) bedOption {
		return func(_ *Options, t *table.Tables) { t.Limits = table.CallerLimits{HeaderBytes: header, BodyBytes: body} }
	}
	post := "POST /orders/a HTTP/1.1\r\nHost: h\r\n"

	It("refuse a larger body, announced, chunked or streamed, and a larger header", func() {
		up := newUpstream(always(okAnswer))
		b := newBed([]*rawUpstream{up}, withTableLimits(200, 10), withLimits(func(l *Limits) { l.HeldBodyBytes = 4 }))
		resp, _ := b.ask(post + "Content-Length: 11\r\n\r\nhello world")
		Expect(resp.StatusCode).To(Equal(413))
		Expect(resp.Header.Get("Chestnut-Outcome")).To(Equal("not-run"))
		resp, _ = b.ask(post + "Transfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n")
		Expect(resp.StatusCode).To(Equal(413))
		resp, _ = b.ask(post + "X-Long: " + strings.Repeat("x", 200) + "\r\nContent-Length: 0\r\n\r\n")
		Expect(resp.StatusCode).To(Equal(431))
	})

	It("bound how long a connection may be unused and a header take to arrive", func() {
		times := func(_ *Options, t *table.Tables) {
			t.Limits = table.CallerLimits{HeaderTimeout: 60 * time.Millisecond, IdleTimeout: 120 * time.Millisecond}
		}
		b := newBed([]*rawUpstream{newUpstream(always(okAnswer))}, times)
		ask := func(c *caller, raw string) int {
			c.send(raw)
			resp, _, err := c.answer("GET")
			Expect(err).NotTo(HaveOccurred())
			return resp.StatusCode
		}
		Expect(ask(b.dial(), "GET /specs/a HTTP/1.1\r\n")).To(Equal(408))
		unused := b.dial()
		Expect(ask(unused, getSpec)).To(Equal(200))
		time.Sleep(90 * time.Millisecond)
		Expect(ask(unused, getSpec)).To(Equal(200))
		began := time.Now()
		_, err := unused.br.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(time.Since(began)).To(BeNumerically(">=", 100*time.Millisecond))
	})

	It("let everything within them pass", func() {
		b := newBed([]*rawUpstream{newUpstream(always(okAnswer))}, withTableLimits(200, 10))
		for _, rest := range []string{"Content-Length: 10\r\n\r\nhello worl", "Transfer-Encoding: chunked\r\n\r\na\r\nhello worl\r\n0\r\n\r\n"} {
			resp, _ := b.ask(post + rest)
			Expect(resp.StatusCode).To(Equal(200))
		}
	})
})

var _ = Describe("answers", func() {
	DescribeTable("that are short are 502, unknown",
		func(answer string) {
			b := newBed([]*rawUpstream{newUpstream(thenClose(answer))})
			resp, _ := b.ask(postOrder)
			expectOwn(resp, 502, outcome.Unknown)
		},
		Entry("nothing", ""),
		Entry("half a status line", "HTTP/1.1 20"),
		Entry("half a header", "HTTP/1.1 200 OK\r\nContent-Le"),
		Entry("no body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"),
		Entry("half a body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo"),
		Entry("not HTTP", "+PONG\r\n\r\n"),
		Entry("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone"),
		Entry("unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ndone"),
		Entry("an upgrade nobody asked for", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n"),
		Entry("a folded header line", "HTTP/1.1 200 OK\r\nConnection: a\r\n b\r\nContent-Length: 0\r\n\r\n"),
		Entry("a bare line feed", "HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n"),
		Entry("only interim", "HTTP/1.1 100 Continue\r\n\r\n"),
		Entry("a header that is too large", "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("a", 20<<10)+"\r\n\r\n"),
	)

	DescribeTable("that are cut after their header cut the caller's connection",
		func(answer string) {
			b := newBed([]*rawUpstream{newUpstream(thenClose(answer))})
			c := b.dial()
			c.send(postOrder)
			resp, body, err := c.answer("POST")
			Expect(err).To(HaveOccurred(), "body %q", body)
			if resp != nil {
				Expect(resp.StatusCode).To(Equal(200))
			}
			Eventually(b.balancer.inFlight, "10s").Should(BeZero())
		},
		Entry("large", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(big)+1, big)),
		Entry("chunked without a last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"),
		Entry("bad chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\nxx\r\n"),
		Entry("bad chunk end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ndone\r\n0\r\n\r\n"),
		Entry("half a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Sum"),
	)

	DescribeTable("pass whole",
		func(request, answer, body string, check func(r *http.Response)) {
			b := newBed([]*rawUpstream{newUpstream(thenClose(answer))})
			resp, got := b.ask(request)
			Expect(got).To(Equal(body))
			Expect(resp.Close).To(BeFalse())
			check(resp)
			Expect(b.balancer.inFlight()).To(BeZero())
		},
		Entry("after 1xx", getSpec, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"+okAnswer, "done",
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
		Entry("large", getSpec, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(big), big), big,
			func(r *http.Response) { Expect(r.ContentLength).To(BeEquivalentTo(len(big))) }),
		Entry("headers as sent, without those for one hop", getSpec,
			"HTTP/1.1 200 OK\r\nDate: Thu, 03 Dec 2026 22:00:00 GMT\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nConnection: close, X-Hop\r\n"+
				"X-Hop: 1\r\nKeep-Alive: 3\r\nContent-Length: 4\r\n\r\ndone", "done",
			func(r *http.Response) {
				Expect(r.Header).To(Equal(http.Header{"Date": {"Thu, 03 Dec 2026 22:00:00 GMT"},
					"Set-Cookie": {"a=1", "b=2"}, "Content-Length": {"4"}}))
			}),
	)

	It("of unknown length reach an HTTP/1.0 caller with a length", func() {
		up := newUpstream(always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"))
		resp, body := newBed([]*rawUpstream{up}).ask("GET /specs/a HTTP/1.0\r\nHost: h\r\n\r\n")
		Expect(body).To(Equal("done"))
		Expect(resp.ContentLength).To(BeEquivalentTo(4))
	})

	DescribeTable("end the connection that they came on",
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
			b := newBed([]*rawUpstream{up})
			_, body := b.ask(getSpec)
			Expect(body).To(Equal("done"))
			_, body = b.ask(getSpec)
			Expect(body).To(Equal("second"))
			Expect(up.conns.Load()).To(BeEquivalentTo(2))
		},
		Entry("with a second answer behind", okAnswer+okAnswer),
		Entry("with stray bytes behind", okAnswer+"\r\n"),
		Entry("with Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone"),
	)

	DescribeTable("end the connection when, later, there comes",
		func(later func(u *rawConn)) {
			poke, poked := make(chan struct{}), make(chan struct{})
			up := newUpstream(func(u *rawConn) {
				u.request()
				u.send(okAnswer)
				if u.number == 1 {
					<-poke
					later(u)
					close(poked)
					u.waitClosed()
				}
			})
			b := newBed([]*rawUpstream{up})
			b.ask(getSpec)
			close(poke)
			<-poked
			_, body := b.ask(postOrder)
			Expect(body).To(Equal("done"))
			Expect(up.conns.Load()).To(BeEquivalentTo(2))
		},
		Entry("an answer nobody asked for", func(u *rawConn) { u.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil") }),
		Entry("the end of the stream", func(u *rawConn) { u.Close() }),
	)

	It("that the caller does not take are given up", func() {
		closed := make(chan struct{})
		up := newUpstream(func(u *rawConn) {
			u.request()
			u.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for {
				if _, err := fmt.Fprintf(u, "%x\r\n%s\r\n", len(big), big); err != nil {
					break
				}
			}
			close(closed)
		})
		b := newBed([]*rawUpstream{up}, withLimits(func(l *Limits) { l.WriteStall = 30 * time.Millisecond }))
		b.dial().send(getSpec)
		Eventually(closed, "15s").Should(BeClosed())
		Eventually(b.balancer.inFlight, "10s").Should(BeZero())
	})

	It("do not reach another caller when they are late", func() {
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
		b := newBed([]*rawUpstream{up}, withRoute("order", func(r *table.Route) { r.Timeout = 30 * time.Millisecond }))
		resp, _ := b.ask(strings.Replace(postOrder, "/orders/a", "/orders/slow", 1))
		expectOwn(resp, 504, outcome.Unknown)
		close(release)
		_, body := b.ask(strings.Replace(getSpec, "/specs/a", "/specs/fast", 1))
		Expect(body).To(Equal("fast"))
	})
})

var _ = Describe("request bodies", func() {
	chunkedPost := "POST /specs/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"

	It("that are chunked and small get a length", func() {
		up := newUpstream(always(okAnswer))
		newBed([]*rawUpstream{up}).ask(chunkedPost + "\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n")
		Expect(up.read()).To(HaveSuffix("Content-Length: 5\r\n\r\nhello"))
	})

	It("keep their trailers, but for those of chestnutfield", func() {
		up := newUpstream(always(okAnswer))
		newBed([]*rawUpstream{up}).ask(chunkedPost + "Trailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 7\r\nChestnut-Outcome: ran\r\n\r\n")
		Expect(up.read()).To(HaveSuffix("Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 7\r\n\r\n"))
	})

	DescribeTable("that are large are streamed whole",
		func(frame func(c *caller)) {
			got := make(chan string, 1)
			up := newUpstream(func(u *rawConn) {
				_, body, _ := u.request()
				got <- string(body)
				u.send(okAnswer)
			})
			c := newBed([]*rawUpstream{up}).dial()
			frame(c)
			_, body, err := c.answer("POST")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("done"))
			Expect(<-got == big).To(BeTrue())
		},
		Entry("with a length", func(c *caller) {
			c.send(fmt.Sprintf("POST /orders/a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(big), big))
		}),
		Entry("chunked", func(c *caller) {
			c.send(fmt.Sprintf("%s\r\n%x\r\n%s\r\n0\r\n\r\n", chunkedPost, len(big), big))
		}),
	)

	It("wait for the word of a caller that expects 100-continue", func() {
		up := newUpstream(always(okAnswer))
		c := newBed([]*rawUpstream{up}).dial()
		c.send("POST /orders/a HTTP/1.1\r\nHost: h\r\nexpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
		line, err := c.br.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(Equal("HTTP/1.1 100 Continue\r\n"))
		_, err = c.br.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		c.send("hello")
		_, body, err := c.answer("POST")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("done"))
		Expect(up.read()).NotTo(ContainSubstring("xpect"))
	})

	It("that are slow to arrive are given up before dispatch", func() {
		up := newUpstream(always(okAnswer))
		b := newBed([]*rawUpstream{up}, withRoute("order", func(r *table.Route) { r.Timeout = 30 * time.Millisecond }),
			withLimits(func(l *Limits) { l.HeaderTimeout = time.Minute }))
		resp, _ := b.ask("POST /orders/a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe")
		expectOwn(resp, 408, outcome.NotRun)
		Expect(up.read()).To(BeEmpty())
	})

	It("are not asked for when their header is refused", func() {
		c := newBed(nil).dial()
		c.send("POST /none HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
		resp, _, err := c.answer("POST")
		Expect(err).NotTo(HaveOccurred())
		expectOwn(resp, 404, outcome.NotRun)
		Expect(resp.Close).To(BeTrue())
	})

	It("stop when the upstream refuses before they are complete", func() {
		up := newUpstream(func(u *rawConn) {
			_, _ = http.ReadRequest(u.br)
			u.send("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
			u.waitClosed()
		})
		c := newBed([]*rawUpstream{up}).dial()
		c.send(fmt.Sprintf("POST /orders/a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2*len(big), big[:128<<10]))
		resp, body, err := c.answer("POST")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(413))
		Expect(body).To(Equal("no"))
		Expect(resp.Close).To(BeTrue())
	})

	It("that break off after dispatch leave the outcome unknown", func() {
		up := newUpstream(func(u *rawConn) {
			_, _ = http.ReadRequest(u.br)
			u.waitClosed()
		})
		c := newBed([]*rawUpstream{up}).dial()
		c.send(fmt.Sprintf("%s\r\n%x\r\n%s\r\nzz\r\n", chunkedPost, 128<<10, big[:128<<10]))
		resp, _, err := c.answer("POST")
		Expect(err).NotTo(HaveOccurred())
		expectOwn(resp, 400, outcome.Unknown)
		_, err = c.br.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})
})
