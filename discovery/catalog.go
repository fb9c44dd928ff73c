package discovery

import (
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// removalDelay is how long a target that is listed no longer is kept as
	// draining, so that it is not taken for a new one when the list shows it
	// again.
	removalDelay = time.Minute
	// massRemovalDelay is how long the reads must agree that most targets of a
	// service are gone before their removal takes effect.
	massRemovalDelay = 30 * time.Second
	// massRemovalShare is the fraction of a service's targets above which
	// missing ones count as a mass removal. It applies to services with at
	// least massRemovalMinTargets targets that are not draining.
	massRemovalShare      = 0.5
	massRemovalMinTargets = 3
)

// trackedTarget is one target of a service and whether it is draining.
type trackedTarget struct {
	target table.Target
	// drainingSince is when the target began to drain; it is zero while the
	// target takes new requests.
	drainingSince time.Time
}

// service is the state of the targets of one service.
type service struct {
	targets map[netip.AddrPort]*trackedTarget
	// massRemovalSince is when the reads began to miss most targets; it is zero
	// while they don't.
	massRemovalSince time.Time
}

// catalog holds the targets of all services. It is not safe for concurrent use.
type catalog struct {
	services map[string]*service
}

func newCatalog() *catalog { return &catalog{services: map[string]*service{}} }

// update merges the list that was read for one service and reports whether it
// changed what targets returns.
func (c *catalog) update(now time.Time, name string, listed []cloud.ListedHost) bool {
	s := c.services[name]
	if s == nil {
		s = &service{targets: map[netip.AddrPort]*trackedTarget{}}
		c.services[name] = s
	}
	byAddr := lo.SliceToMap(listed, func(h cloud.ListedHost) (netip.AddrPort, cloud.ListedHost) { return h.Addr, h })
	changed := s.addListed(now, byAddr)
	if s.suspectsMassRemoval(now, byAddr) {
		return changed
	}
	return s.removeUnlisted(now, byAddr) || changed
}

// addListed adds the new targets of the list, updates which listed targets are
// draining, and reports whether anything changed.
func (s *service) addListed(now time.Time, byAddr map[netip.AddrPort]cloud.ListedHost) bool {
	changed := false
	for addr, h := range byAddr {
		t := s.targets[addr]
		target := table.Target{Addr: addr, FailureDomain: h.FailureDomain}
		if t == nil || t.target != target {
			t = &trackedTarget{target: target}
			s.targets[addr] = t
			changed = true
		}
		if h.Leaving != !t.drainingSince.IsZero() {
			t.drainingSince = lo.Ternary(h.Leaving, now, time.Time{})
			changed = true
		}
	}
	return changed
}

// suspectsMassRemoval reports whether the list misses so many targets that its
// removals must wait.
func (s *service) suspectsMassRemoval(now time.Time, byAddr map[netip.AddrPort]cloud.ListedHost) bool {
	active, missing := 0, 0
	for addr, t := range s.targets {
		if !t.drainingSince.IsZero() {
			continue
		}
		active++
		if _, ok := byAddr[addr]; !ok {
			missing++
		}
	}
	if active < massRemovalMinTargets || float64(missing) <= massRemovalShare*float64(active) {
		s.massRemovalSince = time.Time{}
		return false
	}
	if s.massRemovalSince.IsZero() {
		s.massRemovalSince = now
	}
	if now.Sub(s.massRemovalSince) < massRemovalDelay {
		return true
	}
	s.massRemovalSince = time.Time{}
	return false
}

// removeUnlisted marks unlisted targets as draining, removes those that have been
// draining for removalDelay, and reports whether anything changed.
func (s *service) removeUnlisted(now time.Time, byAddr map[netip.AddrPort]cloud.ListedHost) bool {
	changed := false
	for addr, t := range s.targets {
		_, ok := byAddr[addr]
		switch {
		case ok:
		case t.drainingSince.IsZero():
			t.drainingSince = now
			changed = true
		case now.Sub(t.drainingSince) >= removalDelay:
			delete(s.targets, addr)
			changed = true
		}
	}
	return changed
}

// targets returns all targets of a service and the addresses of those that are
// draining, both in address order.
func (c *catalog) targets(name string) (all []table.Target, draining []netip.AddrPort) {
	s := c.services[name]
	if s == nil {
		return nil, nil
	}
	for addr, t := range s.targets {
		all = append(all, t.target)
		if !t.drainingSince.IsZero() {
			draining = append(draining, addr)
		}
	}
	slices.SortFunc(all, func(x, y table.Target) int { return x.Addr.Compare(y.Addr) })
	slices.SortFunc(draining, netip.AddrPort.Compare)
	return all, draining
}

// retain removes the services that are not in names.
func (c *catalog) retain(names []string) {
	for name := range c.services {
		if !slices.Contains(names, name) {
			delete(c.services, name)
		}
	}
}
