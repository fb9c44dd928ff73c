// Package registry tracks the targets that register themselves in the store.
// Targets write an entry, change it, announce that they leave, vanish, and
// return under the same name. A TargetTracker applies complete listings of the
// registry and decides which targets may take new work.
//
// An entry that is missing from a listing counts as removed at once, unless
// entries may have expired because the store itself was unavailable: then a
// missing target stays in use until the registry has been readable for
// missingGrace.
package registry

import (
	"net/netip"
	"time"
)

// Instance identifies one process of a target: a target that restarts under its
// name is another instance.
type Instance struct {
	// ID is the target's name.
	ID string
	// StartedMillis is the start time of the target's process in Unix
	// milliseconds.
	StartedMillis int64
}

// Entry is what one target writes about itself.
type Entry struct {
	Instance
	Service       string
	Addr          netip.AddrPort
	FailureDomain string
	// Slots is the number of requests that the target serves at once.
	Slots int
	// Leaving is true when the target takes no new work.
	Leaving bool
	// WarmupLeft is the rest of the target's warm-up, during which it is slow.
	WarmupLeft time.Duration
	// Sequence grows with every entry that one instance writes.
	Sequence int64
}

// Older reports whether e was written before other by the same target.
func (e Entry) Older(other Entry) bool {
	if e.StartedMillis != other.StartedMillis {
		return e.StartedMillis < other.StartedMillis
	}
	return e.Sequence < other.Sequence
}

// Target is a registered target.
type Target struct {
	Entry
	// WarmupEnd is when the target's warm-up ends.
	WarmupEnd time.Time
}

// Change is a change of whether or how a target may be used.
type Change struct {
	Target
	Kind ChangeKind
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The kinds of change.
const (
	// Joined means that a new instance takes work.
	Joined ChangeKind = iota + 1
	// Leaving means that the target announced that it leaves and takes no new
	// work.
	Leaving
	// Removed means that the target's entry has been removed.
	Removed
	// Missing means that the entry is absent after the registry was
	// unavailable; the target stays in use for now.
	Missing
	// Returned means that a missing or leaving target takes work again.
	Returned
	// WarmupChanged means that the target's warm-up ends at another time than was known.
	WarmupChanged
)

// minWarmupChange is the least change of the end of a warm-up that counts: ends that
// are computed from several entries differ by the time from writing to reading them.
const minWarmupChange = 500 * time.Millisecond

// WarmupMoved reports whether a warm-up ends at clearly another time than was known; a
// time that has passed is as good as any other.
func WarmupMoved(now, known, end time.Time) bool {
	left := func(end time.Time) time.Duration { return max(end.Sub(now), 0) }
	return (left(end) - left(known)).Abs() >= minWarmupChange
}

var changeNames = map[ChangeKind]string{
	Joined: "joined", Leaving: "leaving", Removed: "gone", Missing: "missing", Returned: "returned",
	WarmupChanged: "warm-up changed",
}

// String returns the kind as logs and metrics spell it.
func (k ChangeKind) String() string { return changeNames[k] }
