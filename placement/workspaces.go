package placement

import (
	"cmp"
	"time"
)

const (
	// maxWorkspaces bounds the workspaces that a partition counts one by one; the
	// requests of all further ones are counted together.
	maxWorkspaces = 4096
	// workspaceRetention is the time after which a workspace without requests is
	// forgotten: its rates have decayed to a twentieth by then.
	workspaceRetention = 3 * fairnessWindow
	// workspaceSweepInterval is the time between two searches for workspaces to
	// forget; one takes some 0.1 ms for maxWorkspaces.
	workspaceSweepInterval = time.Second
	// overServedRatio is the multiple of its weight's part from which a workspace has
	// received clearly more than that. The parts of equal workspaces differ by some
	// 10 % by chance.
	overServedRatio = 1.25
	// minOverServed is the number of requests in fairnessWindow by which it must have
	// received more: one request more is several times the part of a small workspace.
	minOverServed = 5.0
	// otherWorkspaces is the name under which requests of further workspaces, and
	// those without a workspace, are counted.
	otherWorkspaces = ""
)

// workspaceCounts holds the recent requests of one workspace.
type workspaceCounts struct {
	// first counts first attempts, served all attempts that were sent to a target.
	first  rankCounts
	served eventRate
	// weight is the quota of the workspace, 0 when it has none.
	weight float64
	seenAt time.Time
	// standing is valid for the sorting with the number sortedIn.
	standing standing
	sortedIn uint64
}

// standing is what a workspace has received compared with the others.
type standing struct {
	// starved is true when far fewer of its requests are placed than of all, over
	// when it has received clearly more than its weight's part.
	starved, over bool
	// served is the number of requests a second that it received, waiters before
	// the present one included.
	served float64
}

// workspaces counts the requests of the workspaces of a partition. The load that it
// answers is one workspace that sends several times its usual rate, or all of
// them more than can be served. It does no I/O and reads no clock.
type workspaces struct {
	known map[string]*workspaceCounts
	// weights is the sum of the weights of known workspaces; anyQuota is true when
	// one of them has a quota.
	weights  float64
	anyQuota bool
	served   eventRate
	sweptAt  time.Time
	// sortings numbers the sortings of the queue.
	sortings uint64
}

func newWorkspaces() workspaces {
	return workspaces{known: map[string]*workspaceCounts{}, served: eventRate{window: fairnessWindow}}
}

// inUse reports whether requests of any workspace arrived lately.
func (s *workspaces) inUse() bool { return len(s.known) > 0 }

// effectiveWeight is the weight by which a workspace is compared with others.
func (c *workspaceCounts) effectiveWeight() float64 { return cmp.Or(c.weight, 1) }

// lookup returns the counts of a workspace, nil when it is unknown and the
// request's counts are kept with those of all others.
func (s *workspaces) lookup(name string) *workspaceCounts {
	if c := s.known[name]; c != nil {
		return c
	}
	return s.known[otherWorkspaces]
}

// countRequest counts an arriving first attempt.
func (s *workspaces) countRequest(now time.Time, name string, weight float64) {
	if name == otherWorkspaces && !s.inUse() {
		return
	}
	s.sweep(now)
	if s.known[name] == nil && len(s.known) >= maxWorkspaces {
		name = otherWorkspaces
	}
	c := s.known[name]
	if c == nil {
		c = &workspaceCounts{first: *newRankCounts(), served: eventRate{window: fairnessWindow}}
		s.known[name] = c
		s.weights += c.effectiveWeight()
	}
	if name != otherWorkspaces && weight != c.weight {
		before := c.effectiveWeight()
		c.weight = weight
		s.weights += c.effectiveWeight() - before
		s.anyQuota = s.anyQuota || weight > 0
	}
	c.seenAt = now
	c.first.requested.count(now)
}

// countPlacement counts an attempt that was sent to a target.
func (s *workspaces) countPlacement(now time.Time, name string, first bool) {
	c := s.lookup(name)
	if c == nil {
		return
	}
	c.served.count(now)
	s.served.count(now)
	if first {
		c.first.placed.count(now)
	}
}

// sweep forgets the workspaces that sent nothing for workspaceRetention.
func (s *workspaces) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < workspaceSweepInterval {
		return
	}
	s.sweptAt, s.weights, s.anyQuota = now, 0, false
	for name, c := range s.known {
		if now.Sub(c.seenAt) > workspaceRetention {
			delete(s.known, name)
			continue
		}
		s.weights += c.effectiveWeight()
		s.anyQuota = s.anyQuota || c.weight > 0
	}
}

// beginSorting makes standings be computed anew.
func (s *workspaces) beginSorting() { s.sortings++ }

// next returns the standing of the next waiter of a workspace in the present
// sorting: each counts as if those before it had been placed, so that workspaces
// with the same standing take turns.
func (s *workspaces) next(now time.Time, name string, placedShare float64) standing {
	c := s.lookup(name)
	if c == nil {
		return standing{}
	}
	if c.sortedIn != s.sortings {
		c.sortedIn = s.sortings
		c.standing = s.compare(now, c, placedShare)
	} else {
		c.standing.served += 1 / fairnessWindow.Seconds() / c.effectiveWeight()
	}
	return c.standing
}

// compare returns the standing of a workspace; placedShare is the fraction of all
// recent requests that were placed.
//
// A workspace is starved when less than starvationRatio of that fraction of its
// requests is placed. Requests beyond its weight's part of what all received
// don't count: otherwise a workspace would gain by sending more. One without
// a quota among others that have one has no meaningful weight, so that all of its
// requests count.
func (s *workspaces) compare(now time.Time, c *workspaceCounts, placedShare float64) standing {
	served, entitled := c.served.rate(now), s.served.rate(now)*c.effectiveWeight()/s.weights
	out := standing{over: served > overServedRatio*entitled+minOverServed/fairnessWindow.Seconds(), served: served / c.effectiveWeight()}
	wanted := c.first.requested.rate(now)
	if wanted*fairnessWindow.Seconds() < minRankRequests || len(s.known) < 2 {
		return out
	}
	if c.weight > 0 || !s.anyQuota {
		wanted = min(wanted, entitled)
	}
	out.starved = c.first.placed.rate(now) < starvationRatio*placedShare*wanted
	return out
}
