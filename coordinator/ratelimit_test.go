package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/coordinator"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/roster"
)

// limitedTarget is a target that names a rate limit in its responses and records
// when requests reach it.
type limitedTarget struct {
	id        string
	perSecond float64
	mu        sync.Mutex
	arrivals  []time.Time
}

// serve runs one request at whatever target it was placed.
func (l *limitedTarget) serve(a lb.Attempt) {
	sent := time.Now()
	limited := a.(lb.IdentifiedAttempt).Identity() == l.id
	if limited {
		l.mu.Lock()
		l.arrivals = append(l.arrivals, sent)
		l.mu.Unlock()
	}
	time.Sleep(20 * time.Millisecond)
	if o, ok := a.(lb.ObservedAttempt); ok {
		o.Observe(backpressure.Signal{Observation: backpressure.Observation{
			Limited: limited, PerSecond: lo.Ternary(limited, l.perSecond, 0), SentAt: sent, HeardAt: time.Now(),
		}})
	}
	a.Done(time.Now(), lb.Feedback{Result: lb.Result{Verdict: lb.Succeeded, Latency: time.Since(sent)}})
}

const (
	// limitWindow is the span over which a limit is judged, limitFactor and
	// limitSlack how far a target may get beyond it in that span.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is the time from the first response with a limit to its effect.
	limitGrace = time.Second
)

// worstWindow returns the most requests in a limitWindow that begins limitGrace
// after the first one or later.
func (l *limitedTarget) worstWindow() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	judged := lo.Filter(l.arrivals, func(at time.Time, _ int) bool { return at.Sub(l.arrivals[0]) >= limitGrace })
	worst := 0
	for i, from := range judged {
		worst = max(worst, lo.CountBy(judged[i:], func(at time.Time) bool { return at.Sub(from) < limitWindow }))
	}
	return worst
}

// testFleet is a few hosts that know each other; the first is the coordinator.
type testFleet []*host

func startFleet(t *testing.T, g *WithT, n int) testFleet {
	f := make(testFleet, n)
	for i := range f {
		h, err := startHost(fmt.Sprint("host-", i))
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(h.stop)
		f[i] = h
	}
	all := lo.Map(f, func(h *host, _ int) roster.Host { return h.roster.Self() })
	for _, h := range f {
		h.roster.SetHosts(all)
	}
	first := f[0].roster.Rank(time.Now(), coordinator.Task("p", 1))[0].Name
	_, i, _ := lo.FindIndexOf(f, func(h *host) bool { return h.name == first })
	f[0], f[i] = f[i], f[0]
	return f
}

// load sends some 40 requests a second to the target's pool through the given
// hosts.
func (f testFleet) load(t *testing.T, target *limitedTarget, through testFleet, length time.Duration) {
	var requests sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Duration(rand.ExpFloat64() * float64(25*time.Millisecond))) {
		requests.Go(func() {
			if a, refusal := through[rand.N(len(through))].client.Place(t.Context(), query(2*time.Second)); refusal == nil {
				target.serve(a)
			}
		})
	}
	requests.Wait()
}

// TestTargetGetsNoMoreThanItsRateLimitFromAllHosts guards against hosts that each
// obey a target's rate limit, or none, but not together.
func TestTargetGetsNoMoreThanItsRateLimitFromAllHosts(t *testing.T) {
	g := NewWithT(t)
	fleet := startFleet(t, g, 6)
	target := &limitedTarget{id: "t1", perSecond: 2.5}
	fleet.load(t, target, fleet, 7*time.Second)
	g.Expect(target.worstWindow()).To(BeNumerically("<=", limitFactor*target.perSecond*limitWindow.Seconds()+limitSlack))
}

// TestRateLimitHoldsWhileTheCoordinatorIsLost guards against a coordinator that
// takes over without knowing the limit, or beside the one before it, and against
// hosts that send on their own meanwhile. Afterwards the target must still be
// used.
func TestRateLimitHoldsWhileTheCoordinatorIsLost(t *testing.T) {
	g := NewWithT(t)
	fleet := startFleet(t, g, 6)
	target := &limitedTarget{id: "t1", perSecond: 4}
	time.AfterFunc(2500*time.Millisecond, fleet[0].stop)
	fleet.load(t, target, fleet[1:], 9*time.Second)
	g.Expect(target.worstWindow()).To(BeNumerically("<=", limitFactor*target.perSecond*limitWindow.Seconds()+limitSlack))
	late := lo.CountBy(target.arrivals, func(at time.Time) bool { return at.Sub(target.arrivals[0]) > 5*time.Second })
	g.Expect(late).To(BeNumerically(">=", 7), "half of the limit in the last seconds")
}
