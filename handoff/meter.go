package handoff

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutfield/chestnutfield/owner"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/table"
)

// serviceWeight is the share of a new sample in the smoothed service time.
const serviceWeight = 0.05

// Meter measures the groups that this host owns. It implements
// ports.Admission around another one, with the group's name as the pool, and
// is safe for concurrent use.
type Meter struct {
	next ports.Admission

	mu     sync.RWMutex
	groups map[string]*groupMeter
}

// groupMeter is what is measured of one group, under its own lock.
type groupMeter struct {
	mu      sync.Mutex
	slots   int
	backlog int
	service time.Duration
}

// NewMeter returns a meter around next; a nil next admits everything.
func NewMeter(next ports.Admission) *Meter {
	return &Meter{next: next, groups: map[string]*groupMeter{}}
}

// SetSlots replaces the groups and the slots of their targets that take new
// work. What was measured of groups that stay is kept.
func (m *Meter) SetSlots(slots map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[string]*groupMeter, len(slots))
	for name, n := range slots {
		g := m.groups[name]
		if g == nil {
			g = &groupMeter{}
		}
		g.mu.Lock()
		g.slots = n
		g.mu.Unlock()
		next[name] = g
	}
	m.groups = next
}

// Report returns the load of a group; ok is false when it is unknown.
func (m *Meter) Report(group string) (r owner.Report, ok bool) {
	g := m.find(group)
	if g == nil {
		return owner.Report{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return owner.Report{Backlog: g.backlog, Slots: g.slots, Service: g.service}, true
}

// Text returns the load of a group in the form that peers read.
func (m *Meter) Text(group string) (text string, ok bool) {
	r, ok := m.Report(group)
	if !ok {
		return "", false
	}
	return FormatReport(r), true
}

// Admit counts the request from now until its permit is released, and batch
// only from its permit on: lookups and orders overtake queued batch, so that it
// is no load to them.
func (m *Meter) Admit(ctx context.Context, q ports.AdmitQuery) (ports.Permit, *ports.Refusal) {
	g := m.find(q.Pool)
	if g == nil {
		g = &groupMeter{}
	}
	queued := 1
	if q.Class == table.Batch {
		queued = 0
	}
	g.add(queued)
	if m.next == nil {
		g.add(1 - queued)
		return &meteredPermit{group: g}, nil
	}
	permit, refusal := m.next.Admit(ctx, q)
	if refusal != nil {
		g.add(-queued)
		return nil, refusal
	}
	g.add(1 - queued)
	return &meteredPermit{group: g, next: permit}, nil
}

func (m *Meter) find(group string) *groupMeter {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.groups[group]
}

func (g *groupMeter) add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backlog += n
}

func (g *groupMeter) end(r ports.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backlog--
	if r.Verdict != ports.Succeeded || r.Latency <= 0 {
		return
	}
	if g.service == 0 {
		g.service = r.Latency
		return
	}
	g.service += time.Duration(serviceWeight * float64(r.Latency-g.service))
}

// meteredPermit releases the inner permit and ends the count, once.
type meteredPermit struct {
	group *groupMeter
	next  ports.Permit
	once  sync.Once
}

// Release gives the permit back; later calls do nothing.
func (p *meteredPermit) Release(now time.Time, r ports.Result) {
	p.once.Do(func() {
		p.group.end(r)
		if p.next != nil {
			p.next.Release(now, r)
		}
	})
}
