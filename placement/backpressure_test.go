package placement_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/table"
)

// newPool returns a balancer of one pool p with idle targets t0, t1, …
func newPool(g *WithT, targets int) (*placement.Balancer, *fleet, []registry.Target) {
	f := &fleet{servers: map[netip.AddrPort]*server{}}
	all := lo.Times(targets, func(i int) registry.Target {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		f.servers[addr] = &server{slots: 2, queue: 4, slowdown: 1}
		return registered(fmt.Sprint("t", i), addr)
	})
	b, err := placement.New(placement.Options{LoadQuerier: f, FailureDomain: "a", MaxQueriesPerSecond: 60})
	g.Expect(err).NotTo(HaveOccurred())
	b.Update(map[string]placement.PoolSpec{"p": {HealthPath: "/h", Targets: all}})
	return b, f, all
}

func lookup(timeout time.Duration) lb.PlaceQuery {
	now := time.Now()
	return lb.PlaceQuery{Pool: "p", Route: &table.Route{Objective: timeout / 6}, Received: now, Deadline: now.Add(timeout)}
}

// Guards against callers that wait for what the targets don't take: all targets name
// a rate limit, and twice as many requests arrive. What the limits allow is served,
// and the rest is refused soon with the time until a target takes it.
func TestRequestsBeyondAllRateLimitsAreRefusedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const perSecond, timeout, length = 5.0, 1200 * time.Millisecond, 20 * time.Second
		b, f, targets := newPool(g, 4)
		for _, target := range targets {
			b.RecordObservation(target.Instance, backpressure.Observation{Limited: true, PerSecond: perSecond, SentAt: time.Now(), HeardAt: time.Now()}, "")
		}
		var mu sync.Mutex
		var requests sync.WaitGroup
		var served, sent int
		var refusedAfter []time.Duration
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Duration(rand.ExpFloat64() * float64(25*time.Millisecond))) {
			sent++
			requests.Go(func() {
				q := lookup(timeout)
				a, refusal := b.Place(t.Context(), q)
				if refusal == nil {
					f.servers[a.Target()].run(t.Context(), usualServiceTime)
					a.Done(time.Now(), lb.Feedback{Result: lb.Result{Verdict: lb.Succeeded, Latency: usualServiceTime}})
				}
				mu.Lock()
				defer mu.Unlock()
				if refusal == nil {
					served++
					return
				}
				g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
				refusedAfter = append(refusedAfter, time.Since(q.Received))
			})
		}
		requests.Wait()
		g.Expect(served).To(BeNumerically("<=", len(targets)*int(perSecond*length.Seconds())+len(targets)))
		g.Expect(float64(served)).To(BeNumerically(">=", 0.8*float64(len(targets))*perSecond*length.Seconds()))
		slices.Sort(refusedAfter)
		t.Log(sent, served, len(refusedAfter), refusedAfter[len(refusedAfter)/2], refusedAfter[len(refusedAfter)*9/10], refusedAfter[len(refusedAfter)-1])
		g.Expect(lo.CountBy(refusedAfter, func(d time.Duration) bool { return d <= timeout/3 })).To(BeNumerically(">=", len(refusedAfter)*9/10))
		g.Expect(f.queries).To(BeZero(), "a load query is a request too")
	})
}

// Guards against a rate limit, a departure or a Retry-After that is forgotten while
// the target is missing from the registry for a moment.
func TestWhatATargetAskedForOutlastsItsAbsence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b, _, targets := newPool(g, 3)
		now := time.Now()
		b.RecordObservation(targets[0].Instance, backpressure.Observation{Leaving: true, HeardAt: now}, "")
		b.RecordSignal(targets[1].Instance, backpressure.Signal{RetryAfter: 5 * time.Second, Observation: backpressure.Observation{HeardAt: now}})
		b.Update(map[string]placement.PoolSpec{"p": {HealthPath: "/h", Targets: targets[2:]}})
		b.Update(map[string]placement.PoolSpec{"p": {HealthPath: "/h", Targets: targets[:2]}})
		_, refusal := b.Place(t.Context(), lookup(time.Second))
		g.Expect(refusal.Reason).To(Equal(outcome.RateLimited))
		g.Expect(refusal.RetryAfter).To(BeNumerically(">=", 5*time.Second))
		began := time.Now()
		a, refusal := b.Place(t.Context(), lookup(time.Minute))
		g.Expect(refusal).To(BeNil(), "it waits for the end of the time")
		g.Expect(a.Target()).To(Equal(targets[1].Addr))
		g.Expect(time.Since(began)).To(BeNumerically(">=", 5*time.Second-time.Millisecond))
		restarted := targets[0]
		restarted.StartedMillis = 2
		b.Update(map[string]placement.PoolSpec{"p": {HealthPath: "/h", Targets: []registry.Target{restarted}}})
		a, refusal = b.Place(t.Context(), lookup(time.Second))
		g.Expect(refusal).To(BeNil(), "another process of the target that left")
		g.Expect(a.Target()).To(Equal(restarted.Addr))
		// The running load queries end within this time.
		time.Sleep(time.Second)
	})
}
