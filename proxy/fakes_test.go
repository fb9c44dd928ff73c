package proxy

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/table"
)

// tablesFake holds one version of the tables.
type tablesFake struct{ atomic.Pointer[table.Tables] }

func (t *tablesFake) Current() *table.Tables { return t.Load() }

// orderedBalancer picks the first target that is not excluded.
type orderedBalancer struct {
	mu      sync.Mutex
	targets []netip.AddrPort
	ended   []lb.Feedback
	live    int
}

type orderedAttempt struct {
	b      *orderedBalancer
	target netip.AddrPort
	done   atomic.Bool
}

func (b *orderedBalancer) Pick(q lb.PickQuery) (lb.Attempt, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.targets {
		if !slices.Contains(q.Exclude, t) {
			b.live++
			return &orderedAttempt{b: b, target: t}, true
		}
	}
	return nil, false
}

func (b *orderedBalancer) feedback() []lb.Feedback {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.ended)
}

func (b *orderedBalancer) inFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.live
}

func (a *orderedAttempt) Target() netip.AddrPort { return a.target }

func (a *orderedAttempt) Done(_ time.Time, f lb.Feedback) {
	if !a.done.CompareAndSwap(false, true) {
		panic("attempt ended twice")
	}
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	a.b.live--
	a.b.ended = append(a.b.ended, f)
}

// ledgerFake returns the same claim every time and records their outcomes.
type ledgerFake struct {
	mu       sync.Mutex
	claim    lb.Claim
	keys     []lb.OrderKey
	outcomes []outcome.Outcome
	recorded []*lb.RecordedResponse
}

func (l *ledgerFake) Claim(_ context.Context, k lb.OrderKey) lb.Claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys = append(l.keys, k)
	return l.claim
}

func (l *ledgerFake) RecordOutcome(_ context.Context, _ lb.OrderKey, _ string, o outcome.Outcome, a *lb.RecordedResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
	l.recorded = append(l.recorded, a)
}

// budgetFake allows a fixed number of retries.
type budgetFake struct{ left atomic.Int32 }

func (b *budgetFake) Deposit(string, time.Time)       {}
func (b *budgetFake) Withdraw(string, time.Time) bool { return b.left.Add(-1) >= 0 }

// rawUpstream is a TCP server that records the bytes it received and responds
// as scripted by serve.
type rawUpstream struct {
	ln    net.Listener
	serve func(u *rawConn)

	mu           sync.Mutex
	requestBytes bytes.Buffer
	conns        atomic.Int32
}

// rawConn is one connection of a rawUpstream.
type rawConn struct {
	net.Conn
	br *bufio.Reader
	up *rawUpstream
	// number is the number of the connection, from 1.
	number int
}

func newUpstream(serve func(u *rawConn)) *rawUpstream {
	up := startUpstream(serve)
	DeferCleanup(func() { up.ln.Close() })
	return up
}

// startUpstream is newUpstream for tests outside the suite, which close it themselves.
func startUpstream(serve func(u *rawConn)) *rawUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	up := &rawUpstream{ln: ln, serve: serve}
	go up.run()
	return up
}

func (up *rawUpstream) run() {
	for {
		c, err := up.ln.Accept()
		if err != nil {
			return
		}
		n := int(up.conns.Add(1))
		tee := io.TeeReader(c, up)
		go func() {
			defer c.Close()
			up.serve(&rawConn{Conn: c, br: bufio.NewReader(tee), up: up, number: n})
		}()
	}
}

// Write records received bytes.
func (up *rawUpstream) Write(p []byte) (int, error) {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.requestBytes.Write(p)
}

func (up *rawUpstream) received() string {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.requestBytes.String()
}

func (up *rawUpstream) addr() netip.AddrPort { return netip.MustParseAddrPort(up.ln.Addr().String()) }

// request reads one complete request; ok is false at the end of the stream.
func (u *rawConn) request() (req *http.Request, body []byte, ok bool) {
	req, err := http.ReadRequest(u.br)
	if err != nil {
		return nil, nil, false
	}
	body, err = io.ReadAll(req.Body)
	return req, body, err == nil
}

func (u *rawConn) send(s string) { _, _ = io.WriteString(u.Conn, s) }

// waitClosed returns when the proxy has closed the connection.
func (u *rawConn) waitClosed() { _, _ = io.Copy(io.Discard, u.br) }

// respondAlways responds to every request with the same bytes.
func respondAlways(response string) func(u *rawConn) {
	return func(u *rawConn) {
		for {
			if _, _, ok := u.request(); !ok {
				return
			}
			u.send(response)
		}
	}
}

// harness is a proxy with fakes of everything that it depends on.
type harness struct {
	server   *Server
	addr     string
	balancer *orderedBalancer
	ledger   *ledgerFake
	budget   *budgetFake
	served   chan error
}

type harnessOption func(o *Options, t *table.Tables)

func withRoute(name string, change func(r *table.Route)) harnessOption {
	return func(_ *Options, t *table.Tables) {
		r := t.Routes[name]
		change(&r)
		t.Routes[name] = r
	}
}

func withLimits(change func(l *Limits)) harnessOption {
	return func(o *Options, _ *table.Tables) { change(&o.Limits) }
}

func testTables() *table.Tables {
	return &table.Tables{
		Version: 1,
		Pools:   map[string]table.Pool{"catalogue": {Name: "catalogue", Connections: 250}},
		Routes: map[string]table.Route{
			"lookup": {Name: "lookup", PathPrefix: "/specs/", Pool: "catalogue", Class: table.Lookup,
				Idempotent: true, Retries: 1, Timeout: 20 * time.Second},
			"order": {Name: "order", PathPrefix: "/orders/", Pool: "catalogue", Class: table.Order,
				Timeout: 20 * time.Second},
		},
	}
}

func newHarness(upstreams []*rawUpstream, options ...harnessOption) *harness {
	b := startHarness(upstreams, options...)
	DeferCleanup(b.abort)
	return b
}

// startHarness is newHarness for tests outside the suite, which stop it themselves.
func startHarness(upstreams []*rawUpstream, options ...harnessOption) *harness {
	b := &harness{balancer: &orderedBalancer{}, ledger: &ledgerFake{}, budget: &budgetFake{}, served: make(chan error, 1)}
	for _, up := range upstreams {
		b.balancer.targets = append(b.balancer.targets, up.addr())
	}
	b.budget.left.Store(100)
	b.ledger.claim = lb.Claim{State: lb.ClaimGranted, Token: "t"}
	tables := &tablesFake{}
	t := testTables()
	o := Options{Tables: tables, Balancer: b.balancer, Retries: b.budget, Ledger: b.ledger}
	for _, option := range options {
		option(&o, t)
	}
	tables.Store(t)
	var err error
	b.server, err = New(o)
	Expect(err).NotTo(HaveOccurred())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	b.addr = ln.Addr().String()
	go func() { b.served <- b.server.Serve(ln) }()
	return b
}

// abort stops the server without waiting for requests.
func (b *harness) abort() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = b.server.Shutdown(ctx)
}

// caller is a raw connection to the proxy.
type caller struct {
	net.Conn
	br *bufio.Reader
}

func (b *harness) dial() *caller {
	c, err := net.Dial("tcp", b.addr)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	DeferCleanup(func() { c.Close() })
	return &caller{Conn: c, br: bufio.NewReader(c)}
}

func (c *caller) send(s string) {
	_, err := io.WriteString(c.Conn, s)
	Expect(err).NotTo(HaveOccurred())
}

// readResponse reads one complete response.
func (c *caller) readResponse(method string) (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// ask sends a request on a new connection and reads the response.
func (b *harness) ask(raw string) (*http.Response, string) {
	c := b.dial()
	c.send(raw)
	method, _, _ := bytes.Cut([]byte(raw), []byte(" "))
	resp, body, err := c.readResponse(string(method))
	Expect(err).NotTo(HaveOccurred())
	return resp, body
}

const (
	getSpec    = "GET /specs/a HTTP/1.1\r\nHost: h\r\nX-Caller: c1\r\n\r\n"
	postOrder  = "POST /orders/a HTTP/1.1\r\nHost: h\r\nX-Caller: c1\r\nContent-Length: 5\r\n\r\nhello"
	okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Spec: Bend\r\n\r\ndone"
)
