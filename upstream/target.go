package upstream

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// target is the connection pool of one address. The idle connection that was
// used last is reused first, so that surplus ones stay idle until they are
// closed.
type target struct {
	addr netip.AddrPort

	mu   sync.Mutex
	idle []*conn
	// open counts idle, busy and opening connections.
	open int
	// trust decides how soon idle connections are reused.
	trust trust
}

// reuseRules say which idle connection an exchange may use.
type reuseRules struct {
	// maxIdle is the longest idle time; newConnection allows none.
	maxIdle time.Duration
	// limit is this host's share of the target's connections.
	limit int
	// quietReuses is Options.QuietReuses.
	quietReuses int
}

const (
	// newConnection is a reuseRules.maxIdle that no idle connection meets.
	newConnection time.Duration = -1
	// maxSpareIdle is the number of idle connections to a target from which on the
	// new connection of a request that is not idempotent is closed after it, since
	// only idempotent requests could use it.
	maxSpareIdle = 16
)

// acquire returns a usable idle connection, or nil after counting a new one
// that the caller is to open. ok is false when the limit is reached.
func (t *target) acquire(now time.Time, r reuseRules) (cn *conn, ok bool) {
	for {
		cn, ok = t.popIdle(now, r)
		if cn == nil {
			return nil, ok
		}
		usable := cn.isUsable()
		if r.quietReuses > 0 {
			t.recordReuse(now, now.Sub(cn.idleSince), usable, !usable && cn.hasUnreadBytes())
		}
		if usable {
			return cn, true
		}
		cn.discard()
	}
}

// popIdle is like acquire, but does not check the socket of the connection.
func (t *target) popIdle(now time.Time, r reuseRules) (cn *conn, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.reusable(now, r); i >= 0 {
		cn = t.idle[i]
		t.idle = slices.Delete(t.idle, i, i+1)
		return cn, true
	}
	if len(t.idle) > 0 && t.open >= r.limit {
		t.closeOldest()
	}
	if t.open >= r.limit {
		return nil, false
	}
	t.open++
	return nil, true
}

// reusable returns the index of an idle connection that an exchange may use, -1 when
// there is none: the one that was used last or, until the target is trusted, the one
// that was silent for longest. The caller holds the lock.
func (t *target) reusable(now time.Time, r reuseRules) int {
	mayReuse := func(cn *conn) bool {
		// A connection may have been released after now was read.
		idle := max(0, now.Sub(cn.idleSince))
		return idle <= r.maxIdle && !cn.idleLimitExceeded(idle) && (r.quietReuses <= 0 || t.trust.mayReuse(now, idle, r.quietReuses))
	}
	last := len(t.idle) - 1
	if r.quietReuses > 0 && t.trust.quiet < r.quietReuses {
		return slices.IndexFunc(t.idle, mayReuse)
	}
	if last >= 0 && mayReuse(t.idle[last]) {
		return last
	}
	return -1
}

// recordReuse records how an idle connection was found when it was to be reused.
func (t *target) recordReuse(now time.Time, idle time.Duration, usable, unsolicited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case unsolicited:
		t.trust.distrust(now)
	case !usable && idle <= earlyClose:
		t.trust.recordClose()
	case usable && idle >= quietPeriod:
		t.trust.quiet++
	}
}

// recordUnsolicited records that the target sent bytes that no request asked for.
func (t *target) recordUnsolicited(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trust.distrust(now)
}

// closeOldest closes the connection that was idle longest, so that a new one
// can be opened. The caller holds the lock.
func (t *target) closeOldest() {
	oldest := t.idle[0]
	t.idle = append(t.idle[:0], t.idle[1:]...)
	t.open--
	oldest.nc.Close()
}

// release returns a connection whose exchange completed to the pool, or closes it when
// the pool has enough.
func (t *target) release(cn *conn, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cn.surplus && len(t.idle) >= maxSpareIdle {
		t.open--
		cn.nc.Close()
		return
	}
	cn.idleSince = now
	t.idle = append(t.idle, cn)
}

// uncount stops counting a connection that was closed or could not be opened.
func (t *target) uncount() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
}

// unused reports whether no connection is open or being opened.
func (t *target) unused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open == 0
}

// closeIdle closes the connections that were idle for longer than maxIdle or
// their own limit, and returns their number.
func (t *target) closeIdle(now time.Time, maxIdle time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.idle[:0]
	for _, cn := range t.idle {
		if idle := now.Sub(cn.idleSince); idle > maxIdle || cn.idleLimitExceeded(idle) {
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
