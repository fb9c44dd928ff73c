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
	// maxReadsPerSecond is a twentieth of the table service's 2,000 reads a
	// second, which all its users share.
	maxReadsPerSecond = 100.0
	callLatency       = 20 * time.Millisecond
)

// fleet simulates the cores of many hosts that poll one table service, without
// announcements from peers, on simulated time.
type fleet struct {
	now       time.Time
	cores     []*core
	events    eventHeap
	store     uint64
	storeUp   bool
	reads     int
	installed []uint64
	// nextTicks are the times of the next tick of each host.
	nextTicks []time.Time
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
	f := &fleet{now: time.Unix(1_800_000_000, 0), storeUp: true, installed: make([]uint64, hosts), nextTicks: make([]time.Time, hosts)}
	for i := range hosts {
		c := newCore(coreOptions{discoveryTimeout: DefaultDiscoveryTimeout, catchUpTimeout: DefaultCatchUpTimeout}, f.now, rand.New(rand.NewPCG(uint64(i), 7)))
		c.hosts = hosts
		f.cores = append(f.cores, c)
		f.scheduleTick(i, f.now)
	}
	return f
}

// scheduleTick schedules a tick unless an earlier one is scheduled.
func (f *fleet) scheduleTick(host int, at time.Time) {
	if f.nextTicks[host].After(f.now) && !at.Before(f.nextTicks[host]) {
		return
	}
	f.nextTicks[host] = at
	heap.Push(&f.events, event{at: at, host: host, run: func(c *core) []action {
		if !f.now.Equal(f.nextTicks[host]) {
			return nil
		}
		return c.tick(f.now)
	}})
}

func (f *fleet) completeLater(host int, run func(c *core) []action) {
	heap.Push(&f.events, event{at: f.now.Add(callLatency), host: host, run: run})
}

func (f *fleet) execute(host int, acts []action) {
	for _, a := range acts {
		switch a := a.(type) {
		case pollStore:
			f.reads++
			f.completeLater(host, func(c *core) []action { return c.handlePollResult(f.now, f.store, f.storeErr()) })
		case locateSnapshot:
			f.completeLater(host, func(c *core) []action { return c.handleSnapshotLocated(f.now, 0, nil) })
		case fetch:
			f.reads++
			f.completeLater(host, func(c *core) []action {
				return c.handleFetchResult(f.now, a.from, &table.Tables{Version: f.store}, nil, f.storeErr())
			})
		case install:
			f.installed[host] = a.tables.Version
		}
	}
}

func (f *fleet) storeErr() error {
	if f.storeUp {
		return nil
	}
	return cloud.ErrUnavailable
}

// run processes events for the duration d, or until done returns true.
func (f *fleet) run(d time.Duration, done func() bool) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) && !done() {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		c := f.cores[e.host]
		f.execute(e.host, e.run(c))
		f.scheduleTick(e.host, c.nextTick())
	}
	if !done() {
		f.now = end
	}
}

func (f *fleet) allUpToDate() bool {
	for _, v := range f.installed {
		if v != f.store {
			return false
		}
	}
	return true
}

func never() bool { return false }

var _ = DescribeTable("a fleet without announcements from peers",
	func(hosts int) {
		f := newFleet(hosts)
		f.run(time.Minute, never)
		f.reads = 0
		const watched = 5 * time.Minute
		f.run(watched, never)
		rate := float64(f.reads) / watched.Seconds()
		Expect(rate).To(BeNumerically("<=", maxReadsPerSecond))

		f.store++
		accepted := f.now
		f.run(propagationLimit, f.allUpToDate)
		Expect(f.allUpToDate()).To(BeTrue())
		spread := f.now.Sub(accepted)

		f.storeUp = false
		f.run(10*time.Minute, never)
		f.store++
		f.storeUp = true
		back := f.now
		f.run(propagationLimit, f.allUpToDate)
		Expect(f.allUpToDate()).To(BeTrue())
		GinkgoWriter.Printf("%d hosts: %.1f reads/s, installed everywhere after %v, after an outage of 10 minutes after %v\n",
			hosts, rate, spread.Round(time.Millisecond), f.now.Sub(back).Round(time.Millisecond))
	},
	Entry("19 hosts", 19), Entry("100 hosts", 100), Entry("400 hosts", 400))
