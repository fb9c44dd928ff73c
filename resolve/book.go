package resolve

import (
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// forgetAfter is how long a target that left is still named, so that it
	// is not taken for a new one when the list wavers.
	forgetAfter = time.Minute
	// doubtFor is how long readings must agree that most targets are gone.
	doubtFor = 30 * time.Second
	// suddenShare is the part of a service's targets whose loss in one
	// reading is doubted; a service of fewer than suddenLeast is not judged.
	suddenShare = 0.5
	suddenLeast = 3
)

// entry is what is known of one target of a service.
type entry struct {
	target table.Target
	// leavingSince is zero while the target takes new work.
	leavingSince time.Time
}

// service is what is known of one service.
type service struct {
	entries map[netip.AddrPort]*entry
	// doubtSince is when readings began to miss most targets, else zero.
	doubtSince time.Time
}

// book holds the services. It is not safe for concurrent use.
type book struct {
	services map[string]*service
}

func newBook() *book { return &book{services: map[string]*service{}} }

// take takes in a reading of one service and reports whether it changed what
// targets returns.
func (b *book) take(now time.Time, name string, listed []cloud.ListedHost) bool {
	s := b.services[name]
	if s == nil {
		s = &service{entries: map[netip.AddrPort]*entry{}}
		b.services[name] = s
	}
	at := lo.SliceToMap(listed, func(h cloud.ListedHost) (netip.AddrPort, cloud.ListedHost) { return h.Addr, h })
	changed := s.addListed(now, at)
	if s.doubts(now, at) {
		return changed
	}
	return s.dropUnlisted(now, at) || changed
}

// addListed adds new entries and notes which listed ones leave or came back.
func (s *service) addListed(now time.Time, at map[netip.AddrPort]cloud.ListedHost) bool {
	changed := false
	for addr, h := range at {
		e := s.entries[addr]
		target := table.Target{Addr: addr, FailureDomain: h.FailureDomain}
		if e == nil || e.target != target {
			e = &entry{target: target}
			s.entries[addr] = e
			changed = true
		}
		if h.Leaving != !e.leavingSince.IsZero() {
			e.leavingSince = lo.Ternary(h.Leaving, now, time.Time{})
			changed = true
		}
	}
	return changed
}

// doubts reports whether the reading misses so many targets that it is not
// believed yet.
func (s *service) doubts(now time.Time, at map[netip.AddrPort]cloud.ListedHost) bool {
	open, missing := 0, 0
	for addr, e := range s.entries {
		if !e.leavingSince.IsZero() {
			continue
		}
		open++
		if _, ok := at[addr]; !ok {
			missing++
		}
	}
	if open < suddenLeast || float64(missing) <= suddenShare*float64(open) {
		s.doubtSince = time.Time{}
		return false
	}
	if s.doubtSince.IsZero() {
		s.doubtSince = now
	}
	if now.Sub(s.doubtSince) < doubtFor {
		return true
	}
	s.doubtSince = time.Time{}
	return false
}

// dropUnlisted lets unlisted targets leave and forgets those that left long ago.
func (s *service) dropUnlisted(now time.Time, at map[netip.AddrPort]cloud.ListedHost) bool {
	changed := false
	for addr, e := range s.entries {
		_, ok := at[addr]
		switch {
		case ok:
		case e.leavingSince.IsZero():
			e.leavingSince = now
			changed = true
		case now.Sub(e.leavingSince) >= forgetAfter:
			delete(s.entries, addr)
			changed = true
		}
	}
	return changed
}

// targets returns the targets of a service and those of them that leave, both
// in address order.
func (b *book) targets(name string) (all []table.Target, leaving []netip.AddrPort) {
	s := b.services[name]
	if s == nil {
		return nil, nil
	}
	for addr, e := range s.entries {
		all = append(all, e.target)
		if !e.leavingSince.IsZero() {
			leaving = append(leaving, addr)
		}
	}
	slices.SortFunc(all, func(x, y table.Target) int { return x.Addr.Compare(y.Addr) })
	slices.SortFunc(leaving, netip.AddrPort.Compare)
	return all, leaving
}

// keep forgets the services that are not named.
func (b *book) keep(names []string) {
	for name := range b.services {
		if !slices.Contains(names, name) {
			delete(b.services, name)
		}
	}
}
