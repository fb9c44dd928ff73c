package probe

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Position is the position of this host among the hosts that share the budget.
type Position struct {
	// Index is the index in the sorted membership. It is negative when this host
	// isn't listed; the host then sends no probes.
	Index int
	// HostCount is the number of hosts that the budget is divided by.
	HostCount int
}

// NewPosition returns the position of a host among the sorted hosts. The budget is
// divided by shareDivisor or the number of hosts, whichever is higher.
func NewPosition(host string, hosts []string, shareDivisor int) Position {
	return Position{Index: slices.Index(hosts, host), HostCount: max(shareDivisor, len(hosts), 1)}
}

// Target is a target with its probe budget.
type Target struct {
	Pool string
	Addr netip.AddrPort
	// Budget is the number of probes per second from all hosts together.
	Budget float64
	// OwnerBudget is the number of probes per second that the host which owns the
	// target's group may send besides, 0 for none; FailureDomain names the group.
	OwnerBudget   float64
	FailureDomain string
	// LoadPath and HealthPath are the paths to request, "" for none.
	LoadPath, HealthPath string
}

// withBudgetOf returns the target with the lower of its total budget and that of
// another pool's entry for it. Half of it is the owner's when either entry has such a
// part.
func (t Target) withBudgetOf(other Target) Target {
	total := min(t.Budget+t.OwnerBudget, other.Budget+other.OwnerBudget)
	if t.OwnerBudget+other.OwnerBudget > 0 {
		t.Budget, t.OwnerBudget = total/2, total/2
		return t
	}
	t.Budget = total
	return t
}

// Scheduler decides when this host may probe which target. It does no I/O, reads
// no clock and is not safe for concurrent use.
type Scheduler struct {
	// last is the time of the last probe of each target.
	last map[netip.AddrPort]time.Time
}

// NewScheduler returns a Scheduler without recorded probes.
func NewScheduler() *Scheduler {
	return &Scheduler{last: map[netip.AddrPort]time.Time{}}
}

// timeSlotWidth returns the length of one time slot. It leaves one probe per second
// of the budget unused, or half of a budget below two. The budget thus also holds
// in a second whose first probe is late in its time slot and whose last is early.
func timeSlotWidth(budget float64) time.Duration {
	return time.Duration(float64(time.Second) / max(budget-1, budget/2))
}

// Open reports whether this host may probe the target now, and when its next time
// slot starts or, if it has none, when to check again.
func (s *Scheduler) Open(now time.Time, pos Position, t Target) (open bool, next time.Time) {
	if t.Budget <= 0 || pos.Index < 0 {
		return false, now.Add(time.Second)
	}
	width := timeSlotWidth(t.Budget)
	cycle := width * time.Duration(pos.HostCount)
	start := width*time.Duration(pos.Index) + time.Duration(xxhash.Sum64String(t.Addr.String())%uint64(cycle))
	offset := (time.Duration(now.UnixNano()) - start) % cycle
	if offset < 0 {
		offset += cycle
	}
	next = now.Add(cycle - offset)
	last, probed := s.last[t.Addr]
	// A longer cycle or a changed index must not shorten the time between probes.
	spaced := !probed || now.Sub(last) >= cycle-width/2
	return offset < width/2 && spaced, next
}

// RecordProbe records that the target at addr was probed now.
func (s *Scheduler) RecordProbe(now time.Time, addr netip.AddrPort) { s.last[addr] = now }

// Retain drops the recorded probes of all targets that are not listed.
func (s *Scheduler) Retain(targets []Target) {
	keep := make(map[netip.AddrPort]struct{}, len(targets))
	for _, t := range targets {
		keep[t.Addr] = struct{}{}
	}
	for addr := range s.last {
		if _, ok := keep[addr]; !ok {
			delete(s.last, addr)
		}
	}
}
