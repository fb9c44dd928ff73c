package handoff

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/chestnutfield/chestnutfield/owner"
	"github.com/chestnutfield/chestnutfield/ports"
)

// attempt is one request handed to an owner. It implements ports.PeerAttempt.
type attempt struct {
	shard   *shard
	group   owner.Group
	addr    netip.AddrPort
	metrics *metrics
	done    atomic.Bool
}

// Target returns the address of the owner.
func (a *attempt) Target() netip.AddrPort { return a.addr }

// Group returns the group that the owner is to dispatch to.
func (a *attempt) Group() (string, bool) { return a.group.String(), true }

// Done ends the attempt and learns from its feedback.
func (a *attempt) Done(now time.Time, d ports.Feedback) {
	if a.done.Swap(true) {
		return
	}
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	a.shard.chooser.Done(a.group)
	if d.ConnectFailed {
		a.metrics.unreachable.Inc()
		a.shard.chooser.Unreachable(now, a.group)
		return
	}
	if d.Verdict == ports.Succeeded || d.GroupLoad != "" {
		a.shard.chooser.Reached(a.group)
	}
	if d.GroupLoad == "" {
		return
	}
	r, err := ParseReport(d.GroupLoad)
	if err != nil || !a.shard.chooser.Learn(now, a.group, r) {
		a.metrics.badReports.Inc()
	}
}
