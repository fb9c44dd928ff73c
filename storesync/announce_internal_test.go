package storesync

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// tablePart is the part of a store's table that takes the announcements of all
// hosts: transactions are applied one after another, and refused when more than
// a second of them waits.
type tablePart struct {
	perSecond float64
	busyUntil time.Duration
}

// announce returns when a call that is sent at a time is answered, and whether it
// is applied.
func (p *tablePart) announce(at time.Duration) (answered time.Duration, ok bool) {
	start := max(at, p.busyUntil)
	if start-at > time.Second {
		return at, false
	}
	p.busyUntil = start + time.Duration(float64(time.Second)/p.perSecond)
	return p.busyUntil, true
}

// startOfFleet plays hosts that start within 0.3 s of each other and announce
// themselves. It returns the number of calls, and when the last host is listed.
func startOfFleet(hosts int, delay func(failures int, u float64) time.Duration) (calls int, lastListed time.Duration) {
	const startSpread, callTimeout = 300 * time.Millisecond, 600 * time.Millisecond
	type attempt struct {
		at       time.Duration
		failures int
	}
	rng := rand.New(rand.NewPCG(1, uint64(hosts)))
	part := tablePart{perSecond: 250}
	var pending []attempt
	for range hosts {
		started := time.Duration(rng.Float64() * float64(startSpread))
		pending = append(pending, attempt{at: started + delay(0, rng.Float64())})
	}
	for len(pending) > 0 {
		slices.SortFunc(pending, func(a, b attempt) int { return int(a.at - b.at) })
		a := pending[0]
		pending = pending[1:]
		calls++
		answered, ok := part.announce(a.at)
		if ok && answered-a.at <= callTimeout {
			lastListed = max(lastListed, answered)
			continue
		}
		a.at = min(answered, a.at+callTimeout)
		a.failures++
		a.at += delay(a.failures, rng.Float64())
		pending = append(pending, a)
	}
	return calls, lastListed
}

// Guards against a store that is overloaded by the announcements of a deployment
// that starts: hosts that announce themselves at once and retry after 0.1 s make
// half as many calls again.
func TestHostsThatStartTogetherAnnounceThemselvesWithOneCallEach(t *testing.T) {
	g := NewWithT(t)
	for _, fleet := range []struct {
		hosts        int
		callsPerHost float64
		listed       time.Duration
	}{
		{30, 1, 3 * time.Second},
		{100, 1, 3 * time.Second},
		{313, 1.05, 3 * time.Second},
		// Four times as many as the store takes in announceSpread.
		{1000, 2, 9 * time.Second},
	} {
		calls, listed := startOfFleet(fleet.hosts, announceDelay)
		t.Logf("%d hosts: %.2f calls a host, the last listed after %v", fleet.hosts, float64(calls)/float64(fleet.hosts), listed)
		g.Expect(float64(calls) / float64(fleet.hosts)).To(BeNumerically("<=", fleet.callsPerHost))
		g.Expect(listed).To(BeNumerically("<=", fleet.listed))
	}
	atOnce, _ := startOfFleet(313, func(failures int, u float64) time.Duration {
		return time.Duration(min(failures, 1)) * time.Duration((0.5+u)*float64(minRetryPause))
	})
	t.Logf("313 hosts that don't wait: %.2f calls a host", float64(atOnce)/313)
}

// Guards against a host that can't announce itself at the first start of a
// deployment and, as it knows no other host, reads the store like a reader.
func TestHostThatIsNotAnnouncedLeavesTheStoreAlone(t *testing.T) {
	g := NewWithT(t)
	node, err := hostmsg.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = node.Close() })
	source, clock := &failingSource{}, clockwork.NewFakeClock()
	f, err := New(Options{
		Source: source, Node: node, Roster: roster.New(roster.Host{Name: "h", Addr: node.Addr(), Strength: 1}),
		OnChange: func(map[string][]registry.Target, ...*table.Tables) {}, FirstStart: true, Clock: clock, Logger: zap.NewNop(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Run(ctx)
	advance := func(to time.Duration) {
		for f.started.Add(to).After(clock.Now()) {
			clock.Advance(50 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
	}
	advance(maxFirstStartWait - time.Second)
	g.Expect(source.announcements.Load()).To(BeNumerically(">=", 1))
	g.Expect(source.calls.Load()).To(Equal(source.announcements.Load()), "all calls are announcements")
	g.Eventually(func() int64 {
		advance(clock.Now().Sub(f.started) + 100*time.Millisecond)
		return source.calls.Load() - source.announcements.Load()
	}).WithTimeout(20*time.Second).Should(BeNumerically(">", 0), "a host that waited long enough reads the store")
}
