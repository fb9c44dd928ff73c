package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

// repeatingTarget answers each request with its path; repeat sends the last
// response of a connection once more, without being asked.
type repeatingTarget struct {
	addr  netip.AddrPort
	conns chan net.Conn
	count int
}

func newRepeatingTarget(t *testing.T) *repeatingTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	s := &repeatingTarget{addr: netip.MustParseAddrPort(ln.Addr().String()), conns: make(chan net.Conn, 100)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns <- c
			go serve(c)
		}
	}()
	return s
}

func serve(c net.Conn) {
	defer c.Close()
	for br := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, responseTo(req.URL.Path))
	}
}

func responseTo(path string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
}

// ask sends the next request, checks that its response is its own, and reports
// whether it was sent on a reused connection.
func (s *repeatingTarget) ask(g *WithT, client *Client) (reused bool) { return s.send(g, client, true) }

func (s *repeatingTarget) send(g *WithT, client *Client, idempotent bool) (reused bool) {
	x, err := client.Open(context.Background(), OpenOptions{Target: s.addr, Limit: 20, Deadline: time.Now().Add(longDeadline), Idempotent: idempotent})
	g.Expect(err).NotTo(HaveOccurred())
	defer x.Close()
	s.count++
	path := fmt.Sprint("/", s.count)
	g.Expect(x.Send([]byte("GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"), nil)).To(Succeed())
	g.Expect(x.ReadHeader(false)).To(Succeed())
	body, err := io.ReadAll(x)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal(path), "the response of another request")
	return x.Reused()
}

// TestLateSecondCopyReachesNoOtherCaller guards against a late second copy of a
// response on a connection that is in use again.
func TestLateSecondCopyReachesNoOtherCaller(t *testing.T) {
	g := NewWithT(t)
	clock, target := clockwork.NewFakeClock(), newRepeatingTarget(t)
	client := New(Options{QuietReuses: DefaultQuietReuses, Clock: clock})
	target.ask(g, client)
	first := <-target.conns
	clock.Advance(quietPeriod - time.Microsecond)
	g.Expect(target.ask(g, client)).To(BeFalse(), "the second copy may be on its way")
	_, err := io.WriteString(first, responseTo("/1"))
	g.Expect(err).NotTo(HaveOccurred())
	idle := client.target(target.addr).idle[0]
	g.Eventually(idle.isUsable).WithTimeout(20*time.Second).Should(BeFalse(), "the second copy has arrived")
	clock.Advance(quietPeriod)
	for range 3 * DefaultQuietReuses {
		g.Expect(target.ask(g, client)).To(BeFalse(), "the target sent unasked")
		clock.Advance(quietPeriod)
	}
	clock.Advance(distrustPeriod)
	target.ask(g, client)
	g.Expect(target.ask(g, client)).To(BeFalse(), "it has to show again that it is silent")
}

// TestConnectionsOfSilentTargetsAreReused guards against the cost of that protection
// at a target that never sends unasked.
func TestConnectionsOfSilentTargetsAreReused(t *testing.T) {
	g := NewWithT(t)
	clock, target := clockwork.NewFakeClock(), newRepeatingTarget(t)
	client := New(Options{QuietReuses: DefaultQuietReuses, Clock: clock})
	target.ask(g, client)
	for range DefaultQuietReuses {
		clock.Advance(quietPeriod)
		g.Expect(target.ask(g, client)).To(BeTrue())
	}
	for range 100 {
		g.Expect(target.ask(g, client)).To(BeTrue())
	}
	g.Expect(target.conns).To(HaveLen(1))
}

// TestLookupsWaitAtTargetsThatCloseConnections guards against lookups that are lost, and
// sent again, because a target closes its connections shortly after a response, without
// notice.
func TestLookupsWaitAtTargetsThatCloseConnections(t *testing.T) {
	g := NewWithT(t)
	clock, target := clockwork.NewFakeClock(), newRepeatingTarget(t)
	client := New(Options{QuietReuses: DefaultQuietReuses, Clock: clock})
	target.ask(g, client)
	for range DefaultQuietReuses {
		clock.Advance(quietPeriod)
		g.Expect(target.ask(g, client)).To(BeTrue())
	}
	g.Expect((<-target.conns).Close()).To(Succeed())
	idle := client.target(target.addr).idle[0]
	g.Eventually(idle.isUsable).WithTimeout(20*time.Second).Should(BeFalse(), "the close has arrived")
	g.Expect(target.ask(g, client)).To(BeFalse())
	g.Expect(target.ask(g, client)).To(BeFalse(), "the close may be on its way")
	clock.Advance(quietPeriod)
	g.Expect(target.ask(g, client)).To(BeTrue(), "it was open for long enough")
}

// TestOrdersNeverReuseConnections guards against an order that is lost because the target
// closes the connection at that moment, and against an answer to another request.
func TestOrdersNeverReuseConnections(t *testing.T) {
	g := NewWithT(t)
	clock, target := clockwork.NewFakeClock(), newRepeatingTarget(t)
	client := New(Options{QuietReuses: DefaultQuietReuses, Clock: clock})
	for range 2 * DefaultQuietReuses {
		clock.Advance(quietPeriod)
		target.ask(g, client)
		clock.Advance(quietPeriod)
		g.Expect(target.send(g, client, false)).To(BeFalse())
	}
}

// TestConnectionReleasedMeanwhileIsNotReusedForOrders guards against an order on a
// reused connection where each gets a new one: another request may end between the
// reading of the clock and the search for a connection.
func TestConnectionReleasedMeanwhileIsNotReusedForOrders(t *testing.T) {
	g := NewWithT(t)
	clock, target := clockwork.NewFakeClock(), newRepeatingTarget(t)
	client := New(Options{Clock: clock})
	before := clock.Now()
	clock.Advance(time.Microsecond)
	target.ask(g, client)
	for _, o := range []OpenOptions{{Limit: 2}, {Limit: 2, Idempotent: true, New: true}} {
		cn, ok := client.target(target.addr).acquire(before, client.reuseRules(o))
		g.Expect(ok).To(BeTrue())
		g.Expect(cn == nil).To(BeTrue(), "a connection that was released after the clock was read")
		client.target(target.addr).uncount()
	}
}
