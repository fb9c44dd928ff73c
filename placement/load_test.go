package placement_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/table"
)

// server simulates a target in virtual time: two slots, requests that take
// longer near full load and in slow spells, a short queue, and no response
// beyond it.
type server struct {
	slots, queue int
	mu           sync.Mutex
	running      int
	waiting      []chan struct{}
	slowdown     float64
	dropped      int
}

const (
	usualServiceTime = 60 * time.Millisecond
	fullLoadFactor   = 1.7
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
	for left := float64(serviceTime); left > 0; {
		time.Sleep(workStep)
		s.mu.Lock()
		speed := 1 / s.slowdown
		if s.running >= s.slots {
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
		s := &server{slots: 2, queue: 4, slowdown: 1}
		f.servers[addr] = s
		targets = append(targets, registered(fmt.Sprint("t", i), addr))
		if i < sc.slow {
			s.slowdown = 5
			continue
		}
		go s.runSlowSpells(ctx, rand.New(rand.NewPCG(uint64(i), 3)))
	}
	b, err := placement.New(placement.Options{LoadQuerier: f, FailureDomain: "a", MaxQueriesPerSecond: 60, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	b.Update(map[string]placement.PoolSpec{"catalogue": {HealthPath: "/health", Targets: targets}})
	high := &table.Route{Objective: objective, Timeout: timeout, Idempotent: true}
	low := &table.Route{Objective: objective, Timeout: timeout, Idempotent: true, Rank: 2}
	got.low = &results{}
	var mu sync.Mutex
	var requests sync.WaitGroup
	began := time.Now()
	for end := began.Add(sc.length); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / sc.rate(time.Since(began)) * float64(time.Second)))
		serviceTime := time.Duration((0.5 + rng.Float64()) * float64(usualServiceTime))
		route, got := high, &got
		if sc.lowShare > 0 && rng.Float64() < sc.lowShare {
			route, got = low, got.low
		}
		got.sent++
		requests.Go(func() {
			start := time.Now()
			callCtx, done := context.WithTimeout(ctx, timeout)
			defer done()
			a, refusal := b.Place(callCtx, lb.PlaceQuery{Pool: "catalogue", Route: route, Received: start, Deadline: start.Add(timeout)})
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
				a, refusal = b.Place(callCtx, lb.PlaceQuery{Pool: "catalogue", Route: route, Received: time.Now(), Deadline: start.Add(timeout)})
			}
			sent := time.Now()
			ok := f.servers[a.Target()].run(callCtx, serviceTime)
			v := lo.Ternary(ok, lb.Succeeded, lb.TimedOut)
			a.Done(time.Now(), lb.Feedback{Result: lb.Result{Verdict: v, Latency: time.Since(sent)}})
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

// Guards against missed objectives at a usual load: targets are busy for half
// of the time and slow for a quarter of it.
func TestUsualLoadIsServedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		got, f := runScenario(t, scenario{targets: 13, perSecond: 90, length: 30 * time.Second})
		t.Log(got.summary())
		g.Expect(got.share(got.inTime)).To(BeNumerically(">=", 0.9))
		g.Expect(got.refused + got.failed).To(BeZero())
		g.Expect(float64(f.queries) / 30 / 13).To(BeNumerically("<=", 60*1.1))
	})
}

// Guards against slow targets that go unnoticed because they report no load.
// Four of them are slow all the time: more callers must be in time than there
// are usual targets. 0.842 are in time, and 0.810 when only exact request
// counts are used.
func TestUsualLoadWithoutReportsIsServedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		got, f := runScenario(t, scenario{targets: 13, perSecond: 90, length: 30 * time.Second, silent: true, slow: 4})
		t.Log(got.summary())
		g.Expect(got.share(got.inTime)).To(BeNumerically(">=", 0.75))
		g.Expect(got.share(got.refused + got.failed)).To(BeNumerically("<=", 0.01))
		g.Expect(f.queries).To(BeNumerically("<=", 20), "targets that report no load are not queried again")
	})
}

// Guards against late responses and long-held refusals while the load is a third
// above the capacity for half a minute. Sorted oldest first and without a bound
// on late requests, 0.064 were in time; newest first, with a bound by the
// placement rate of the whole pool, 0.595, but half of the refused requests
// were held for 0.84 s of 1.2 s. A refusal must leave a caller two thirds of
// its time to retry.
func TestOverloadServesInTimeOrRefusesSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		got, f := runScenario(t, scenario{targets: 13, perSecond: 200, length: 30 * time.Second})
		t.Log(got.summary())
		g.Expect(got.share(got.inTime)).To(BeNumerically(">=", 0.5))
		g.Expect(got.share(got.failed)).To(BeNumerically("<=", 0.01), "requests that a target dropped")
		slices.Sort(got.refusedAfter)
		t.Log("refused after", got.refusedAfter[len(got.refusedAfter)/2], got.refusedAfter[len(got.refusedAfter)*9/10], got.refusedAfter[len(got.refusedAfter)-1])
		g.Expect(got.refusedAfter[len(got.refusedAfter)*9/10]).To(BeNumerically("<=", 400*time.Millisecond), "a refused request's wait")
		g.Expect(float64(f.queries) / 30 / 13).To(BeNumerically("<=", 60*1.1))
	})
}

// Guards against a Retry-After that is too short for a burst: refused callers come
// back while it lasts, are refused again until they give up, and take the slots of
// those who ask for the first time. The load is 3 times the usual one for 4 s;
// nine in ten of all callers must be served. With a third of a second for all,
// 0.12 were refused and 0.59 in time.
func TestBurstServesCallersThatComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		got, _ := runScenario(t, scenario{
			targets: 26, perSecond: 200, length: 12 * time.Second, objective: time.Second,
			burst: 3, burstFrom: 3 * time.Second, burstTo: 7 * time.Second, comeBack: true,
		})
		t.Log(got.summary())
		g.Expect(got.share(got.refused + got.failed)).To(BeNumerically("<=", 0.1))
		g.Expect(got.share(got.inTime)).To(BeNumerically(">=", 0.6))
	})
}

// Guards against starvation of a lower rank while the load is twice the
// capacity and a quarter of it is of the lower rank: the higher rank goes
// first, and the lower one must still be served a quarter as often as all.
// Without the detection of starved ranks 0.037 of the lower rank were served
// and 0.55 of all; with it 0.23 and 0.56.
func TestOverloadStarvesNoRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		got, _ := runScenario(t, scenario{targets: 13, perSecond: 320, length: 30 * time.Second, lowShare: 0.25})
		t.Log(got.summary(), "lower rank:", got.low.summary())
		served := func(c results) float64 { return c.share(c.inTime + c.late) }
		all := float64(got.inTime+got.late+got.low.inTime+got.low.late) / float64(got.sent+got.low.sent)
		g.Expect(served(*got.low)).To(BeNumerically(">=", all/4))
		g.Expect(served(got)).To(BeNumerically(">=", served(*got.low)))
	})
}

// Guards against sending a waiting request to a target of a pool that has been
// removed from the tables: the target may have left since.
func TestRemovedPoolRefusesWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		addr := netip.MustParseAddrPort("10.0.0.1:80")
		full := &server{slots: 2, queue: 4, slowdown: 1, running: 2, waiting: make([]chan struct{}, 4)}
		f := &fleet{servers: map[netip.AddrPort]*server{addr: full}}
		b, err := placement.New(placement.Options{LoadQuerier: f, FailureDomain: "a", MaxQueriesPerSecond: 60})
		g.Expect(err).NotTo(HaveOccurred())
		b.Update(map[string]placement.PoolSpec{"p": {HealthPath: "/h", Targets: []registry.Target{registered("t", addr)}}})
		go func() {
			time.Sleep(100 * time.Millisecond)
			b.Update(map[string]placement.PoolSpec{})
		}()
		began := time.Now()
		_, refusal := b.Place(t.Context(), lb.PlaceQuery{
			Pool: "p", Route: &table.Route{}, Received: began, Deadline: began.Add(10 * time.Second)})
		g.Expect(refusal.Reason).To(Equal(outcome.NoTarget))
		g.Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
		// The running load queries end within this time.
		time.Sleep(time.Second)
	})
}

// Guards against missed objectives in a pool of several partitions at a usual
// load: a partition doesn't know the load of the others, which may cost only
// few callers their objective.
func TestUsualLoadOfALargePoolIsServedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		got, f := runScenario(t, scenario{targets: 104, perSecond: 8 * 90, length: 10 * time.Second})
		t.Log(got.summary())
		g.Expect(got.share(got.inTime)).To(BeNumerically(">=", 0.9))
		g.Expect(got.refused + got.failed).To(BeZero())
		g.Expect(float64(f.queries) / 10 / 104).To(BeNumerically("<=", 60*1.2))
	})
}

// Guards against losing requests that wait in a partition when it is removed:
// they are placed in one that remains.
func TestWaitingRequestsMoveFromRemovedPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fleet{servers: map[netip.AddrPort]*server{}}
		var targets []registry.Target
		for i := range 30 {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
			f.servers[addr] = &server{slots: 2, queue: 4, slowdown: 1, running: 2, waiting: make([]chan struct{}, 4)}
			targets = append(targets, registered(fmt.Sprint("t", i), addr))
		}
		b, err := placement.New(placement.Options{LoadQuerier: f, FailureDomain: "a", MaxQueriesPerSecond: 60})
		g.Expect(err).NotTo(HaveOccurred())
		b.Update(map[string]placement.PoolSpec{"p": {HealthPath: "/h", Targets: targets}})
		idle := netip.MustParseAddrPort("10.0.1.1:80")
		go func() {
			time.Sleep(100 * time.Millisecond)
			f.mu.Lock()
			f.servers[idle] = &server{slots: 2, queue: 4, slowdown: 1}
			f.mu.Unlock()
			b.Update(map[string]placement.PoolSpec{"p": {HealthPath: "/h", Targets: []registry.Target{registered("idle", idle)}}})
		}()
		began := time.Now()
		for number := 1; number <= 2; number++ {
			a, refusal := b.Place(t.Context(), lb.PlaceQuery{
				Pool: "p", Partition: number, Route: &table.Route{Objective: time.Second}, Received: began, Deadline: began.Add(10 * time.Second)})
			g.Expect(refusal).To(BeNil())
			g.Expect(a.Target()).To(Equal(idle))
		}
		g.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
		// The running load queries end within this time.
		time.Sleep(time.Second)
	})
}

func (c results) summary() string {
	return fmt.Sprintf("asked %d in time %.3f late %.3f refused %.3f failed %.3f",
		c.sent, c.share(c.inTime), c.share(c.late), c.share(c.refused), c.share(c.failed))
}
