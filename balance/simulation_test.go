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

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{s.now + d, run})
}
func (s *simulation) time() time.Time { return start.Add(s.now) }

func (s *simulation) serve(t *simTarget, done func(report string)) {
	t.queue = append(t.queue, done)
	s.advance(t)
}

func (s *simulation) advance(t *simTarget) {
	if t.running == 2 || len(t.queue) == 0 {
		return
	}
	done := t.queue[0]
	t.queue = t.queue[1:]
	t.running++
	s.after(time.Duration(s.rng.ExpFloat64()*20*t.slow*float64(time.Millisecond)), func() {
		t.running--
		done(fmt.Sprintf("TEXT named_metrics.in_flight=%d, named_metrics.queued=%d", t.running, len(t.queue)))
		s.advance(t)
	})
}

func (s *simulation) call(host, domain int) {
	sent := s.now
	a, ok := s.hosts[host].Pick(lb.PickQuery{Pool: "p", Class: "lookup", Now: s.time()})
	if !ok {
		panic("no target")
	}
	i := int(a.Target().Port()) - 9000
	delay := 200 * time.Microsecond
	if i%3 != domain {
		delay = 1500 * time.Microsecond
	}
	s.after(delay, func() {
		s.serve(s.targets[a.Target().String()], func(report string) {
			s.after(delay, func() {
				a.Done(s.time(), lb.Feedback{Result: lb.Result{Verdict: lb.Succeeded, Latency: s.now - sent}, LoadReport: report})
				if sent > time.Second {
					s.latencies = append(s.latencies, s.now-sent)
				}
			})
		})
	})
}

func runSimulation(policy string, load float64, probes, seed int, slowed bool) (p50, p99 time.Duration) {
	s := &simulation{rng: rand.New(rand.NewPCG(uint64(seed), 2)), arrivals: rand.New(rand.NewPCG(uint64(seed), 3)), targets: map[string]*simTarget{}}
	names := make(simHosts, 18)
	for h := range names {
		names[h] = fmt.Sprintf("entry-%02d", h)
	}
	for i := range 12 {
		s.targets[addr(i).String()] = &simTarget{slow: 1}
	}
	for h := range names {
		b, err := balance.New(balance.Options{Host: names[h], FailureDomain: string(rune('a' + h%3)), Seed: uint64(seed), Membership: names})
		if err != nil || b.Update(start, map[string]balance.PoolSpec{"p": {Targets: targets(12), Policy: policy}}) != nil {
			panic(err)
		}
		s.hosts = append(s.hosts, b)
		var arrive func()
		arrive = func() {
			s.call(h, h%3)
			s.after(time.Duration(s.arrivals.ExpFloat64()/(load*1200/18)*float64(time.Second)), arrive)
		}
		s.after(time.Duration(s.rng.Int64N(int64(10*time.Millisecond))), arrive)
		s.every(250*time.Millisecond, func() {
			s.hosts[s.rng.IntN(18)].Incoming(s.time(), names[h], b.Outgoing(s.time(), 128))
		})
		if probes > 0 {
			s.every(time.Second*18/time.Duration(12*probes), func() {
				target := addr(s.rng.IntN(12))
				t := s.targets[target.String()]
				report := fmt.Sprintf("TEXT named_metrics.in_flight=%d, named_metrics.queued=%d", t.running, len(t.queue))
				s.after(time.Millisecond, func() { b.ProbeDone(s.time(), target, probe.Result{Report: report}) })
			})
		}
	}
	if slowed {
		s.after(3*time.Second, func() { s.targets[addr(0).String()].slow = 10 })
	}
	for s.now < 12*time.Second {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.latencies)
	return s.latencies[len(s.latencies)/2], s.latencies[len(s.latencies)*99/100]
}

func (s *simulation) every(d time.Duration, run func()) {
	s.after(d+time.Duration(s.rng.Int64N(int64(d))), func() { run(); s.every(d, run) })
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
