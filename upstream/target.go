package upstream

import (
	"net/netip"
	"sync"
	"time"
)

// target holds the connections to one address. Idle ones are a stack, so that
// the most recently used is taken first and the rest may age.
type target struct {
	addr netip.AddrPort

	mu   sync.Mutex
	idle []*conn
	// open counts idle, busy and opening connections.
	open int
}

// take returns a live kept connection, or nil after reserving the place of a
// new one. ok is false when the limit is reached.
func (t *target) take(now time.Time, maxIdle time.Duration, limit int) (cn *conn, ok bool) {
	for {
		cn, ok = t.pop(now, maxIdle, limit)
		if cn == nil {
			return nil, ok
		}
		if cn.live() {
			return cn, true
		}
		cn.discard()
	}
}

func (t *target) pop(now time.Time, maxIdle time.Duration, limit int) (cn *conn, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.idle); n > 0 {
		last := t.idle[n-1]
		if idle := now.Sub(last.idleSince); idle <= maxIdle && !last.expired(idle) {
			t.idle[n-1] = nil
			t.idle = t.idle[:n-1]
			return last, true
		}
		if t.open >= limit {
			t.closeOldest()
		}
	}
	if t.open >= limit {
		return nil, false
	}
	t.open++
	return nil, true
}

// closeOldest makes room for a new connection. The caller holds the lock.
func (t *target) closeOldest() {
	oldest := t.idle[0]
	t.idle = append(t.idle[:0], t.idle[1:]...)
	t.open--
	oldest.nc.Close()
}

// put keeps a connection whose exchange ended whole.
func (t *target) put(cn *conn, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cn.idleSince = now
	t.idle = append(t.idle, cn)
}

// forget gives back the place of a connection that is closed or never opened.
func (t *target) forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
}

func (t *target) unused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open == 0
}

// closeIdle closes the connections that were idle for longer than maxIdle.
func (t *target) closeIdle(now time.Time, maxIdle time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.idle[:0]
	for _, cn := range t.idle {
		if idle := now.Sub(cn.idleSince); idle > maxIdle || cn.expired(idle) {
			cn.nc.Close()
			continue
		}
		kept = append(kept, cn)
	}
	n := len(t.idle) - len(kept)
	clear(t.idle[len(kept):])
	t.idle = kept
	t.open -= n
	return n
}
