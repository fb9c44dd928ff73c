package peer

import (
	"sync"
	"time"
)

// budget is a token bucket for the bytes that the peer connections carry. Bytes
// are taken after they were carried, so the level may fall below zero.
type budget struct {
	mu       sync.Mutex
	rate     float64
	capacity float64
	level    float64
	last     time.Time
}

// budgetBurst is the time for which the bucket holds tokens at the full rate.
const budgetBurst = 2 * time.Second

func newBudget(bytesPerSecond int, now time.Time) *budget {
	capacity := float64(bytesPerSecond) * budgetBurst.Seconds()
	return &budget{rate: float64(bytesPerSecond), capacity: capacity, level: capacity, last: now}
}

// spend takes bytes that were carried from the bucket.
func (b *budget) spend(now time.Time, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.level = max(b.level-float64(bytes), -b.capacity)
}

// remaining returns the level as a fraction of the capacity, from -1 to 1.
func (b *budget) remaining(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.level / b.capacity
}

func (b *budget) refill(now time.Time) {
	if d := now.Sub(b.last); d > 0 {
		b.level = min(b.level+b.rate*d.Seconds(), b.capacity)
		b.last = now
	}
}

// scale returns how many of limit entries a message may have: all of them when
// the bucket is at least half full, none when it is empty, and a proportional
// number in between.
func (b *budget) scale(now time.Time, limit int) int {
	const allAbove = 0.5
	part := min(b.remaining(now)/allAbove, 1)
	return int(max(part, 0) * float64(limit))
}
