package coordinator

import (
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"
)

// buildRetention is how long a host remembers whether a coordinator responds to
// extended messages. An upgraded coordinator gets them again after this time; until
// then, one of an older build delays no further request.
const buildRetention = 10 * time.Second

// coordinatorBuilds holds the coordinators that lately responded to an extended
// message, and those that responded to the plain message only. It does no I/O, reads
// no clock and is safe for concurrent use.
type coordinatorBuilds struct {
	mu    sync.Mutex
	known map[netip.AddrPort]coordinatorBuild
}

type coordinatorBuild struct {
	extended bool
	until    time.Time
}

// record records whether a coordinator responds to extended messages; changed is
// false when the same was seen lately.
func (b *coordinatorBuilds) record(now time.Time, addr netip.AddrPort, extended bool) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known == nil {
		b.known = map[netip.AddrPort]coordinatorBuild{}
	}
	if len(b.known) >= maxRemembered {
		b.known = lo.OmitBy(b.known, func(_ netip.AddrPort, k coordinatorBuild) bool { return !now.Before(k.until) })
	}
	before := b.known[addr]
	b.known[addr] = coordinatorBuild{extended: extended, until: now.Add(buildRetention)}
	return before.extended != extended || !now.Before(before.until)
}

// extended reports whether a coordinator responds to extended messages; known is
// false when that was not seen lately.
func (b *coordinatorBuilds) extended(now time.Time, addr netip.AddrPort) (extended, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.known[addr]
	return k.extended, now.Before(k.until)
}
