package backpressure

import (
	"maps"
	"time"

	"github.com/chestnutfield/chestnutfield/registry"
)

// ExtendWarmup records that a target stays cold until a time, as it said in a response
// or as another host says. It returns false when a later or equal end was known: of
// several ends the latest holds.
func (b *Book) ExtendWarmup(now time.Time, instance registry.Instance, until time.Time) bool {
	s := b.shard(instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !until.After(s.warmups[instance]) || !until.After(now) {
		return false
	}
	if len(s.warmups) >= maxShardEntries {
		maps.DeleteFunc(s.warmups, func(_ registry.Instance, until time.Time) bool { return !now.Before(until) })
	}
	s.warmups[instance] = until
	return true
}

// WarmupEnd returns the end of a target's warm-up by ExtendWarmup; zero when there is
// none.
func (b *Book) WarmupEnd(instance registry.Instance) time.Time {
	s := b.shard(instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmups[instance]
}
