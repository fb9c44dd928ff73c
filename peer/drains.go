package peer

import (
	"net/netip"
	"sync"
	"time"
)

// drainSpread is how long news of a leaving target is passed on.
const drainSpread = 10 * time.Second

// drainBook remembers the targets that were lately said to leave.
type drainBook struct {
	mu sync.Mutex
	// first maps a target to when the first host learned of it.
	first map[netip.AddrPort]time.Time
}

func newDrainBook() *drainBook {
	return &drainBook{first: map[netip.AddrPort]time.Time{}}
}

// learn records that a target was said to leave age ago; it returns true when
// this was news. News that is too old is not taken, so that a target that came
// back is not taken out again by what still goes round.
func (b *drainBook) learn(now time.Time, d drain) bool {
	if d.age > drainSpread {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	first := now.Add(-d.age)
	old, known := b.first[d.target]
	if known && first.Sub(old) <= drainSpread {
		return false
	}
	if !known && len(b.first) >= maxEntries {
		return false
	}
	b.first[d.target] = first
	return true
}

// current returns what is still to be passed on, and forgets the rest.
func (b *drainBook) current(now time.Time) []drain {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []drain
	for target, first := range b.first {
		switch age := now.Sub(first); {
		case age <= drainSpread:
			out = append(out, drain{target: target, age: age})
		case age > 2*drainSpread:
			delete(b.first, target)
		}
	}
	return out
}
