package balance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/probe"
)

// The simulation runs the selections of 18 hosts against 12 targets with queues on
// a virtual clock. It gives a quick comparison of policies. Conclusions need the
// lab's runs over sockets.

type simEvent struct {
	at  time.Duration
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type simTarget struct {
	running int
	queue   []func(string)
	slow    float64
}

type simHosts []string

func (h simHosts) LiveHosts() []string { return h }
func (h simHosts) ShareDivisor() int   { return len(h) }

type simulation struct {
	// arrivals is the random source of arrival times, rng that of everything
	// else.
	rng, arrivals *rand.Rand
	now           time.Duration
	events        simQueue
	targets       map[string]*simTarget
	hosts         []*balance.Balancer
	latencies     []time.Duration
}

func (t *simulation) after(d time.Duration, run func()) {
	heap.Push(&t.events, simEvent{t.now + d, run})
}
func (t *simulation) time() time.Time { return start.Add(t.now) }

func (t *simulation) serve(tt *simTarget, done func(report string)) {
	tt.queue = append(tt.queue, done)
	t.advance(tt)
}

func (t *simulation) advance(tt *simTarget) {
	if tt.running == 2 || len(tt.queue) == 0 {
		return
	}
	done := tt.queue[0]
	tt.queue = tt.queue[1:]
	tt.running++
	t.after(time.Duration(t.rng.ExpFloat64()*20*tt.slow*float64(time.Millisecond)), func() {
		tt.running--
		done(fmt.Sprintf("TEXT named_metrics.in_flight=%d, named_metrics.queued=%d", tt.running, len(tt.queue)))
		t.advance(tt)
	})
}

func (t *simulation) call(host, domain int) {
	sent := t.now
	a, ok := t.hosts[host].Pick(lb.PickQuery{Pool: "p", Class: "lookup", Now: t.time()})
	if !ok {
		panic("no target")
	}
	i := int(a.Target().Port()) - 9000
	delay := 200 * time.Microsecond
	if i%3 != domain {
		delay = 1500 * time.Microsecond
	}
	t.after(delay, func() {
		t.serve(t.targets[a.Target().String()], func(report string) {
			t.after(delay, func() {
				a.Done(t.time(), lb.Feedback{Result: lb.Result{Verdict: lb.Succeeded, Latency: t.now - sent}, LoadReport: report})
				if sent > time.Second {
					t.latencies = append(t.latencies, t.now-sent)
				}
			})
		})
	})
}

func runSimulation(policy string, load float64, probes, seed int, slowed bool) (p50, p99 time.Duration) {
	t := &simulation{rng: rand.New(rand.NewPCG(uint64(seed), 2)), arrivals: rand.New(rand.NewPCG(uint64(seed), 3)), targets: map[string]*simTarget{}}
	names := make(simHosts, 18)
	for h := range names {
		names[h] = fmt.Sprintf("entry-%02d", h)
	}
	for i := range 12 {
		t.targets[addr(i).String()] = &simTarget{slow: 1}
	}
	for h := range names {
		b, err := balance.New(balance.Options{Host: names[h], FailureDomain: string(rune('a' + h%3)), Seed: uint64(seed), Membership: names})
		if err != nil || b.Update(start, map[string]balance.PoolSpec{"p": {Targets: targets(12), Policy: policy}}) != nil {
			panic(err)
		}
		t.hosts = append(t.hosts, b)
		var arrive func()
		arrive = func() {
			t.call(h, h%3)
			t.after(time.Duration(t.arrivals.ExpFloat64()/(load*1200/18)*float64(time.Second)), arrive)
		}
		t.after(time.Duration(t.rng.Int64N(int64(10*time.Millisecond))), arrive)
		t.every(250*time.Millisecond, func() {
			t.hosts[t.rng.IntN(18)].Incoming(t.time(), names[h], b.Outgoing(t.time(), 128))
		})
		if probes > 0 {
			t.every(time.Second*18/time.Duration(12*probes), func() {
				target := addr(t.rng.IntN(12))
				tt := t.targets[target.String()]
				report := fmt.Sprintf("TEXT named_metrics.in_flight=%d, named_metrics.queued=%d", tt.running, len(tt.queue))
				t.after(time.Millisecond, func() { b.ProbeDone(t.time(), target, probe.Result{Report: report}) })
			})
		}
	}
	if slowed {
		t.after(3*time.Second, func() { t.targets[addr(0).String()].slow = 10 })
	}
	for t.now < 12*time.Second {
		e := heap.Pop(&t.events).(simEvent)
		t.now = e.at
		e.run()
	}
	slices.Sort(t.latencies)
	return t.latencies[len(t.latencies)/2], t.latencies[len(t.latencies)*99/100]
}

func (t *simulation) every(d time.Duration, run func()) {
	t.after(d+time.Duration(t.rng.Int64N(int64(d))), func() { run(); t.every(d, run) })
}

func BenchmarkTrial(b *testing.B) {
	if os.Getenv("TRIAL") == "" {
		b.Skip("set TRIAL to run the simulation")
	}
	for _, load := range []float64{0.7, 0.85} {
		for _, slowed := range []bool{false, true} {
			for _, probes := range []int{0, 5, 20} {
				for _, policy := range balance.PolicyNames() {
					b.Run(fmt.Sprintf("load=%v/slow=%v/probes=%d/%s", load, slowed, probes, policy), func(b *testing.B) {
						var p50, p99 time.Duration
						for i := range b.N {
							mid, tail := runSimulation(policy, load, probes, i+1, slowed)
							p50, p99 = p50+mid, p99+tail
						}
						b.ReportMetric(float64(p50)/1e6/float64(b.N), "p50-ms")
						b.ReportMetric(float64(p99)/1e6/float64(b.N), "p99-ms")
					})
				}
			}
		}
	}
}
