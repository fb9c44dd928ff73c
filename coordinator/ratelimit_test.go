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
		o.Observe(backpressure.Observation{Limited: limited, PerSecond: lo.Ternary(limited, l.perSecond, 0), SentAt: sent, HeardAt: time.Now()})
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

// TestTargetGetsNoMoreThanItsRateLimitFromAllHosts guards against hosts that each
// obey a target's rate limit, or none, but not together.
func TestTargetGetsNoMoreThanItsRateLimitFromAllHosts(t *testing.T) {
	g := NewWithT(t)
	hosts := make([]*host, 6)
	for i := range hosts {
		h, err := startHost(fmt.Sprint("host-", i))
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = h.node.Close() })
		hosts[i] = h
	}
	all := lo.Map(hosts, func(h *host, _ int) roster.Host { return h.roster.Self() })
	for _, h := range hosts {
		h.roster.SetHosts(all)
	}
	target := &limitedTarget{id: "t1", perSecond: 2.5}
	var requests sync.WaitGroup
	for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(rand.ExpFloat64() * float64(25*time.Millisecond))) {
		requests.Go(func() {
			if a, refusal := hosts[rand.N(len(hosts))].client.Place(t.Context(), query(2*time.Second)); refusal == nil {
				target.serve(a)
			}
		})
	}
	requests.Wait()
	g.Expect(target.worstWindow()).To(BeNumerically("<=", limitFactor*target.perSecond*limitWindow.Seconds()+limitSlack))
}
