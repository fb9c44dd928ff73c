package owner

import "time"

// Tenure tells since when this host is the owner of a group, and whether it is
// certain to be the only one. Two hosts that hold their membership lease count each
// other and so choose the same owner; a host without it may be one of several.
type Tenure struct {
	since     time.Time
	confirmed bool
}

// Update records whether this host is the owner by its list of members, and whether it
// holds its membership lease. It must be called more often than another host can
// acquire the lease.
func (t *Tenure) Update(now time.Time, owns, leaseHeld bool) {
	switch {
	case !owns:
		*t = Tenure{}
	case t.since.IsZero() || t.confirmed != leaseHeld:
		*t = Tenure{since: now, confirmed: leaseHeld}
	}
}

// Since returns since when this host is the owner with the present certainty, zero when
// it is not.
func (t *Tenure) Since() time.Time { return t.since }

// Confirmed reports whether this host is the only owner.
func (t *Tenure) Confirmed() bool { return t.confirmed }
