package handoff

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/owner"
	"github.com/chestnutfield/chestnutfield/table"
)

// serviceTimeWeight is the weight of a new sample in the moving average of the
// service time.
const serviceTimeWeight = 0.05

// Meter measures the load of the groups that this host owns. It is an
// lb.Admission that wraps another one; its queries carry the name of the group
// as pool. It is safe for concurrent use.
type Meter struct {
	next lb.Admission
	// gate may refuse a request for a group with that backlog before it queues.
	gate func(q lb.AdmitQuery, backlog int) *lb.Refusal

	mu     sync.RWMutex
	groups map[string]*groupMeter
}

// groupMeter is the measured load of one group, guarded by mu.
type groupMeter struct {
	mu          sync.Mutex
	slots       int
	backlog     int
	serviceTime time.Duration
}

// NewMeter returns a Meter that wraps next; with a nil next it admits everything.
func NewMeter(next lb.Admission) *Meter {
	return &Meter{next: next, groups: map[string]*groupMeter{}, gate: func(lb.AdmitQuery, int) *lb.Refusal { return nil }}
}

// WithGate sets a function that may refuse a request before it queues, by the number of
// requests that the group has. It must be called before the Meter is used.
func (m *Meter) WithGate(gate func(q lb.AdmitQuery, backlog int) *lb.Refusal) *Meter {
	m.gate = gate
	return m
}

// SetSlots replaces the groups. slots maps the name of each group to the number of
// slots of its targets that accept new requests. The measurements of groups that
// remain are kept.
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

// Load returns the load of a group; ok is false when the group is unknown.
func (m *Meter) Load(group string) (r owner.GroupLoad, ok bool) {
	g := m.find(group)
	if g == nil {
		return owner.GroupLoad{}, false
	}
	return g.load(), true
}

func (g *groupMeter) load() owner.GroupLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return owner.GroupLoad{Backlog: g.backlog, Slots: g.slots, ServiceTime: g.serviceTime}
}

// GroupLoadHeader returns the load of a group as the text of the header
// Chestnut-Group-Load; ok is false when the group is unknown.
func (m *Meter) GroupLoadHeader(group string) (text string, ok bool) {
	r, ok := m.Load(group)
	if !ok {
		return "", false
	}
	return FormatGroupLoad(r), true
}

// Admit counts the request in the backlog from now until its permit is released. A
// batch request is counted only once it has a permit: lookups and orders overtake
// queued batch requests, which therefore are no load to them. The requests of an
// unknown group are not counted.
func (m *Meter) Admit(ctx context.Context, q lb.AdmitQuery) (lb.Permit, *lb.Refusal) {
	g := m.find(q.Pool)
	if g == nil {
		g = &groupMeter{}
	}
	if refusal := m.gate(q, g.load().Backlog); refusal != nil {
		return nil, refusal
	}
	queued := 1
	if q.Class == table.Batch {
		queued = 0
	}
	g.addBacklog(queued)
	if m.next == nil {
		g.addBacklog(1 - queued)
		return &meteredPermit{group: g}, nil
	}
	permit, refusal := m.next.Admit(ctx, q)
	if refusal != nil {
		g.addBacklog(-queued)
		return nil, refusal
	}
	g.addBacklog(1 - queued)
	return &meteredPermit{group: g, next: permit}, nil
}

func (m *Meter) find(group string) *groupMeter {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.groups[group]
}

func (g *groupMeter) addBacklog(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backlog += n
}

func (g *groupMeter) endRequest(r lb.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backlog--
	if r.Verdict != lb.Succeeded || r.Latency <= 0 {
		return
	}
	if g.serviceTime == 0 {
		g.serviceTime = r.Latency
		return
	}
	g.serviceTime += time.Duration(serviceTimeWeight * float64(r.Latency-g.serviceTime))
}

// meteredPermit releases the wrapped permit and removes the request from the
// backlog, once.
type meteredPermit struct {
	group *groupMeter
	next  lb.Permit
	once  sync.Once
}

// Release releases the permit; later calls have no effect.
func (p *meteredPermit) Release(now time.Time, r lb.Result) {
	p.once.Do(func() {
		p.group.endRequest(r)
		if p.next != nil {
			p.next.Release(now, r)
		}
	})
}
