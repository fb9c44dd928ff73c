package peer

import (
	"net/netip"
	"sync"
	"time"
)

// drainGossipPeriod is how long a draining target is reported to peers.
const drainGossipPeriod = 10 * time.Second

// recentDrains holds the targets that were recently reported as draining.
type recentDrains struct {
	mu sync.Mutex
	// first maps a target to when any host first learned that it drains.
	first map[netip.AddrPort]time.Time
}

func newRecentDrains() *recentDrains {
	return &recentDrains{first: map[netip.AddrPort]time.Time{}}
}

// record records that a target was first reported as draining d.age ago and
// returns true when this was news. Reports older than drainGossipPeriod are
// ignored, so that a target that has returned is not removed again by a delayed
// report.
func (r *recentDrains) record(now time.Time, d drain) bool {
	if d.age > drainGossipPeriod {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	first := now.Add(-d.age)
	old, known := r.first[d.target]
	if known && first.Sub(old) <= drainGossipPeriod {
		return false
	}
	if !known && len(r.first) >= maxEntries {
		return false
	}
	r.first[d.target] = first
	return true
}

// unexpired returns the drains that should still be sent, and removes old ones.
func (r *recentDrains) unexpired(now time.Time) []drain {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []drain
	for target, first := range r.first {
		switch age := now.Sub(first); {
		case age <= drainGossipPeriod:
			out = append(out, drain{target: target, age: age})
		case age > 2*drainGossipPeriod:
			delete(r.first, target)
		}
	}
	return out
}
