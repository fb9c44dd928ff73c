package probe

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is this host's place among the hosts that share the budget.
type Position struct {
	// Index is the place in the sorted membership, negative when this host
	// isn't listed; it then sends no probes.
	Index int
	// Share is the number of hosts that the budget is divided by.
	HostCount int
}

// NewView returns the place of a host in a membership. The number of listed
// hosts counts where it is higher than share.
func NewPosition(host string, hosts []string, shareCount int) Position {
	return Position{Index: slices.Index(hosts, host), HostCount: max(shareCount, len(hosts), 1)}
}

// Target is an address with its budget.
type Target struct {
	Pool string
	Addr netip.AddrPort
	// Budget is the number of probes a second, all hosts together.
	Budget float64
	// LoadPath and HealthPath are the paths to ask, "" for none.
	LoadPath, HealthPath string
}

// Scheduler decides when this host may probe which target. It is pure and not
// safe for concurrent use.
type Scheduler struct {
	// last is the time of the last probe of a target.
	last map[netip.AddrPort]time.Time
}

// NewScheduler returns a scheduler that has probed nothing.
func NewScheduler() *Scheduler {
	return &Scheduler{last: map[netip.AddrPort]time.Time{}}
}

// slotWidth is the time of one slot: budgets are undercut by one probe a
// second, or by half below two, so that a probe early in its slot after one
// late in its own stays within the budget.
func slotWidth(budget float64) time.Duration {
	return time.Duration(float64(time.Second) / max(budget-1, budget/2))
}

// Open reports whether this host may probe the target now, and when its next
// slot begins.
func (s *Scheduler) Open(now time.Time, pos Position, t Target) (open bool, next time.Time) {
	if t.Budget <= 0 || pos.Index < 0 {
		return false, now.Add(time.Second)
	}
	width := slotWidth(t.Budget)
	round := width * time.Duration(pos.HostCount)
	phase := width*time.Duration(pos.Index) + time.Duration(xxhash.Sum64String(t.Addr.String())%uint64(round))
	offset := (time.Duration(now.UnixNano()) - phase) % round
	if offset < 0 {
		offset += round
	}
	next = now.Add(round - offset)
	last, probed := s.last[t.Addr]
	// A round that grew or an index that moved must not shorten the gap.
	paced := !probed || now.Sub(last) >= round-width/2
	return offset < width/2 && paced, next
}

// Probed records a probe.
func (s *Scheduler) RecordProbe(now time.Time, addr netip.AddrPort) { s.last[addr] = now }

// Retain forgets targets that are not listed.
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
