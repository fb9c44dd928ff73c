package placement_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/table"
)

// The classes of requests of the fuel cards, with their shares of the load.
var cardClasses = []struct {
	share       float64
	serviceTime time.Duration
	route       table.Route
}{
	{581, 350 * time.Millisecond, table.Route{Idempotent: true, Objective: 800 * time.Millisecond, Timeout: 4 * time.Second}},
	{191, 460 * time.Millisecond, table.Route{Rank: 1, Objective: 1200 * time.Millisecond, Timeout: 5 * time.Second}},
	{152, 880 * time.Millisecond, table.Route{Rank: 2, Idempotent: true, Objective: 4 * time.Second, Timeout: 10 * time.Second}},
}

// contention describes one partition of the fuel cards: a usual load, and a window
// in which it is a multiple of that.
type contention struct {
	// perSecond is the usual load; it is divided equally between the workspaces.
	perSecond          float64
	workspaces         int
	factor             float64
	from, to, length   time.Duration
	hotFactor          float64
	spells             bool
	withoutWorkspaces  bool
	callersComeBackOne bool
}

// contentionResults is what callers of the window got, by workspace.
type contentionResults struct {
	all, hot, others results
	// waits are the times until the lookups of other workspaces were placed or
	// refused.
	waits []time.Duration
	// rank holds the results by rank.
	rank [3]results
}

func (c *results) add(o results) {
	c.sent, c.inTime, c.late = c.sent+o.sent, c.inTime+o.inTime, c.late+o.late
	c.refused, c.failed = c.refused+o.refused, c.failed+o.failed
}

// newCardTargets returns 24 targets of 6 slots.
func newCardTargets(ctx context.Context, c contention) (*fleet, []registry.Target) {
	f := &fleet{servers: map[netip.AddrPort]*server{}}
	var targets []registry.Target
	for i := range 24 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		s := &server{slots: 6, queue: 4, slowdown: 1}
		f.servers[addr] = s
		t := registered(fmt.Sprint("t", i), addr)
		t.Slots = 6
		targets = append(targets, t)
		if c.spells {
			go s.runSlowSpells(ctx, rand.New(rand.NewPCG(uint64(i), 3)))
		}
	}
	return f, targets
}

// runContention returns what callers got whose requests arrived in the window.
func runContention(t *testing.T, c contention) (got contentionResults) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		time.Sleep(time.Minute)
	}()
	f, targets := newCardTargets(ctx, c)
	b, err := placement.New(placement.Options{LoadQuerier: f, FailureDomain: "a", MaxQueriesPerSecond: 20, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	b.Update(map[string]placement.PoolSpec{"cards": {HealthPath: "/health", Targets: targets}})
	rng := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	var requests sync.WaitGroup
	began := time.Now()
	for at := time.Duration(0); at < c.length; at = time.Since(began) {
		inWindow := at >= c.from && at < c.to
		hotShare, rate := 1/float64(c.workspaces), c.perSecond
		if inWindow {
			rate *= c.factor
			if c.hotFactor > 0 {
				extra := c.hotFactor - 1
				rate *= 1 + extra*hotShare
				hotShare = c.hotFactor * hotShare / (1 + extra*hotShare)
			}
		}
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		class, draw := 0, rng.Float64()*(581+191+152)
		for draw >= cardClasses[class].share {
			draw -= cardClasses[class].share
			class++
		}
		workspace := 0
		if rng.Float64() >= hotShare {
			workspace = 1 + rng.IntN(c.workspaces-1)
		}
		work := time.Duration((0.5 + rng.Float64()) * float64(cardClasses[class].serviceTime))
		requests.Go(func() {
			end, waited := callCard(ctx, b, f, c, class, workspace, work)
			if !inWindow {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			got.all.add(end)
			got.rank[class].add(end)
			lo.Ternary(workspace == 0, &got.hot, &got.others).add(end)
			if workspace > 0 && class == 0 {
				got.waits = append(got.waits, waited)
			}
		})
	}
	requests.Wait()
	slices.Sort(got.waits)
	return got
}

// wait returns a quantile of the waits.
func (r contentionResults) wait(quantile float64) time.Duration {
	return r.waits[int(quantile*float64(len(r.waits)-1))]
}

// callCard sends one request and returns what its caller got, and the time until it
// was placed or refused.
func callCard(ctx context.Context, b *placement.Balancer, f *fleet, c contention, class, workspace int, work time.Duration) (results, time.Duration) {
	route, start := &cardClasses[class].route, time.Now()
	callCtx, done := context.WithTimeout(ctx, route.Timeout)
	defer done()
	q := lb.PlaceQuery{Pool: "cards", Route: route, Received: start, Deadline: start.Add(route.Timeout)}
	if !c.withoutWorkspaces {
		q.Workspace, q.Weight = fmt.Sprint("w", workspace), 1.6*c.perSecond/float64(c.workspaces)
	}
	a, refusal := b.Place(callCtx, q)
	if refusal != nil && c.callersComeBackOne {
		time.Sleep(min(refusal.RetryAfter, time.Until(q.Deadline)/3))
		q.Received = time.Now()
		a, refusal = b.Place(callCtx, q)
	}
	waited := time.Since(start)
	if refusal != nil {
		return results{sent: 1, refused: 1}, waited
	}
	sent := time.Now()
	ok := f.servers[a.Target()].run(callCtx, work)
	inTime := time.Since(start) <= route.Objective
	ok = ok && time.Since(start) <= route.Timeout
	a.Done(time.Now(), lb.Feedback{Result: lb.Result{Verdict: lo.Ternary(ok, lb.Succeeded, lb.TimedOut), Latency: time.Since(sent)}})
	switch {
	case !ok:
		return results{sent: 1, failed: 1}, waited
	case inTime:
		return results{sent: 1, inTime: 1}, waited
	default:
		return results{sent: 1, late: 1}, waited
	}
}
