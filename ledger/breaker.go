package ledger

import (
	"sync"
	"time"
)

// breaker refuses calls while the table service fails. It opens after several
// failed calls in a row and closes with the first that succeeds.
type breaker struct {
	mu       sync.Mutex
	after    int
	interval time.Duration
	failures int
	open     bool
	probeAt  time.Time
}

func newBreaker(after int, interval time.Duration) *breaker {
	return &breaker{after: after, interval: interval}
}

// report takes in how a call ended and returns true when the state changed.
func (b *breaker) report(now time.Time, ok bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		changed := b.open
		b.open, b.failures = false, 0
		return changed
	}
	b.failures++
	b.probeAt = now.Add(b.interval)
	if b.open || b.failures < b.after {
		return false
	}
	b.open = true
	return true
}

// isOpen reports whether calls are refused, and the time until the next probe.
func (b *breaker) isOpen(now time.Time) (wait time.Duration, open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.probeAt.Sub(now), 0), b.open
}

// probeDue reports whether a probe should be sent now, at most one an interval.
func (b *breaker) probeDue(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open || now.Before(b.probeAt) {
		return false
	}
	b.probeAt = now.Add(b.interval)
	return true
}
