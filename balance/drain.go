package balance

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTTL is how long a drain mark stands without being renewed.
	drainTTL = 10 * time.Minute
	// drainHold is how long a drain mark stands at least, whatever a probe
	// says: health endpoints lag.
	drainHold = 30 * time.Second
)

// drains remembers the targets that said they are leaving.
type drains struct {
	// changes counts marks set and lifted.
	changes *atomic.Uint64
	mu      sync.RWMutex
	marked  map[netip.AddrPort]time.Time
}

func newDrains(changes *atomic.Uint64) *drains {
	return &drains{changes: changes, marked: map[netip.AddrPort]time.Time{}}
}

// mark records or renews a mark; it returns true when the target wasn't
// marked.
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

// leaving reports whether a target is marked.
func (d *drains) leaving(now time.Time, target netip.AddrPort) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at, ok := d.marked[target]
	return ok && now.Sub(at) <= drainTTL
}

// held reports whether a mark is old enough to be lifted by a probe.
func (d *drains) held(now time.Time, target netip.AddrPort) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at, ok := d.marked[target]
	return ok && now.Sub(at) >= drainHold
}

// clear lifts the mark of a target that answered a probe without the draining
// mark, once drainHold has passed.
func (d *drains) clear(now time.Time, target netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.marked[target]; ok && now.Sub(at) >= drainHold {
		delete(d.marked, target)
		d.changes.Add(1)
	}
}
