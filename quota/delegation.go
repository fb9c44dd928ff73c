package quota

import "time"

// delegation decides to which quota host one host delegates its part of the quotas
// of one shard, and which it asks for tokens. It does no I/O and reads no clock.
//
// The host leaves a quota host by sending it no more delegations, and delegates to
// another only when the last one has ended. Until then it asks the old one, unless
// that failed.
type delegation struct {
	startedAt time.Time
	// host is the quota host in use, "" before the first.
	host   string
	failed bool
	// next is the quota host to change to.
	next string
	// changedAt is when host changed last.
	changedAt time.Time
	// delegatedAt is when the last delegation was sent.
	delegatedAt time.Time
}

// update chooses the quota host. preferred is the first host for the shard that
// didn't fail, responds is true when it is known to respond. The result is true
// when the quota host changed.
func (d *delegation) update(now time.Time, preferred string, responds bool) bool {
	switch {
	case d.host == "":
		// No delegation of this process is in force anywhere.
		d.host, d.changedAt = preferred, now
		return true
	case preferred == d.host && !d.failed:
		d.next = ""
	case preferred == d.host && responds:
		d.failed, d.next = false, ""
	case preferred != d.host && responds:
		d.next = preferred
	default:
		// Not known to respond: asking it comes first.
		d.next = ""
	}
	if d.next == "" || now.Sub(d.delegatedAt) < delegationValidity {
		return false
	}
	d.host, d.next, d.failed, d.changedAt = d.next, "", false, now
	return true
}

// unsettled reports whether the quota host has failed or is about to change.
func (d *delegation) unsettled() bool { return d.failed || d.next != "" || d.host == "" }

// needsContact reports whether the preferred host has to be asked whether it
// responds.
func (d *delegation) needsContact(preferred string) bool {
	return d.host != "" && (d.failed || preferred != d.host)
}

// delegatesTo returns the host to which a delegation may be sent now.
func (d *delegation) delegatesTo(now time.Time) (host string, ok bool) {
	return d.host, d.host != "" && !d.failed && d.next == "" && d.untilFirst(now) == 0
}

// untilFirst returns the time until the host may send its first delegation.
func (d *delegation) untilFirst(now time.Time) time.Duration {
	return max(0, d.startedAt.Add(firstDelegationDelay).Sub(now))
}

// sent records that a delegation was sent.
func (d *delegation) sent(now time.Time) { d.delegatedAt = now }

// fail records that a host doesn't answer.
func (d *delegation) fail(host string) {
	if d.host == host {
		d.failed = true
	}
	if d.next == host {
		d.next = ""
	}
}

// untilChange returns the time until another quota host may be used.
func (d *delegation) untilChange(now time.Time) time.Duration {
	return max(0, d.delegatedAt.Add(delegationValidity).Sub(now))
}
