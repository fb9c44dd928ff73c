// Package registry keeps what targets say of themselves: targets register in
// a store, change their entry, announce that they leave, vanish, and come back
// under the name they had. A Book takes whole readings of the register and
// decides which targets may take new work.
//
// An entry that is missing from a reading is believed gone at once, unless
// entries may have lapsed because the store itself was away: then a missing
// target stays in use until the register has been readable for returnGrace.
package registry

import (
	"net/netip"
	"time"
)

// Instance names one run of a target: a target that starts again under its
// name is another instance.
type Instance struct {
	// ID is the target's name.
	ID string
	// Born is when the target's process started, in Unix milliseconds.
	Born int64
}

// Entry is what one target says of itself.
type Entry struct {
	Instance
	Service       string
	Addr          netip.AddrPort
	FailureDomain string
	// Slots is the number of requests that the target serves at once.
	Slots int
	// Leaving is true when the target takes no new work.
	Leaving bool
	// ColdFor is how much longer the target is slow after its start.
	ColdFor time.Duration
	// Sequence grows with every entry that one instance writes.
	Sequence int64
}

// Older reports whether e was written before other by the same target.
func (e Entry) Older(other Entry) bool {
	if e.Born != other.Born {
		return e.Born < other.Born
	}
	return e.Sequence < other.Sequence
}

// Target is a registered target as it may be used.
type Target struct {
	Entry
	// ColdUntil is when the target reaches its full speed.
	ColdUntil time.Time
}

// Change is a target whose use has changed.
type Change struct {
	Target
	Kind ChangeKind
}

// ChangeKind says what became of a target.
type ChangeKind uint8

// The kinds of change.
const (
	// Joined: a new instance takes work.
	Joined ChangeKind = iota + 1
	// Left: the target announced that it leaves.
	Left
	// Gone: the target's entry is gone.
	Gone
	// Missing: the entry is missing after the register was out of reach; the
	// target stays in use for now.
	Missing
	// Returned: a missing or leaving target takes work again.
	Returned
)

var changeNames = map[ChangeKind]string{
	Joined: "joined", Left: "leaving", Gone: "gone", Missing: "missing", Returned: "returned",
}

// String returns the kind as logs and metrics spell it.
func (k ChangeKind) String() string { return changeNames[k] }
