package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/table"
)

// targetBehavior is what a target does with the one request that it gets.
type targetBehavior struct {
	// Kind is "run" for a response after it has run, "refuse" for one that says that it
	// has not, "lose" for none after it has run, "cut" and "spoil" for a response after it
	// has run that ends early or is not HTTP/1.1, and "down" for no connection.
	Kind    string
	Status  int
	Framing string
	Signed  bool
	// Reset ends the connection with a reset.
	Reset bool
}

func drawBehavior(t *rapid.T, name string) targetBehavior {
	return targetBehavior{
		Kind:    rapid.SampledFrom([]string{"run", "refuse", "lose", "cut", "spoil", "down"}).Draw(t, name+" kind"),
		Status:  rapid.SampledFrom([]int{200, 400, 404, 408, 421, 429, 500, 503}).Draw(t, name+" status"),
		Framing: rapid.SampledFrom([]string{"length", "chunks", "no body", "interim"}).Draw(t, name+" framing"),
		Signed:  rapid.Bool().Draw(t, name+" signed"),
		Reset:   rapid.Bool().Draw(t, name+" reset"),
	}
}

// response returns the bytes that the target sends.
func (b targetBehavior) response() string {
	lines := ""
	if b.Signed {
		lines = "Bend-Seal: s\r\n"
	}
	switch b.Kind {
	case "run":
		return failedWith(b.Framing, b.Status, lines)
	case "refuse":
		return failedWith(b.Framing, http.StatusServiceUnavailable, "Chestnut-Not-Run: 1\r\n")
	case "cut":
		whole := failedWith("length", b.Status, lines)
		return whole[:len(whole)-1]
	case "spoil":
		return strings.Replace(failedWith(b.Framing, b.Status, lines), "Failed", "Fai\x00ed", 1)
	}
	return ""
}

// start starts a target that counts in runs the requests that it runs.
func (b targetBehavior) start(runs *atomic.Int32) *rawUpstream {
	up := startUpstream(func(u *rawConn) {
		if _, _, ok := u.request(); !ok {
			return
		}
		if b.Kind != "refuse" {
			runs.Add(1)
		}
		u.send(b.response())
		if b.Reset && b.Kind != "run" && b.Kind != "refuse" {
			_ = u.Conn.(*net.TCPConn).SetLinger(0)
		}
	})
	return up
}

// unusedAddr returns an address that takes no connections. Its port is below those that
// connections and listeners get, so that none of them is there either.
func unusedAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1))
}

// TestPromisesAreTrueForAnyTargets plays requests at targets that run, refuse, lose, cut
// or spoil them, in any order, directly or behind another host, and checks against what
// the targets did that each promise is true and that an order runs once at most.
func TestPromisesAreTrueForAnyTargets(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(rt *rapid.T) {
		order, byStatus, relayed := rapid.Bool().Draw(rt, "order"), rapid.Bool().Draw(rt, "byStatus"), rapid.Bool().Draw(rt, "relayed")
		var runs atomic.Int32
		var targets []netip.AddrPort
		for i := range rapid.IntRange(1, 3).Draw(rt, "targets") {
			behavior := drawBehavior(rt, fmt.Sprint("target ", i))
			if behavior.Kind == "down" {
				targets = append(targets, unusedAddr(i))
				continue
			}
			up := behavior.start(&runs)
			defer up.ln.Close()
			targets = append(targets, up.addr())
		}
		dialect := harnessOption(withSignedDialect)
		if byStatus {
			dialect = withStatusPromises
		}
		b := startRelayed(targets, relayed, dialect)
		defer b.abort()
		request := spoiledLookup
		if order {
			request = spoiledOrder
		}
		resp, body, err := b.tryAsk(request)
		checkPromise(rt, order, byStatus, int(runs.Load()), resp, body, err)
	})
}

// startRelayed starts a host, or two of which one hands its requests over to the other.
func startRelayed(targets []netip.AddrPort, relayed bool, dialect harnessOption) *relayedHarness {
	balancer := harnessOption(func(o *Options, _ *table.Tables) { o.Balancer = &orderedBalancer{targets: targets} })
	if !relayed {
		return &relayedHarness{harness: startHarness(nil, dialect, buffersAll, balancer)}
	}
	relay := startHarness(nil, dialect, buffersAll, balancer, asOwner)
	next := &peerBalancer{orderedBalancer{targets: []netip.AddrPort{relay.addrPort()}}}
	return &relayedHarness{harness: startHarness(nil, dialect, buffersAll, handingOver(next)), relay: relay}
}

// relayedHarness is a host and the one, if any, that it hands its requests over to.
type relayedHarness struct {
	*harness
	relay *harness
}

func (b *relayedHarness) abort() {
	b.harness.abort()
	if b.relay != nil {
		b.relay.abort()
	}
}

func checkPromise(t *rapid.T, order, byStatus bool, runs int, resp *http.Response, body string, err error) {
	if err != nil {
		t.Fatalf("connection ended without a response: %v", err)
	}
	promised := resp.Header.Get("Chestnut-Outcome") == outcome.NotRun.String()
	if byStatus && order {
		promised = promised || outcome.PromisesNotRun(resp.StatusCode)
	}
	if promised && runs > 0 {
		t.Fatalf("status %d, outcome %q after %d runs", resp.StatusCode, resp.Header.Get("Chestnut-Outcome"), runs)
	}
	if order && runs > 1 {
		t.Fatalf("order ran %d times", runs)
	}
	if strings.Contains(resp.Status, "Fai\x00ed") || body != "" && body != "ran 5" && resp.Header.Get("Proxy-Status") == "" {
		t.Fatalf("got %q with the body %q, which no target sent whole", resp.Status, body)
	}
	if order && runs == 0 && !outcome.PromisesNotRun(resp.StatusCode) && resp.StatusCode != http.StatusBadRequest {
		t.Fatalf("order did not run and got status %d, which doesn't say so", resp.StatusCode)
	}
}
