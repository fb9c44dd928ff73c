package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// storeDelay is the latency of the fake table service.
const storeDelay = 5 * time.Millisecond

// offeredLoad is a load of orders on a number of hosts, in the fake time of a
// synctest bubble.
type offeredLoad struct {
	hosts       int
	ratePerHost float64
	seconds     float64
}

// measurement holds the claim latencies and refusals of a load.
type measurement struct {
	mu        sync.Mutex
	latencies []time.Duration
	refused   int
}

func (m *measurement) add(took time.Duration, granted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !granted {
		m.refused++
		return
	}
	m.latencies = append(m.latencies, took)
}

func (m *measurement) quantile(q float64) time.Duration {
	slices.Sort(m.latencies)
	if len(m.latencies) == 0 {
		return 0
	}
	return m.latencies[min(int(q*float64(len(m.latencies))), len(m.latencies)-1)]
}

// drive calls order with Poisson arrivals on every host and waits for all calls.
func (o offeredLoad) drive(order func(host, n int)) {
	var wg sync.WaitGroup
	for host := range o.hosts {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(host), 1))
			end := time.Now().Add(time.Duration(o.seconds * float64(time.Second)))
			for n := 0; ; n++ {
				time.Sleep(time.Duration(rng.ExpFloat64() / o.ratePerHost * float64(time.Second)))
				if time.Now().After(end) {
					return
				}
				wg.Go(func() { order(host, n) })
			}
		})
	}
	wg.Wait()
}

func hostsOver(table cloud.Table, n int, change func(*Options)) (hosts []*Ledger, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var runs sync.WaitGroup
	for i := range n {
		opt := Options{Table: table, Host: fmt.Sprintf("entry-%d", i)}
		if change != nil {
			change(&opt)
		}
		l, err := New(opt)
		if err != nil {
			panic(err)
		}
		hosts = append(hosts, l)
		runs.Go(func() { _ = l.Run(ctx) })
	}
	return hosts, func() { cancel(); runs.Wait() }
}

// rowPerKey measures this package, which writes one row per key.
func rowPerKey(o offeredLoad, change func(*Options)) (m *measurement, calls int) {
	table := fake.NewTable()
	table.SetDelay(storeDelay)
	hosts, stop := hostsOver(table, o.hosts, change)
	defer stop()
	m = &measurement{}
	o.drive(func(host, n int) {
		k := lb.OrderKey{Caller: fmt.Sprint(host), Key: fmt.Sprint(n)}
		start := time.Now()
		c := hosts[host].Claim(context.Background(), k)
		m.add(time.Since(start), c.State == lb.ClaimGranted)
		time.Sleep(20 * time.Millisecond)
		hosts[host].RecordOutcome(context.Background(), k, c.Token, outcome.Ran, nil)
	})
	for _, l := range hosts {
		_ = l.Flush(context.Background())
	}
	return m, table.Counts().Writes
}

// packedShard is the alternative design that rowPerKey is compared with: one
// host's view of a row that holds the claims of a whole shard and is replaced on
// the condition that its revision is unchanged.
type packedShard struct {
	mu       sync.Mutex
	waiting  []chan bool
	busy     bool
	revision uint64
}

func (s *packedShard) claim(table cloud.Table, shard int) bool {
	done := make(chan bool, 1)
	s.mu.Lock()
	s.waiting = append(s.waiting, done)
	idle := !s.busy
	s.busy = true
	s.mu.Unlock()
	if idle {
		s.commit(table, shard)
	}
	return <-done
}

func (s *packedShard) commit(table cloud.Table, shard int) {
	for {
		s.mu.Lock()
		batch := s.waiting
		s.waiting = nil
		if len(batch) == 0 {
			s.busy = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		ok := s.replace(table, shard)
		for _, done := range batch {
			done <- ok
		}
	}
}

func (s *packedShard) replace(table cloud.Table, shard int) bool {
	deadline := time.Now().Add(800 * time.Millisecond)
	for time.Now().Before(deadline) {
		row := cloud.Row{Key: cloud.Key{Partition: "packed", Sort: fmt.Sprint(shard)}, Revision: s.revision + 1}
		err := table.Write(context.Background(), cloud.Write{Row: row, IfAbsent: s.revision == 0, IfRevision: s.revision})
		var conflict *cloud.ConditionError
		switch {
		case err == nil:
			s.revision++
			return true
		case errors.As(err, &conflict) && conflict.Failed[0] != nil:
			s.revision = conflict.Failed[0].Revision
		}
	}
	return false
}

func packed(o offeredLoad, shards int) (m *measurement, calls int) {
	table := fake.NewTable()
	table.SetDelay(storeDelay)
	views := make([][]packedShard, o.hosts)
	for i := range views {
		views[i] = make([]packedShard, shards)
	}
	m = &measurement{}
	o.drive(func(host, n int) {
		shard := (host*31 + n*17) % shards
		start := time.Now()
		ok := views[host][shard].claim(table, shard)
		m.add(time.Since(start), ok)
		time.Sleep(20 * time.Millisecond)
		views[host][shard].claim(table, shard)
	})
	return m, table.Counts().Writes
}

func report(t *testing.T, name string, o offeredLoad, m *measurement, calls int) {
	orders := len(m.latencies) + m.refused
	t.Logf("%-22s %4d hosts x %5.0f/s: %6.2f orders a call, %6.0f calls/s, p50 %v p99 %v, refused %d of %d",
		name, o.hosts, o.ratePerHost, float64(orders)/float64(calls), float64(calls)/o.seconds,
		m.quantile(0.5).Round(100*time.Microsecond), m.quantile(0.99).Round(100*time.Microsecond), m.refused, orders)
}

// TestGroupCommitCarriesManyOrdersACall checks that a few hundred calls per
// second carry far more orders, and that a claim on an idle host takes one call
// to the table service.
func TestGroupCommitCarriesManyOrdersACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := offeredLoad{hosts: 1, ratePerHost: 1, seconds: 60}
		m, calls := rowPerKey(o, nil)
		report(t, "idle", o, m, calls)
		if worst := m.quantile(1); worst > 2*storeDelay {
			t.Errorf("a claim took %v on an idle host", worst)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		o := offeredLoad{hosts: 19, ratePerHost: 100, seconds: 5}
		m, calls := rowPerKey(o, nil)
		report(t, "loaded", o, m, calls)
		if perSecond := float64(calls) / o.seconds; perSecond > 400 {
			t.Errorf("%.0f calls a second for 1,900 orders", perSecond)
		}
		if m.refused > 0 {
			t.Errorf("%d orders refused", m.refused)
		}
	})
}

// TestMeasure prints the measurements in docs/design/ledger.md.
func TestMeasure(t *testing.T) {
	if os.Getenv("CHESTNUT_LARGE") == "" {
		t.Skip("set CHESTNUT_LARGE=1 to measure")
	}
	for _, perSecond := range []float64{1, 10, 50, 100, 300} {
		o := offeredLoad{hosts: 19, ratePerHost: perSecond, seconds: 10}
		measure := func(name string, run func() (*measurement, int)) {
			synctest.Test(t, func(t *testing.T) {
				m, calls := run()
				report(t, name, o, m, calls)
			})
		}
		for _, open := range []int{1, 2, 4} {
			measure(fmt.Sprintf("row a key, %d open", open), func() (*measurement, int) {
				return rowPerKey(o, func(o *Options) { o.ClaimCallsInFlight = open })
			})
		}
		for _, rate := range []float64{0.5, 5, 15} {
			measure(fmt.Sprintf("ends %.1f calls/s", rate), func() (*measurement, int) {
				return rowPerKey(o, func(o *Options) { o.OutcomeCallsPerSecond = rate })
			})
		}
		for _, shards := range []int{16, 64, 256} {
			measure(fmt.Sprintf("packed, %d rows", shards), func() (*measurement, int) { return packed(o, shards) })
		}
	}
}
