package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lb"
)

// place is the place of a waiter in the order of its queue, computed once for each
// sorting.
type place struct {
	// tier is 0 for starved ranks and workspaces, late 1 for a request that can only
	// be late.
	tier, rank, late int
	// served is what the request's workspace has received for its weight, over is
	// true when that is clearly more than its part and others wait that have not.
	served float64
	over   bool
	// age orders the requests that agree in all others, lowest first: the time since
	// the request's arrival, negative for late ones.
	age time.Duration
	// index is the place before the sorting; it makes the order stable, at half the
	// time of a stable sort.
	index int
}

// lateness returns 0 for a request that can still meet its objective, counted from its
// caller's first request, and 1 for one that can only be late; lower goes first.
func lateness(now time.Time, q lb.PlaceQuery, serviceTime time.Duration) int {
	if q.Route.Objective <= 0 || now.Add(serviceTime).Before(q.Received.Add(q.Route.Objective-q.Waited)) {
		return 0
	}
	return 1
}

// sortWaiters sorts waiters for overload, when not all can be served in time:
// starved ranks and workspaces first, then by rank, then requests that can still
// meet their objective before those that can't, so that a late request takes no
// slot from one that is not late. Among these, the workspace that was served least
// for its weight goes first. Requests of one workspace that can be in time
// are sorted newest first: under lasting overload, oldest first would make every
// request wait until it is almost late. Late ones are sorted oldest first, so that
// a request that was told to wait is not overtaken. The workspaces are nil, or not
// in use, when no request has one.
func sortWaiters(now time.Time, serviceTime time.Duration, f starvation, waiters []*waiter) {
	starvedOrder := map[int]int{}
	for i, w := range waiters {
		rank := w.q.Route.Rank
		if _, known := starvedOrder[rank]; !known {
			starvedOrder[rank] = lo.Ternary(f.starved(rank), 0, 1)
		}
		w.place = place{tier: starvedOrder[rank], rank: rank, late: lateness(now, w.q, serviceTime), age: now.Sub(w.q.Received), index: i}
		if w.place.late > 0 {
			w.place.age = -w.place.age
		}
	}
	slices.SortFunc(waiters, comparePlaces)
	if f.workspaces == nil || !f.workspaces.inUse() {
		return
	}
	f.workspaces.beginSorting()
	for _, w := range waiters {
		s := f.workspaces.next(now, w.q.Workspace, f.placedShare)
		w.place.served, w.place.over = s.served, s.over
		if s.starved {
			w.place.tier = 0
		}
	}
	slices.SortFunc(waiters, comparePlaces)
	if lo.EveryBy(waiters, func(w *waiter) bool { return w.place.over }) {
		for _, w := range waiters {
			w.place.over = false
		}
	}
}

// starvation tells which ranks and workspaces are starved.
type starvation struct {
	// starved reports whether a rank is starved.
	starved    func(rank int) bool
	workspaces *workspaces
	// placedShare is the fraction of all recent requests that were placed.
	placedShare float64
}

func comparePlaces(a, b *waiter) int {
	if c := cmp.Compare(a.place.tier, b.place.tier); c != 0 {
		return c
	}
	if c := cmp.Compare(a.place.rank, b.place.rank); c != 0 {
		return c
	}
	if c := cmp.Compare(a.place.late, b.place.late); c != 0 {
		return c
	}
	if c := cmp.Compare(a.place.served, b.place.served); c != 0 {
		return c
	}
	if c := cmp.Compare(a.place.age, b.place.age); c != 0 {
		return c
	}
	return cmp.Compare(a.place.index, b.place.index)
}

// waitCount counts the waiters in the order of the queue whose waiting is bounded.
type waitCount struct {
	late, over int
	// latePerSecond is the number of late requests a second that find room, spare that
	// of requests that find room beyond the arriving ones.
	latePerSecond, spare float64
}

// mayWait counts a waiter and reports whether it may wait for the remaining time,
// given to be left after its work. A late one may wait while it is likely to be
// placed in that time. A workspace that has received clearly more than its part
// may only wait for what arriving requests leave, in time or not, and its
// waiters don't count for the others: otherwise the requests of one that sends
// several times its usual rate would be served before all requests of lower rank.
func (c *waitCount) mayWait(p place, left time.Duration) bool {
	switch {
	case p.over:
		c.over++
		return mayWaitLate(c.over, c.spare, left)
	case p.late > 0:
		c.late++
		return mayWaitLate(c.late, c.latePerSecond, left)
	default:
		return true
	}
}
