package config

import (
	"container/heap"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// readsPerSecondBound is a twentieth of the 2,000 reads a second that
	// everything shares.
	readsPerSecondBound = 100.0
	callLatency         = 20 * time.Millisecond
)

// fleet is many cores over one table service, without any peer news, on
// simulated time.
type fleet struct {
	now     time.Time
	cores   []*core
	events  eventHeap
	store   uint64
	storeUp bool
	reads   int
	inForce []uint64
	// wakes are the times of the hosts' coming ticks.
	wakes []time.Time
}

type event struct {
	at   time.Time
	host int
	run  func(c *core) []action
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newFleet(hosts int) *fleet {
	f := &fleet{now: time.Unix(1_800_000_000, 0), storeUp: true, inForce: make([]uint64, hosts), wakes: make([]time.Time, hosts)}
	for i := range hosts {
		c := newCore(coreOptions{startWait: DefaultStartWait, giveUp: DefaultGiveUp}, f.now, rand.New(rand.NewPCG(uint64(i), 7)))
		c.hosts = hosts
		f.cores = append(f.cores, c)
		f.wake(i, f.now)
	}
	return f
}

// wake plans a tick unless an earlier one is planned.
func (f *fleet) wake(host int, at time.Time) {
	if f.wakes[host].After(f.now) && !at.Before(f.wakes[host]) {
		return
	}
	f.wakes[host] = at
	heap.Push(&f.events, event{at: at, host: host, run: func(c *core) []action {
		if !f.now.Equal(f.wakes[host]) {
			return nil
		}
		return c.tick(f.now)
	}})
}

func (f *fleet) later(host int, run func(c *core) []action) {
	heap.Push(&f.events, event{at: f.now.Add(callLatency), host: host, run: run})
}

func (f *fleet) take(host int, acts []action) {
	for _, a := range acts {
		switch a := a.(type) {
		case pollStore:
			f.reads++
			f.later(host, func(c *core) []action { return c.polled(f.now, f.store, f.err()) })
		case locateSnapshot:
			f.later(host, func(c *core) []action { return c.located(f.now, 0, nil) })
		case fetch:
			f.reads++
			f.later(host, func(c *core) []action {
				return c.fetched(f.now, a.from, &table.Tables{Version: f.store}, nil, f.err())
			})
		case install:
			f.inForce[host] = a.tables.Version
		}
	}
}

func (f *fleet) err() error {
	if f.storeUp {
		return nil
	}
	return cloud.ErrUnavailable
}

// run lets time pass; it returns early when done says so.
func (f *fleet) run(d time.Duration, done func() bool) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) && !done() {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		c := f.cores[e.host]
		f.take(e.host, e.run(c))
		f.wake(e.host, c.wake())
	}
	if !done() {
		f.now = end
	}
}

func (f *fleet) everywhere() bool {
	for _, v := range f.inForce {
		if v != f.store {
			return false
		}
	}
	return true
}

func never() bool { return false }

var _ = DescribeTable("a fleet without any news from peers",
	func(hosts int) {
		f := newFleet(hosts)
		f.run(time.Minute, never)
		f.reads = 0
		const watched = 5 * time.Minute
		f.run(watched, never)
		rate := float64(f.reads) / watched.Seconds()
		Expect(rate).To(BeNumerically("<=", readsPerSecondBound))

		f.store++
		accepted := f.now
		f.run(everywhereWithin, f.everywhere)
		Expect(f.everywhere()).To(BeTrue())
		spread := f.now.Sub(accepted)

		f.storeUp = false
		f.run(10*time.Minute, never)
		f.store++
		f.storeUp = true
		back := f.now
		f.run(everywhereWithin, f.everywhere)
		Expect(f.everywhere()).To(BeTrue())
		GinkgoWriter.Printf("%d hosts: %.1f reads/s, in force everywhere after %v, after an outage of 10 minutes after %v\n",
			hosts, rate, spread.Round(time.Millisecond), f.now.Sub(back).Round(time.Millisecond))
	},
	Entry("today", 19), Entry("a hundred", 100), Entry("several hundred", 400))
