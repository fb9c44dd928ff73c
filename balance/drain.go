package balance

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTTL is the time after which a drain mark that isn't renewed expires.
	drainTTL = 10 * time.Minute
	// minDrainTime is the age below which a probe can't clear a drain mark,
	// because health endpoints lag.
	minDrainTime = 30 * time.Second
)

// drains holds the targets that are marked as draining.
type drains struct {
	// changes is the balancer's availabilityGeneration. It is incremented when a
	// mark is set or cleared.
	changes *atomic.Uint64
	mu      sync.RWMutex
	marked  map[netip.AddrPort]time.Time
}

func newDrains(changes *atomic.Uint64) *drains {
	return &drains{changes: changes, marked: map[netip.AddrPort]time.Time{}}
}

// mark sets or renews the mark of a target and removes expired marks. It returns
// true when the target wasn't marked.
func (d *drains) mark(now time.Time, target netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.marked[target]
	d.marked[target] = now
	for addr, t := range d.marked {
		if now.Sub(t) > drainTTL {
			delete(d.marked, addr)
		}
	}
	if ok && now.Sub(at) <= drainTTL {
		return false
	}
	d.changes.Add(1)
	return true
}

// draining reports whether a target is marked.
func (d *drains) draining(now time.Time, target netip.AddrPort) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at, ok := d.marked[target]
	return ok && now.Sub(at) <= drainTTL
}

// clearable reports whether the mark of a target is old enough to be cleared by
// a probe.
func (d *drains) clearable(now time.Time, target netip.AddrPort) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at, ok := d.marked[target]
	return ok && now.Sub(at) >= minDrainTime
}

// clear removes the mark of a target that answered a probe without
// Chestnut-Draining, once the mark is minDrainTime old.
func (d *drains) clear(now time.Time, target netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.marked[target]; ok && now.Sub(at) >= minDrainTime {
		delete(d.marked, target)
		d.changes.Add(1)
	}
}
