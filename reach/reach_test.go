package reach_test

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/reach"
)

var addr = netip.MustParseAddrPort("10.0.0.1:80")

// network is a pool of which a host reaches some targets.
type network struct{ reachable, targets, rounds atomic.Int32 }

func (n *network) ProbeTargets(_ context.Context, _ string, limit int) (reached, probed int) {
	n.rounds.Add(1)
	return min(int(n.reachable.Load()), limit), min(int(n.targets.Load()), limit)
}

func (n *network) PoolOf(netip.AddrPort) string { return "p" }

func newMonitor(t *testing.T, targets int32) (*reach.Monitor, *network, *clockwork.FakeClock) {
	n := &network{}
	n.targets.Store(targets)
	n.reachable.Store(targets)
	clock := clockwork.NewFakeClock()
	m, err := reach.New(reach.Options{Prober: n, Clock: clock, Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	go m.Run(t.Context())
	return m, n, clock
}

var errRefused = errors.New("refused")

func TestFailedConnectionsOfOneTargetAreNoCut(t *testing.T) {
	g := NewWithT(t)
	m, n, _ := newMonitor(t, 5)
	n.reachable.Store(2)
	m.Contacted(addr, errRefused)
	g.Expect(m.Reaches(t.Context(), "p")).To(BeTrue())
	g.Expect(m.Cut("p")).To(BeFalse())
}

func TestHostThatReachesOneTargetOfManyIsCutOff(t *testing.T) {
	g := NewWithT(t)
	m, n, _ := newMonitor(t, 13)
	n.reachable.Store(1)
	m.Contacted(addr, errRefused)
	g.Expect(m.Reaches(t.Context(), "p")).To(BeFalse())
}

func TestOneTargetOfTwoIsNoCut(t *testing.T) {
	g := NewWithT(t)
	m, n, _ := newMonitor(t, 2)
	n.reachable.Store(1)
	m.Contacted(addr, errRefused)
	g.Expect(m.Reaches(t.Context(), "p")).To(BeTrue())
}

func TestNoProbesWhileConnectionsOpen(t *testing.T) {
	g := NewWithT(t)
	m, n, clock := newMonitor(t, 5)
	for range 20 {
		m.Contacted(addr, nil)
		m.Contacted(addr, errRefused)
		g.Expect(m.Reaches(t.Context(), "p")).To(BeTrue())
		clock.Advance(100 * time.Millisecond)
	}
	g.Expect(n.rounds.Load()).To(BeZero())
}

func TestCutBeginsWithOneRoundAndEndsAfterSeveral(t *testing.T) {
	g := NewWithT(t)
	m, n, clock := newMonitor(t, 5)
	m.Contacted(addr, nil)
	n.reachable.Store(0)
	clock.Advance(time.Second)
	m.Contacted(addr, errRefused)
	g.Expect(m.Reaches(t.Context(), "p")).To(BeFalse())
	g.Expect(m.Cut("p")).To(BeTrue())
	g.Expect(m.Cut("q")).To(BeFalse())
	m.Contacted(addr, nil)
	g.Expect(m.Cut("p")).To(BeTrue(), "one connection is not enough")
	n.reachable.Store(5)
	advanceUntil(t, g, clock, func() bool { return !m.Cut("p") })
}

// advanceUntil moves the clock on in small steps until a condition holds.
func advanceUntil(t *testing.T, g *WithT, clock *clockwork.FakeClock, done func() bool) (steps int) {
	t.Helper()
	g.Eventually(func() bool {
		steps++
		clock.Advance(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
		return done()
	}).WithPolling(time.Millisecond).WithTimeout(20 * time.Second).Should(BeTrue())
	return steps
}

func TestFlappingLinkHasToHoldLonger(t *testing.T) {
	g := NewWithT(t)
	m, n, clock := newMonitor(t, 5)
	rounds := func() int32 {
		n.reachable.Store(0)
		clock.Advance(time.Second)
		g.Eventually(func() bool { return m.Reaches(t.Context(), "p") }).Should(BeFalse())
		before := n.rounds.Load()
		n.reachable.Store(5)
		advanceUntil(t, g, clock, func() bool { return !m.Cut("p") })
		return n.rounds.Load() - before
	}
	first := rounds()
	rounds()
	rounds()
	g.Expect(rounds()).To(BeNumerically(">=", 3*first))
	clock.Advance(time.Minute)
	g.Expect(rounds()).To(BeNumerically("<=", first+1))
}
