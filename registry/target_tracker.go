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
	// goneRetention is how long a target that has gone is remembered: longer than
	// a copy from which the store is restored is old.
	goneRetention = 2 * time.Minute
)

// goneTarget is a target whose entry was removed.
type goneTarget struct {
	Entry
	at time.Time
}

// trackedTarget is the state of one target in a TargetTracker.
type trackedTarget struct {
	Target
	// knownWarmupEnd is the end of the warm-up that the last change of it had.
	knownWarmupEnd time.Time
	// missing is true while the entry is absent and waited for.
	missing bool
}

// TargetTracker tracks the targets of the registry and decides which may take
// new work. It is not safe for concurrent use.
type TargetTracker struct {
	targets map[string]*trackedTarget
	// missing is the number of missing targets. All others were in the last listing.
	missing int
	gone    map[string]goneTarget
	// restored is true once the store was restored from an older copy: an entry of
	// a target that has gone may then be from the copy.
	restored bool
	// lastListing is the time of the last listing, readableSince that of the
	// first one after a gap.
	lastListing   time.Time
	readableSince time.Time
}

// NewTargetTracker returns an empty tracker.
func NewTargetTracker() *TargetTracker {
	return &TargetTracker{targets: map[string]*trackedTarget{}, gone: map[string]goneTarget{}}
}

// LastListing returns the time of the last listing, zero before the first.
func (tr *TargetTracker) LastListing() time.Time { return tr.lastListing }

// StoreRestored records that the store was restored from an older copy before a
// listing made at now. Entries may be missing from the copy until their targets
// write them again, and it may hold those of targets that have gone.
func (tr *TargetTracker) StoreRestored(now time.Time) {
	tr.readableSince, tr.restored = now, true
}

// Outdated reports whether an entry is from an older copy of the store: its
// target has gone and has not written since.
func (tr *TargetTracker) Outdated(e Entry) bool {
	g, ok := tr.gone[e.ID]
	return ok && tr.restored && !g.Older(e)
}

// remove removes a target and remembers it.
func (tr *TargetTracker) remove(now time.Time, t *trackedTarget) Change {
	tr.setMissing(t, false)
	delete(tr.targets, t.ID)
	tr.gone[t.ID] = goneTarget{Entry: t.Entry, at: now}
	return Change{Target: t.Target, Kind: Removed}
}

// ApplyListing applies a complete listing of the registry made at now and
// returns the changes, sorted by target ID.
func (tr *TargetTracker) ApplyListing(now time.Time, entries []Entry) []Change {
	if !tr.lastListing.IsZero() && now.Sub(tr.lastListing) > maxListingGap {
		tr.readableSince = now
	}
	before := tr.lastListing
	tr.lastListing = now
	maps.DeleteFunc(tr.gone, func(_ string, g goneTarget) bool { return now.Sub(g.at) > goneRetention })
	var changes []Change
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		if tr.Outdated(e) {
			continue
		}
		listed[e.ID] = true
		if kind, ok := tr.applyEntry(now, e); ok {
			changes = append(changes, Change{Target: tr.targets[e.ID].Target, Kind: kind})
		}
	}
	return sortByID(append(changes, tr.removeUnlisted(before, listed)...))
}

// ConfirmUnchanged applies a listing made at now that equals the last one,
// without its entries; it returns false when the listing has to be applied with
// ApplyListing.
func (tr *TargetTracker) ConfirmUnchanged(now time.Time) bool {
	if tr.lastListing.IsZero() || now.Sub(tr.lastListing) > maxListingGap || tr.missing > 0 {
		return false
	}
	tr.lastListing = now
	return true
}

// applyEntry applies an entry and returns the change that it makes, if any.
func (tr *TargetTracker) applyEntry(now time.Time, e Entry) (ChangeKind, bool) {
	old := tr.targets[e.ID]
	if old != nil && e.Older(old.Entry) {
		tr.setMissing(old, false)
		return 0, false
	}
	updated := &trackedTarget{Target: Target{Entry: e, WarmupEnd: now.Add(e.WarmupLeft)}}
	if old != nil && old.Instance == e.Instance && old.Sequence == e.Sequence {
		// The same entry as before: the warm-up is already running.
		updated.WarmupEnd = old.WarmupEnd
	}
	updated.knownWarmupEnd = updated.WarmupEnd
	wasMissing := old != nil && old.missing
	if wasMissing {
		tr.setMissing(old, false)
	}
	tr.targets[e.ID] = updated
	delete(tr.gone, e.ID)
	switch {
	case old == nil || old.Instance != e.Instance:
		return lo.Ternary(e.Leaving, Leaving, Joined), true
	case e.Leaving && !old.Leaving:
		return Leaving, true
	case !e.Leaving && (old.Leaving || wasMissing):
		return Returned, true
	case WarmupMoved(now, old.knownWarmupEnd, updated.WarmupEnd):
		return WarmupChanged, true
	}
	updated.knownWarmupEnd = old.knownWarmupEnd
	return 0, false
}

// setMissing marks a target as missing or not.
func (tr *TargetTracker) setMissing(t *trackedTarget, missing bool) {
	if t.missing != missing {
		t.missing = missing
		tr.missing += lo.Ternary(missing, 1, -1)
	}
}

// removeUnlisted removes targets whose entry is absent from the last listing, or
// marks them missing while they may return. before is the time of the listing before.
func (tr *TargetTracker) removeUnlisted(before time.Time, listed map[string]bool) []Change {
	var changes []Change
	now := tr.lastListing
	for id, t := range tr.targets {
		switch {
		case listed[id]:
		case t.missing && now.Before(tr.readableSince.Add(missingGrace)):
		case !t.missing && !t.Leaving && tr.mayHaveExpired(before, now):
			tr.setMissing(t, true)
			changes = append(changes, Change{Target: t.Target, Kind: Missing})
		default:
			changes = append(changes, tr.remove(now, t))
		}
	}
	return changes
}

// mayHaveExpired reports whether an entry that was last listed at a time may have
// expired in a gap that ended less than missingGrace ago.
func (tr *TargetTracker) mayHaveExpired(lastListed, now time.Time) bool {
	return lastListed.Before(tr.readableSince) && now.Before(tr.readableSince.Add(missingGrace))
}

// GraceEnd returns when the grace of missing entries ends; ok is false when
// none is missing.
func (tr *TargetTracker) GraceEnd() (at time.Time, ok bool) {
	if tr.missing == 0 {
		return time.Time{}, false
	}
	return tr.readableSince.Add(missingGrace), true
}

// RemoveExpired removes missing targets whose grace has ended and returns these
// changes.
func (tr *TargetTracker) RemoveExpired(now time.Time) []Change {
	if graceEnd, ok := tr.GraceEnd(); !ok || now.Before(graceEnd) {
		return nil
	}
	var changes []Change
	for _, t := range tr.targets {
		if t.missing {
			changes = append(changes, tr.remove(now, t))
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
func (tr *TargetTracker) Targets() map[string][]Target {
	out := map[string][]Target{}
	for _, id := range slices.Sorted(maps.Keys(tr.targets)) {
		if t := tr.targets[id]; !t.Leaving {
			out[t.Service] = append(out[t.Service], t.Target)
		}
	}
	return out
}
