package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startCutTest starts a proxy in front of one upstream for a test outside the suite.
func startCutTest(t *testing.T, serve func(u *rawConn), options ...harnessOption) *harness {
	RegisterTestingT(t)
	up := startUpstream(serve)
	t.Cleanup(func() { up.ln.Close() })
	b := startHarness([]*rawUpstream{up}, options...)
	t.Cleanup(b.abort)
	return b
}

// tryAsk sends a request on a new connection and reads the response; err tells
// whether it was cut.
func (b *harness) tryAsk(raw string) (*http.Response, string, error) {
	nc, err := net.Dial("tcp", b.addr)
	if err != nil {
		return nil, "", err
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(nc, raw); err != nil {
		return nil, "", err
	}
	method, _, _ := bytes.Cut([]byte(raw), []byte(" "))
	return (&caller{Conn: nc, br: bufio.NewReader(nc)}).readResponse(string(method))
}

// Guards against streamed responses that lose their last bytes.
func TestLargeResponseReachesItsCallerWhole(t *testing.T) {
	for _, length := range []int{64<<10 + 1, 100_000, 1<<20 - 1, 1 << 20} {
		b := startCutTest(t, respondAlways(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, largeBody[:length])))
		for range 3 {
			_, body, err := b.tryAsk(getSpec)
			Expect(err).NotTo(HaveOccurred(), "%d of %d bytes arrived", len(body), length)
			Expect(body == largeBody[:length]).To(BeTrue())
		}
	}
}

// Guards against chunks of an HTTP/1.0 response that are taken for a body which ends
// with the connection: whatever was sent of them looks whole.
func TestHTTP10ResponseWithTransferEncodingIsNotForwarded(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.2"} {
		for _, lines := range []string{"Transfer-Encoding: chunked", "transfer-encoding : chunked", "Content-Length: 6\r\nTransfer-Encoding: chunked"} {
			b := startCutTest(t, respondOnceAndClose(version+" 200 OK\r\n"+lines+"\r\n\r\n4\r\ndon"))
			resp, body, err := b.tryAsk(postOrder)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), "%s with %q was forwarded with the body %q", version, lines, body)
		}
	}
}

// cutKind is one kind of response, with the body that a complete one has.
type cutKind struct {
	response, body string
	// untilClose is true when the body ends with the connection.
	untilClose bool
}

const sealed = "200 OK\r\nBend-Id: r\r\nBend-Seal: s\r\n"

var cutKinds = map[string]cutKind{
	"length":               {response: "HTTP/1.1 " + sealed + "Content-Length: 4\r\n\r\ndone", body: "done"},
	"length last but one":  {response: "HTTP/1.1 " + sealed + "Content-Length: 4\r\nX-A: 1\r\n\r\ndone", body: "done"},
	"length, then closed":  {response: "HTTP/1.1 " + sealed + "Connection: close\r\nContent-Length: 4\r\n\r\ndone", body: "done"},
	"chunks":               {response: "HTTP/1.1 " + sealed + "Transfer-Encoding: chunked\r\n\r\n4;x=y\r\ndone\r\n3\r\nnow\r\n0\r\n\r\n", body: "donenow"},
	"trailers":             {response: "HTTP/1.1 " + sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-A: 7\r\nX-B: 2\r\n\r\n", body: "done"},
	"until the close":      {response: "HTTP/1.1 " + sealed + "\r\ndone", body: "done", untilClose: true},
	"HTTP/1.0":             {response: "HTTP/1.0 " + sealed + "Content-Length: 4\r\n\r\ndone", body: "done"},
	"HTTP/1.0 until close": {response: "HTTP/1.0 " + sealed + "\r\ndone", body: "done", untilClose: true},
	"no body":              {response: "HTTP/1.1 " + sealed + "Content-Length: 0\r\n\r\n"},
	"204":                  {response: "HTTP/1.1 204 None\r\nBend-Id: r\r\nBend-Seal: s\r\n\r\n"},
	"304":                  {response: "HTTP/1.1 304 Same\r\nBend-Id: r\r\nBend-Seal: s\r\n\r\n"},
	"HEAD":                 {response: "HTTP/1.1 " + sealed + "Content-Length: 400\r\n\r\n"},
	"interim":              {response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hint\r\nX-A: 1\r\n\r\nHTTP/1.1 " + sealed + "Content-Length: 4\r\n\r\ndone", body: "done"},
	"interim, until close": {response: "HTTP/1.1 103 Hint\r\nX-A: 1\r\n\r\nHTTP/1.1 " + sealed + "\r\ndone", body: "done", untilClose: true},
}

// bodyOf returns the body that the first n bytes of a response make complete; ok is
// false when they make none.
func (k cutKind) bodyOf(n int, reset bool) (body string, ok bool) {
	if k.untilClose {
		head := len(k.response) - len(k.body)
		return k.response[min(head, n):n], !reset && n >= head
	}
	return k.body, n == len(k.response)
}

// cutSetup is a way to ask the proxy.
type cutSetup struct {
	request string
	options []harnessOption
}

var cutSetups = map[string]cutSetup{
	"lookup":          {request: "GET /specs/a HTTP/1.1\r\nHost: h\r\nBend-Id: r\r\n\r\n"},
	"HTTP/1.0 lookup": {request: "GET /specs/a HTTP/1.0\r\nHost: h\r\nBend-Id: r\r\n\r\n"},
	"signed lookup": {request: "GET /specs/a HTTP/1.1\r\nHost: h\r\nBend-Id: r\r\n\r\n", options: []harnessOption{
		withSignedDialect, withLimits(func(l *Limits) { l.BufferUnknownLength = true })}},
	"streamed lookup": {request: "GET /specs/a HTTP/1.1\r\nHost: h\r\nBend-Id: r\r\n\r\n", options: []harnessOption{
		withSignedDialect, withLimits(func(l *Limits) { l.BufferedResponseBytes = 1 })}},
	"order with a key": {request: "POST /orders/a HTTP/1.1\r\nHost: h\r\nX-Caller: c\r\nIdempotency-Key: k\r\nBend-Id: r\r\nContent-Length: 5\r\n\r\nhello"},
}

// Guards against a response that breaks off anywhere, in its header or its body, and
// still looks whole to its caller or is recorded for its order.
func TestResponsesCutAtAnyByteNeverLookWhole(t *testing.T) {
	for setupName, setup := range cutSetups {
		for name, k := range cutKinds {
			if name == "HEAD" {
				setup.request = strings.Replace(setup.request, "GET", "HEAD", 1)
				if strings.HasPrefix(setup.request, "POST") {
					continue
				}
			}
			t.Run(setupName+"/"+name, func(t *testing.T) { testCuts(t, k, setup) })
			setup.request = cutSetups[setupName].request
		}
	}
}

// cutTarget is a target that sends the first bytes of a response and then closes or
// resets the connection.
type cutTarget struct {
	response string
	sent     atomic.Int32
	reset    atomic.Bool
	closed   chan struct{}
}

func newCutTarget(response string) *cutTarget {
	return &cutTarget{response: response, closed: make(chan struct{}, 1000)}
}

func (c *cutTarget) serve(u *rawConn) {
	u.request()
	u.send(c.response[:c.sent.Load()])
	if c.reset.Load() {
		_ = u.Conn.(*net.TCPConn).SetLinger(0)
	}
	u.Close()
	c.closed <- struct{}{}
}

// forAllCuts sends a request for every part of the response and either end of its connection, and checks
// what the caller gets.
func (c *cutTarget) forAllCuts(b *harness, request string, k cutKind) {
	for n := range len(c.response) + 1 {
		for _, reset := range []bool{false, true} {
			c.sent.Store(int32(n))
			c.reset.Store(reset)
			resp, body, err := b.tryAsk(request)
			<-c.closed
			k.check(n, reset, resp, body, err)
		}
	}
}

func testCuts(t *testing.T, k cutKind, setup cutSetup) {
	target := newCutTarget(k.response)
	b := startCutTest(t, target.serve, setup.options...)
	target.forAllCuts(b, setup.request, k)
	b.ledger.mu.Lock()
	defer b.ledger.mu.Unlock()
	for _, r := range b.ledger.recorded {
		Expect(r == nil || k.untilClose || string(r.Body) == k.body).To(BeTrue(), "recorded %v", r)
	}
}

// check checks what the caller got when the first n bytes of the response were sent.
func (k cutKind) check(n int, reset bool, resp *http.Response, body string, err error) {
	complete, ok := k.bodyOf(n, reset)
	at := fmt.Sprintf("sent %q, reset %v: status, body and error are %v, %q, %v", k.response[:n], reset, resp, body, err)
	switch {
	case err != nil || resp.StatusCode == http.StatusBadGateway:
		Expect(ok && !reset).To(BeFalse(), at)
		Expect(err != nil || resp.Header.Get("Chestnut-Outcome") == "unknown").To(BeTrue(), at)
	default:
		Expect(ok).To(BeTrue(), at)
		Expect(body).To(Equal(complete), at)
	}
}

// Guards against a response that breaks off on its way between two hosts: at the
// target, so that the owner has to break off as well, or at the owner.
func TestResponsesCutBehindAHandoverNeverLookWhole(t *testing.T) {
	for _, name := range []string{"length", "chunks", "trailers", "until the close", "no body"} {
		for _, lost := range []string{"target", "owner"} {
			t.Run(lost+"/"+name, func(t *testing.T) { testHandedOverCuts(t, cutKinds[name], lost == "owner") })
		}
	}
}

func testHandedOverCuts(t *testing.T, k cutKind, atOwner bool) {
	if atOwner {
		status, rest, _ := strings.Cut(k.response, "Bend-Id")
		k.response = status + "Chestnut-Handover: answered\r\nBend-Id" + rest
	}
	target := newCutTarget(k.response)
	owner := startCutTest(t, target.serve, asOwner)
	addr := owner.addrPort()
	if atOwner {
		addr = owner.balancer.targets[0]
	}
	b := startHarness(nil, handingOver(&peerBalancer{orderedBalancer{targets: []netip.AddrPort{addr}}}))
	t.Cleanup(b.abort)
	target.forAllCuts(b, cutSetups["lookup"].request, k)
}
