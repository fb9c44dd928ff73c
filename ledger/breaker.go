package ledger

import (
	"sync"
	"time"
)

// breaker is a circuit breaker for calls to the table service. It opens after a
// number of consecutive failed calls and closes on the first call that succeeds.
type breaker struct {
	mu        sync.Mutex
	threshold int
	interval  time.Duration
	failures  int
	open      bool
	probeAt   time.Time
}

func newBreaker(threshold int, interval time.Duration) *breaker {
	return &breaker{threshold: threshold, interval: interval}
}

// report records how a call ended and returns true when the breaker opened or
// closed.
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
	if b.open || b.failures < b.threshold {
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

// probeDue reports whether a probe should be sent now. It returns true at most
// once per interval and counts the probe as sent.
func (b *breaker) probeDue(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open || now.Before(b.probeAt) {
		return false
	}
	b.probeAt = now.Add(b.interval)
	return true
}
