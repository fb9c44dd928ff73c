package backpressure

import (
	"hash/maphash"
	"maps"
	"sync"
	"time"

	"github.com/chestnutfield/chestnutfield/registry"
)

const (
	bookShards = 16
	// retention is how long an observation is kept after it was heard: a target
	// that is missing from the registry for a while may still have its limit when
	// it returns.
	retention = 5 * time.Minute
	// maxShardEntries bounds the observations in a shard.
	maxShardEntries = 1024
)

// Book holds the latest observation of each target that has asked for less, and the
// targets that want no request from this host for a while. It is safe for
// concurrent use.
type Book struct {
	seed   maphash.Seed
	shards [bookShards]bookShard
}

type bookShard struct {
	mu      sync.Mutex
	entries map[registry.Instance]Observation
	// pauses holds until when targets want no request from this host.
	pauses map[registry.Instance]time.Time
	// warmups holds the ends of warm-ups that responses or other hosts told.
	warmups map[registry.Instance]time.Time
}

// NewBook returns an empty book.
func NewBook() *Book {
	b := &Book{seed: maphash.MakeSeed()}
	for i := range b.shards {
		b.shards[i].entries = map[registry.Instance]Observation{}
		b.shards[i].pauses = map[registry.Instance]time.Time{}
		b.shards[i].warmups = map[registry.Instance]time.Time{}
	}
	return b
}

func (b *Book) shard(instance registry.Instance) *bookShard {
	return &b.shards[maphash.String(b.seed, instance.ID)%bookShards]
}

// Record merges an observation into the book. It returns the one that holds now
// and whether that says something new of the target. A target that has never
// asked for less is not entered.
func (b *Book) Record(instance registry.Instance, o Observation) (now Observation, changed bool) {
	s := b.shard(instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.entries[instance]
	if !found {
		if !o.Limited && !o.Leaving {
			return o, false
		}
		s.makeRoom(o.HeardAt)
		s.entries[instance] = o
		return o, true
	}
	merged := Merge(known, o)
	s.entries[instance] = merged
	return merged, !merged.Same(known)
}

// Lookup returns the observation of a target; ok is false when it has never
// asked for less.
func (b *Book) Lookup(instance registry.Instance) (o Observation, ok bool) {
	s := b.shard(instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok = s.entries[instance]
	return o, ok
}

// Pause records that a target wants no request from this host until a time; false
// when it said so before for as long or longer.
func (b *Book) Pause(now time.Time, instance registry.Instance, until time.Time) bool {
	s := b.shard(instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !until.After(s.pauses[instance]) {
		return false
	}
	if len(s.pauses) >= maxShardEntries {
		maps.DeleteFunc(s.pauses, func(_ registry.Instance, until time.Time) bool { return !now.Before(until) })
	}
	s.pauses[instance] = until
	return true
}

// PausedUntil returns until when a target wants no request from this host; zero
// when it never said so.
func (b *Book) PausedUntil(instance registry.Instance) time.Time {
	s := b.shard(instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pauses[instance]
}

// makeRoom drops entries that are past their retention and, when the shard is
// still full, the oldest one. The caller holds the lock.
func (s *bookShard) makeRoom(now time.Time) {
	if len(s.entries) < maxShardEntries {
		return
	}
	var oldest registry.Instance
	var oldestAt time.Time
	for instance, o := range s.entries {
		switch {
		case now.Sub(o.HeardAt) > retention:
			delete(s.entries, instance)
		case oldestAt.IsZero() || o.HeardAt.Before(oldestAt):
			oldest, oldestAt = instance, o.HeardAt
		}
	}
	if len(s.entries) >= maxShardEntries {
		delete(s.entries, oldest)
	}
}
