package registry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

const (
	// returnGrace is how long after the register came back an entry that
	// lapsed meanwhile is waited for: targets write again within about two
	// seconds of the store's return. It ends before a host that was cut off
	// alone has to know of every target that left meanwhile.
	returnGrace = 2 * time.Second
	// gapAfter is the time without a reading after which entries may have
	// lapsed: it is shorter than the three heartbeats after which they do.
	gapAfter = 2500 * time.Millisecond
)

// known is what the book holds of one target.
type known struct {
	Target
	// listedAt is when the entry was last in a reading.
	listedAt time.Time
	// missing is true while the entry is missing and waited for.
	missing bool
}

// Book decides which targets may take new work. It is not safe for concurrent
// use.
type Book struct {
	targets map[string]*known
	// lastRead is the time of the last reading, backSince that of the first
	// one after a gap.
	lastRead  time.Time
	backSince time.Time
}

// NewBook returns a book that knows no target.
func NewBook() *Book { return &Book{targets: map[string]*known{}} }

// LastRead returns the time of the last reading, zero before the first.
func (b *Book) LastRead() time.Time { return b.lastRead }

// Take takes in a whole reading of the register made at now and returns what
// has changed, in order of name.
func (b *Book) Take(now time.Time, entries []Entry) []Change {
	if !b.lastRead.IsZero() && now.Sub(b.lastRead) > gapAfter {
		b.backSince = now
	}
	b.lastRead = now
	var changes []Change
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		if kind, ok := b.list(now, e); ok {
			changes = append(changes, Change{Target: b.targets[e.ID].Target, Kind: kind})
		}
	}
	return sorted(append(changes, b.dropUnlisted(now, listed)...))
}

// Unchanged takes in a reading made at now that holds what the last one did;
// false when that has to be taken in whole.
func (b *Book) Unchanged(now time.Time) bool {
	if b.lastRead.IsZero() || now.Sub(b.lastRead) > gapAfter {
		return false
	}
	for _, k := range b.targets {
		if k.missing {
			return false
		}
	}
	b.lastRead = now
	for _, k := range b.targets {
		k.listedAt = now
	}
	return true
}

// list takes in an entry and says what it changed.
func (b *Book) list(now time.Time, e Entry) (ChangeKind, bool) {
	before := b.targets[e.ID]
	if before != nil && e.Older(before.Entry) {
		before.missing, before.listedAt = false, now
		return 0, false
	}
	after := &known{Target: Target{Entry: e, ColdUntil: now.Add(e.ColdFor)}, listedAt: now}
	if before != nil && before.Instance == e.Instance && before.Sequence == e.Sequence {
		// The same entry as before: the target has warmed up since.
		after.ColdUntil = before.ColdUntil
	}
	b.targets[e.ID] = after
	switch {
	case before == nil || before.Instance != e.Instance:
		return lo.Ternary(e.Leaving, Left, Joined), true
	case e.Leaving && !before.Leaving:
		return Left, true
	case !e.Leaving && (before.Leaving || before.missing):
		return Returned, true
	}
	return 0, false
}

// dropUnlisted forgets targets whose entry is gone, or marks them missing
// while they may come back.
func (b *Book) dropUnlisted(now time.Time, listed map[string]bool) []Change {
	var changes []Change
	for id, k := range b.targets {
		switch {
		case listed[id]:
		case k.missing && now.Before(b.backSince.Add(returnGrace)):
		case !k.missing && !k.Leaving && b.mayHaveLapsed(now, k):
			k.missing = true
			changes = append(changes, Change{Target: k.Target, Kind: Missing})
		default:
			delete(b.targets, id)
			changes = append(changes, Change{Target: k.Target, Kind: Gone})
		}
	}
	return changes
}

// mayHaveLapsed says that a missing entry was last seen before a gap that
// ended a short time ago.
func (b *Book) mayHaveLapsed(now time.Time, k *known) bool {
	return k.listedAt.Before(b.backSince) && now.Before(b.backSince.Add(returnGrace))
}

// WaitsUntil returns when the wait for missing entries ends; ok is false when
// none is waited for.
func (b *Book) WaitsUntil() (at time.Time, ok bool) {
	for _, k := range b.targets {
		if k.missing {
			return b.backSince.Add(returnGrace), true
		}
	}
	return time.Time{}, false
}

// Expire gives up on missing entries whose time has passed.
func (b *Book) Expire(now time.Time) []Change {
	if until, ok := b.WaitsUntil(); !ok || now.Before(until) {
		return nil
	}
	var changes []Change
	for id, k := range b.targets {
		if k.missing {
			delete(b.targets, id)
			changes = append(changes, Change{Target: k.Target, Kind: Gone})
		}
	}
	return sorted(changes)
}

func sorted(changes []Change) []Change {
	slices.SortFunc(changes, func(x, y Change) int { return strings.Compare(x.ID, y.ID) })
	return changes
}

// Targets returns the targets that may take new work, by service, each list
// in order of name.
func (b *Book) Targets() map[string][]Target {
	out := map[string][]Target{}
	for _, id := range slices.Sorted(maps.Keys(b.targets)) {
		if k := b.targets[id]; !k.Leaving {
			out[k.Service] = append(out[k.Service], k.Target)
		}
	}
	return out
}
