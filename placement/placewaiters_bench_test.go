package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chestnutfield/chestnutfield/hedge"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/table"
)

// BenchmarkPlaceWaiters measures one pass over 300 waiting requests, a fifth of
// them orders, in a partition of 24 full targets.
func BenchmarkPlaceWaiters(b *testing.B) {
	for _, workspaces := range []int{0, 85} {
		b.Run(fmt.Sprintf("%d workspaces", workspaces), func(b *testing.B) {
			balancer, err := New(Options{LoadQuerier: HTTPLoadQuerier{}, Clock: clockwork.NewFakeClockAt(start)})
			if err != nil {
				b.Fatal(err)
			}
			var targets []registry.Target
			for i := range 24 {
				targets = append(targets, registry.Target{Entry: registry.Entry{Instance: registry.Instance{ID: fmt.Sprint(i)}, Slots: 6}})
			}
			p := newPartition("p", 1, rand.New(rand.NewPCG(1, 1)), soleRole)
			setTargets(p, targets...)
			for _, t := range p.targets {
				p.recordReport(start, t, load.Report{InFlight: 7, Utilization: load.Absent, Slots: 6, Slowdown: 1})
			}
			for i := range 300 {
				q := lb.PlaceQuery{
					Received: start.Add(-time.Duration(i*7919%900) * time.Microsecond), Deadline: start.Add(4 * time.Second),
					Route: &table.Route{Rank: i % 3, Objective: time.Second, Idempotent: i%5 > 0},
				}
				if workspaces > 0 {
					q.Workspace, q.Weight = fmt.Sprint(i%workspaces), 1
				}
				p.countRequest(start, q, hedge.Limit{})
				p.waiters = append(p.waiters, &waiter{q: q, result: make(chan placeResult, 1)})
			}
			for b.Loop() {
				balancer.placeWaiters(p)
			}
			if len(p.waiters) != 300 {
				b.Fatal(len(p.waiters))
			}
		})
	}
}
