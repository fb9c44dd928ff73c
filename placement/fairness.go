package placement

import (
	"time"

	"github.com/chestnutfield/chestnutfield/lb"
)

const (
	// starvationRatio is the part of the pool's share of placed requests below
	// which a rank counts as starved. Routes must be served at least a quarter
	// as often as all routes together; the ratio is higher because a waiting
	// request needs some time to be placed.
	starvationRatio = 0.4
	// fairnessWindow is the time over which requests of a rank are counted:
	// several times what a caller waits, so that a burst alone starves no rank.
	fairnessWindow = 5 * time.Second
	// minRankRequests is the number of requests of a rank in fairnessWindow
	// below which the rank never counts as starved.
	minRankRequests = 5.0
)

// rankCounts holds the rates of requests of one rank that arrived and that were
// placed.
type rankCounts struct{ requested, placed eventRate }

// fairness finds the ranks of a partition that are starved: while routes of
// several ranks overload a pool for seconds, strict priority by rank would leave
// nothing for the lower ranks. It does no I/O and reads no clock.
type fairness struct {
	ranks      map[int]*rankCounts
	total      rankCounts
	workspaces workspaces
}

func newFairness() fairness {
	return fairness{ranks: map[int]*rankCounts{}, total: *newRankCounts(), workspaces: newWorkspaces()}
}

// starvation returns what sortWaiters needs.
func (f *fairness) starvation(now time.Time) starvation {
	return starvation{
		starved:    func(rank int) bool { return f.isStarved(now, rank) },
		workspaces: &f.workspaces, placedShare: f.total.placedShare(now),
	}
}

func (f *fairness) countsOf(rank int) *rankCounts {
	c := f.ranks[rank]
	if c == nil {
		c = newRankCounts()
		f.ranks[rank] = c
	}
	return c
}

func newRankCounts() *rankCounts {
	return &rankCounts{requested: eventRate{window: fairnessWindow}, placed: eventRate{window: fairnessWindow}}
}

// countRequest counts an arriving request.
func (f *fairness) countRequest(now time.Time, q lb.PlaceQuery) {
	f.countsOf(q.Route.Rank).requested.count(now)
	f.total.requested.count(now)
	f.workspaces.countRequest(now, q.Workspace, q.Weight)
}

// countPlacement counts a request that was placed. An attempt after the first
// counts only as work for its workspace.
func (f *fairness) countPlacement(now time.Time, q lb.PlaceQuery) {
	f.workspaces.countPlacement(now, q.Workspace, !q.Subsequent)
	if q.Subsequent {
		return
	}
	f.countsOf(q.Route.Rank).placed.count(now)
	f.total.placed.count(now)
}

// isStarved reports whether requests of a rank are placed far less often than
// those of the partition as a whole.
func (f *fairness) isStarved(now time.Time, rank int) bool {
	if len(f.ranks) < 2 {
		return false
	}
	c := f.countsOf(rank)
	if c.requested.rate(now)*fairnessWindow.Seconds() < minRankRequests {
		return false
	}
	return c.placedShare(now) < starvationRatio*f.total.placedShare(now)
}

// placedShare is the fraction of recent requests that were placed; 1 when there
// were none.
func (c *rankCounts) placedShare(now time.Time) float64 {
	requested := c.requested.rate(now)
	if requested <= 0 {
		return 1
	}
	return c.placed.rate(now) / requested
}
