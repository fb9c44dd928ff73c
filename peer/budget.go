package peer

import (
	"sync"
	"time"
)

// budget is a token bucket over the bytes that the peer connections really
// carried. Bytes are taken after the fact, so the level may fall below zero.
type budget struct {
	mu       sync.Mutex
	rate     float64
	capacity float64
	level    float64
	last     time.Time
}

// budgetBurst is the time over which the budget evens out.
const budgetBurst = 2 * time.Second

func newBudget(bytesPerSecond int, now time.Time) *budget {
	capacity := float64(bytesPerSecond) * budgetBurst.Seconds()
	return &budget{rate: float64(bytesPerSecond), capacity: capacity, level: capacity, last: now}
}

// spend takes bytes that were carried.
func (b *budget) spend(now time.Time, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.level = max(b.level-float64(bytes), -b.capacity)
}

// left returns the level as a part of the capacity, from -1 to 1.
func (b *budget) left(now time.Time) float64 {
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

// part returns how many of limit entries fit at the present level: all of them
// above half, none at zero.
func (b *budget) part(now time.Time, limit int) int {
	const allAbove = 0.5
	part := min(b.left(now)/allAbove, 1)
	return int(max(part, 0) * float64(limit))
}
