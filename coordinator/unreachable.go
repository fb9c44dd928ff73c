package coordinator

import (
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	// minUnreachable is how long a host leaves out a target that it could not connect
	// to; it doubles with each further failure, up to maxUnreachable.
	minUnreachable = time.Second
	maxUnreachable = 8 * time.Second
)

// unreachableTargets holds the targets that this host could not connect to lately,
// whatever the other hosts can. It does no I/O, reads no clock and is safe for
// concurrent use.
type unreachableTargets struct {
	mu      sync.Mutex
	targets map[netip.AddrPort]unreachable
}

type unreachable struct {
	until    time.Time
	failures int
}

// record records whether a connection to a target could be opened.
func (u *unreachableTargets) record(now time.Time, addr netip.AddrPort, connected bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if connected {
		delete(u.targets, addr)
		return
	}
	if u.targets == nil {
		u.targets = map[netip.AddrPort]unreachable{}
	}
	if len(u.targets) >= maxRemembered {
		u.targets = lo.OmitBy(u.targets, func(_ netip.AddrPort, t unreachable) bool { return !now.Before(t.until) })
	}
	failures := u.targets[addr].failures
	u.targets[addr] = unreachable{until: now.Add(min(minUnreachable<<min(failures, 10), maxUnreachable)), failures: failures + 1}
}

// list returns the targets to leave out now.
func (u *unreachableTargets) list(now time.Time) []netip.AddrPort {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.targets) == 0 {
		return nil
	}
	return lo.Keys(lo.PickBy(u.targets, func(_ netip.AddrPort, t unreachable) bool { return now.Before(t.until) }))
}
