package registry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

const (
	// missingGrace is how long a missing entry is waited for after the registry
	// has become readable again: targets write again within about two seconds
	// of the store's return. The grace ends before a host that alone was cut
	// off has to know of every target that left meanwhile.
	missingGrace = 2 * time.Second
	// maxListingGap is the time between two listings from which entries may
	// have expired: it is shorter than the three heartbeats after which they
	// do.
	maxListingGap = 2500 * time.Millisecond
)

// trackedTarget is the state of one target in a Book.
type trackedTarget struct {
	Target
	// lastListedAt is the time of the last listing with the entry.
	lastListedAt time.Time
	// missing is true while the entry is absent and waited for.
	missing bool
}

// Book tracks the targets of the registry and decides which may take new work.
// It is not safe for concurrent use.
type Book struct {
	targets map[string]*trackedTarget
	// lastListing is the time of the last listing, readableSince that of the
	// first one after a gap.
	lastListing   time.Time
	readableSince time.Time
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{targets: map[string]*trackedTarget{}} }

// LastRead returns the time of the last listing, zero before the first.
func (b *Book) LastRead() time.Time { return b.lastListing }

// Take applies a complete listing of the registry made at now and returns the
// changes, sorted by target ID.
func (b *Book) Take(now time.Time, entries []Entry) []Change {
	if !b.lastListing.IsZero() && now.Sub(b.lastListing) > maxListingGap {
		b.readableSince = now
	}
	b.lastListing = now
	var changes []Change
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		if kind, ok := b.applyEntry(now, e); ok {
			changes = append(changes, Change{Target: b.targets[e.ID].Target, Kind: kind})
		}
	}
	return sortByID(append(changes, b.removeUnlisted(now, listed)...))
}

// Unchanged applies a listing made at now that equals the last one, without its
// entries; it returns false when the listing has to be applied with Take.
func (b *Book) Unchanged(now time.Time) bool {
	if b.lastListing.IsZero() || now.Sub(b.lastListing) > maxListingGap {
		return false
	}
	for _, t := range b.targets {
		if t.missing {
			return false
		}
	}
	b.lastListing = now
	for _, t := range b.targets {
		t.lastListedAt = now
	}
	return true
}

// applyEntry applies an entry and returns the change that it makes, if any.
func (b *Book) applyEntry(now time.Time, e Entry) (ChangeKind, bool) {
	old := b.targets[e.ID]
	if old != nil && e.Older(old.Entry) {
		old.missing, old.lastListedAt = false, now
		return 0, false
	}
	updated := &trackedTarget{Target: Target{Entry: e, ColdUntil: now.Add(e.ColdFor)}, lastListedAt: now}
	if old != nil && old.Instance == e.Instance && old.Sequence == e.Sequence {
		// The same entry as before: the warm-up is already running.
		updated.ColdUntil = old.ColdUntil
	}
	b.targets[e.ID] = updated
	switch {
	case old == nil || old.Instance != e.Instance:
		return lo.Ternary(e.Leaving, Left, Joined), true
	case e.Leaving && !old.Leaving:
		return Left, true
	case !e.Leaving && (old.Leaving || old.missing):
		return Returned, true
	}
	return 0, false
}

// removeUnlisted removes targets whose entry is absent, or marks them missing
// while they may return.
func (b *Book) removeUnlisted(now time.Time, listed map[string]bool) []Change {
	var changes []Change
	for id, t := range b.targets {
		switch {
		case listed[id]:
		case t.missing && now.Before(b.readableSince.Add(missingGrace)):
		case !t.missing && !t.Leaving && b.mayHaveExpired(now, t):
			t.missing = true
			changes = append(changes, Change{Target: t.Target, Kind: Missing})
		default:
			delete(b.targets, id)
			changes = append(changes, Change{Target: t.Target, Kind: Gone})
		}
	}
	return changes
}

// mayHaveExpired reports whether a missing entry was last listed before a gap
// that ended less than missingGrace ago.
func (b *Book) mayHaveExpired(now time.Time, t *trackedTarget) bool {
	return t.lastListedAt.Before(b.readableSince) && now.Before(b.readableSince.Add(missingGrace))
}

// WaitsUntil returns when the grace of missing entries ends; ok is false when
// none is missing.
func (b *Book) WaitsUntil() (at time.Time, ok bool) {
	for _, t := range b.targets {
		if t.missing {
			return b.readableSince.Add(missingGrace), true
		}
	}
	return time.Time{}, false
}

// Expire removes missing targets whose grace has ended and returns these
// changes.
func (b *Book) Expire(now time.Time) []Change {
	if until, ok := b.WaitsUntil(); !ok || now.Before(until) {
		return nil
	}
	var changes []Change
	for id, t := range b.targets {
		if t.missing {
			delete(b.targets, id)
			changes = append(changes, Change{Target: t.Target, Kind: Gone})
		}
	}
	return sortByID(changes)
}

func sortByID(changes []Change) []Change {
	slices.SortFunc(changes, func(x, y Change) int { return strings.Compare(x.ID, y.ID) })
	return changes
}

// Targets returns the targets that may take new work, by service, each list
// sorted by ID.
func (b *Book) Targets() map[string][]Target {
	out := map[string][]Target{}
	for _, id := range slices.Sorted(maps.Keys(b.targets)) {
		if t := b.targets[id]; !t.Leaving {
			out[t.Service] = append(out[t.Service], t.Target)
		}
	}
	return out
}
