package limit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"
)

// The simulation drives the admission of 18 hosts to one pool of 24 slots with
// a single queue, under a virtual clock. It compares limiters with one another;
// its figures say nothing about a real deployment.

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

type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	events    simQueue
	running   int
	waiting   []func()
	latencies [classCount][]time.Duration
	refusals  [classCount]int
	arrived   map[*waiter]time.Duration
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{s.now + d, run})
}
func (s *simulation) time() time.Time { return start.Add(s.now) }

// serve runs a request in the pool, whose queue is unbounded.
func (s *simulation) serve(done func()) {
	s.waiting = append(s.waiting, done)
	s.advance()
}

func (s *simulation) advance() {
	for s.running < 24 && len(s.waiting) > 0 {
		done := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		s.after(time.Duration(s.rng.ExpFloat64()*20*float64(time.Millisecond)), func() {
			s.running--
			done()
			s.advance()
		})
	}
}

// handleDecided counts the refused waiters and serves the granted ones.
func (s *simulation) handleDecided(c *controller, ws []*waiter) {
	for _, w := range ws {
		if w.refusal != nil {
			s.refusals[w.class]++
			continue
		}
		sent := s.now
		s.serve(func() {
			s.latencies[w.class] = append(s.latencies[w.class], s.now-s.arrived[w])
			s.handleDecided(c, c.release(s.time(), w.class, succeeded(s.now-sent)))
		})
	}
}

// arrive sends requests of one class to a host at rate per second.
func (s *simulation) arrive(c *controller, class int, rate float64, timeout time.Duration) {
	var next func()
	next = func() {
		w := &waiter{class: class, caller: "a", deadline: s.time().Add(timeout)}
		s.arrived[w] = s.now
		s.handleDecided(c, c.arrive(s.time(), w))
		s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.after(0, next)
}

func BenchmarkSimulation(b *testing.B) {
	if os.Getenv("TRIAL") == "" {
		b.Skip("set TRIAL to run the simulation")
	}
	limiters := map[string]func(l, tol float64) Limiter{
		"aimd":     func(l, tol float64) Limiter { return NewAIMD(l, tol) },
		"gradient": func(l, _ float64) Limiter { return NewGradient(l) },
		"none":     func(_, _ float64) Limiter { return NewAIMD(1e6, 1e9) },
	}
	for _, load := range []float64{0.8, 1.3} {
		for _, skew := range []bool{false, true} {
			for _, name := range []string{"aimd", "gradient", "none"} {
				b.Run(fmt.Sprintf("load=%v/skew=%v/%s", load, skew, name), func(b *testing.B) {
					s := &simulation{rng: rand.New(rand.NewPCG(1, 2)), arrived: map[*waiter]time.Duration{}}
					for h := range 18 {
						bounds := newBounds(24, 18)
						if name == "none" {
							bounds.lowest, bounds.highest = 1e6, 1e6
						}
						batch := limiters[name]
						if name == "aimd" {
							batch = func(l, tol float64) Limiter { return NewBatchAIMD(l, tol) }
						}
						c, share := newController(bounds, limiters[name], batch), 1.0/18
						if skew {
							share = 0.4 / 17
							if h == 0 {
								share = 0.6
							}
						}
						s.arrive(c, lookupClass, 0.7*load*1200*share, time.Second)
						s.arrive(c, batchClass, 0.3*load*1200*share, 5*time.Second)
					}
					for s.now < 20*time.Second {
						e := heap.Pop(&s.events).(simEvent)
						s.now = e.at
						e.run()
					}
					for class, label := range map[int]string{lookupClass: "lookup", batchClass: "batch"} {
						slices.Sort(s.latencies[class])
						n := len(s.latencies[class])
						b.ReportMetric(float64(s.latencies[class][n*99/100])/1e6, label+"-p99-ms")
						b.ReportMetric(float64(n)/20, label+"/s")
						b.ReportMetric(float64(s.refusals[class])/20, label+"-refused/s")
					}
				})
			}
		}
	}
}
