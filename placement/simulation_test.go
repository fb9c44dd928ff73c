package placement_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/table"
)

// server simulates a target in virtual time: slots, requests that take longer
// while more than fullLoadShare of these are busy and in slow spells, a short
// queue, and no response beyond it.
type server struct {
	slots, queue int
	mu           sync.Mutex
	running      int
	waiting      []chan struct{}
	slowdown     float64
	dropped      int
	// cancels makes the target stop work on a request that was cancelled.
	cancels bool
}

const (
	usualServiceTime = 60 * time.Millisecond
	fullLoadFactor   = 1.7
	fullLoadShare    = 0.8
	networkDelay     = time.Millisecond
	workStep         = 5 * time.Millisecond
)

// run serves one request; false when it was dropped.
func (s *server) run(ctx context.Context, serviceTime time.Duration) bool {
	time.Sleep(networkDelay)
	s.mu.Lock()
	switch {
	case s.running < s.slots:
		s.running++
		s.mu.Unlock()
	case len(s.waiting) < s.queue:
		turn := make(chan struct{})
		s.waiting = append(s.waiting, turn)
		s.mu.Unlock()
		<-turn
	default:
		s.dropped++
		s.mu.Unlock()
		<-ctx.Done()
		return false
	}
	for left := float64(serviceTime); left > 0 && (!s.cancels || ctx.Err() == nil); {
		time.Sleep(workStep)
		s.mu.Lock()
		speed := 1 / s.slowdown
		if float64(s.running) > fullLoadShare*float64(s.slots) {
			speed /= fullLoadFactor
		}
		s.mu.Unlock()
		left -= float64(workStep) * speed
	}
	s.mu.Lock()
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	} else {
		s.running--
	}
	s.mu.Unlock()
	time.Sleep(networkDelay)
	return true
}

func (s *server) report() load.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return load.Report{InFlight: s.running, Queued: len(s.waiting), Utilization: load.Absent, Slots: s.slots, Slowdown: s.slowdown}
}

// formatReport returns a report as a response carries it.
func formatReport(r load.Report) string {
	return fmt.Sprintln(r.InFlight, r.Queued, r.Slots, r.Slowdown)
}

// parseReport is the inverse of formatReport.
func parseReport(text string) (load.Report, error) {
	r := load.Report{Utilization: load.Absent}
	_, err := fmt.Sscanln(text, &r.InFlight, &r.Queued, &r.Slots, &r.Slowdown)
	return r, errors.WithStack(err)
}

// runSlowSpells makes the target five times as slow for a quarter of the time.
func (s *server) runSlowSpells(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		slow := rng.Float64() < 0.25
		s.mu.Lock()
		s.slowdown = lo.Ternary(slow, 5.0, 1.0)
		s.mu.Unlock()
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(150*time.Millisecond)))
	}
}

// registered returns a target as the registry lists it.
func registered(id string, addr netip.AddrPort) registry.Target {
	return registry.Target{Entry: registry.Entry{
		Instance: registry.Instance{ID: id, StartedMillis: 1}, Addr: addr, FailureDomain: "a", Slots: 2,
	}}
}

// fleet is the simulated targets of one pool.
type fleet struct {
	servers map[netip.AddrPort]*server
	queries int
	mu      sync.Mutex
	// silent targets report no load.
	silent bool
}

func (f *fleet) QueryLoad(_ context.Context, t registry.Target, _ string) (load.Report, error) {
	f.mu.Lock()
	f.queries++
	s, silent := f.servers[t.Addr], f.silent
	f.mu.Unlock()
	if silent {
		return load.Report{}, placement.ErrNoLoadReport
	}
	if s == nil {
		return load.Report{}, errors.New("no such target")
	}
	time.Sleep(networkDelay)
	r := s.report()
	time.Sleep(networkDelay)
	return r, nil
}

// results counts what callers got.
type results struct {
	sent, inTime, late, refused, failed int
	refusedAfter                        []time.Duration
	// low is what callers of the lower-ranked route got.
	low *results
}

// scenario describes a load.
type scenario struct {
	targets   int
	perSecond float64
	length    time.Duration
	// silent targets report no load; slow is the number of targets that are
	// slow all the time.
	silent bool
	slow   int
	// lowShare is the fraction of requests to a route of lower rank.
	lowShare float64
	// objective is the latency objective of the routes, 0 for 200 ms; callers wait
	// six times as long.
	objective time.Duration
	// burst is the factor by which the load grows from burstFrom to burstTo.
	burst              float64
	burstFrom, burstTo time.Duration
	// comeBack makes refused callers ask again, twice at most, after the time
	// that they were told. Objective and deadline count from the first time.
	comeBack bool
	// waitsUnknown is true when a host does not know how long a caller that comes back
	// has waited before.
	waitsUnknown bool
	// allKnowing places the requests by an allKnowingQueue.
	allKnowing bool
	// slots is the number of requests that a target serves at once, 0 for 2.
	slots int
	// extended is that of the pool: requests don't join the targets' own queues.
	extended bool
	// longShare is the fraction of requests that take seven times as long as usual.
	longShare float64
	// allowance is that of a host for load queries; nil stands for all of them.
	allowance func(pool string, partition int) placement.QueryAllowance
}

// rate returns the requests a second at a time since the start.
func (sc scenario) rate(at time.Duration) float64 {
	if at >= sc.burstFrom && at < sc.burstTo {
		return sc.perSecond * sc.burst
	}
	return sc.perSecond
}

// runScenario sends the requests of a scenario and returns what callers got.
func runScenario(t *testing.T, sc scenario) (got results, f *fleet) {
	t.Helper()
	objective := cmp.Or(sc.objective, 200*time.Millisecond)
	timeout := 6 * objective
	f = &fleet{servers: map[netip.AddrPort]*server{}, silent: sc.silent}
	rng := rand.New(rand.NewPCG(7, 7))
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		// Running slow spells end within this time.
		time.Sleep(time.Minute)
	}()
	var targets []registry.Target
	for i := range sc.targets {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		s := &server{slots: cmp.Or(sc.slots, 2), queue: 4, slowdown: 1}
		f.servers[addr] = s
		target := registered(fmt.Sprint("t", i), addr)
		target.Slots = s.slots
		targets = append(targets, target)
		if i < sc.slow {
			s.slowdown = 5
			continue
		}
		go s.runSlowSpells(ctx, rand.New(rand.NewPCG(uint64(i), 3)))
	}
	b, err := placement.New(placement.Options{LoadQuerier: f, FailureDomain: "a", MaxQueriesPerSecond: 60, Seed: 1, ParseLoad: parseReport, QueryAllowance: sc.allowance})
	if err != nil {
		t.Fatal(err)
	}
	b.Update(map[string]placement.PoolSpec{"catalogue": {HealthPath: "/health", Targets: targets, Extended: sc.extended}})
	var oracle *allKnowingQueue
	if sc.allKnowing {
		oracle = newAllKnowingQueue(ctx, f)
	}
	high := &table.Route{Objective: objective, Timeout: timeout, Idempotent: true}
	low := &table.Route{Objective: objective, Timeout: timeout, Idempotent: true, Rank: 2}
	got.low = &results{}
	var mu sync.Mutex
	var requests sync.WaitGroup
	began := time.Now()
	for end := began.Add(sc.length); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / sc.rate(time.Since(began)) * float64(time.Second)))
		serviceTime := time.Duration((0.5 + rng.Float64()) * float64(usualServiceTime))
		if sc.longShare > 0 && rng.Float64() < sc.longShare {
			serviceTime = 7 * usualServiceTime
		}
		route, got := high, &got
		if sc.lowShare > 0 && rng.Float64() < sc.lowShare {
			route, got = low, got.low
		}
		got.sent++
		requests.Go(func() {
			start := time.Now()
			callCtx, done := context.WithTimeout(ctx, timeout)
			defer done()
			place := func(q lb.PlaceQuery) (lb.Attempt, *lb.Refusal) {
				if !sc.allKnowing {
					return b.Place(callCtx, q)
				}
				if target, ok := oracle.place(start.Add(objective), serviceTime); ok {
					return allKnowingAttempt{queue: oracle, target: target}, nil
				}
				return nil, &lb.Refusal{Reason: outcome.QueueFull}
			}
			a, refusal := place(lb.PlaceQuery{Pool: "catalogue", Route: route, Received: start, Deadline: start.Add(timeout)})
			for tries := 1; refusal != nil; tries++ {
				// Callers wait for a third of their remaining time at most.
				wait := min(refusal.RetryAfter, (timeout-time.Since(start))/3)
				if !sc.comeBack || tries == 3 || wait <= 0 {
					mu.Lock()
					defer mu.Unlock()
					got.refused++
					got.refusedAfter = append(got.refusedAfter, time.Since(start))
					return
				}
				time.Sleep(wait)
				q := lb.PlaceQuery{Pool: "catalogue", Route: route, Received: time.Now(), Deadline: start.Add(timeout)}
				if !sc.waitsUnknown {
					q.Waited = q.Received.Sub(start)
				}
				a, refusal = place(q)
			}
			sent := time.Now()
			ok := f.servers[a.Target()].run(callCtx, serviceTime)
			v := lo.Ternary(ok, lb.Succeeded, lb.TimedOut)
			feedback := lb.Feedback{Result: lb.Result{Verdict: v, Latency: time.Since(sent)}}
			if ok && !sc.silent {
				feedback.LoadReport = formatReport(f.servers[a.Target()].report())
			}
			a.Done(time.Now(), feedback)
			mu.Lock()
			defer mu.Unlock()
			switch took := time.Since(start); {
			case !ok:
				got.failed++
			case took <= objective:
				got.inTime++
			default:
				got.late++
			}
		})
	}
	requests.Wait()
	return got, f
}

func (c results) share(n int) float64 { return float64(n) / float64(c.sent) }

func (c results) summary() string {
	return fmt.Sprintf("asked %d in time %.3f late %.3f refused %.3f failed %.3f",
		c.sent, c.share(c.inTime), c.share(c.late), c.share(c.refused), c.share(c.failed))
}
