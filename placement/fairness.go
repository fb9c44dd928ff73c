package placement

import (
	"time"
)

const (
	// starvedShare is the part of the pool's share of placed requests below
	// which a rank counts as starved: routes that are served less than a quarter
	// as often as all break the deployment's promise, and a request that waits
	// needs some time to be placed.
	starvedShare = 0.4
	// fairWindow is the time over which requests of a rank are counted: several
	// times what a caller waits, so that a burst alone starves nobody.
	fairWindow = 5 * time.Second
	// fairLeast is the number of requests of a rank in fairWindow below which
	// nothing is said of it.
	fairLeast = 5.0
)

// tally counts the requests of one rank.
type tally struct{ asked, placed pace }

// fairness knows which ranks of a pool are starved. Load it answers: more
// requests than the pool can serve for seconds, of routes of several ranks. The
// order by rank would give the lower ones nothing then. It is pure.
type fairness struct {
	ranks map[int]*tally
	all   tally
}

func newFairness() fairness { return fairness{ranks: map[int]*tally{}, all: *newTally()} }

func (f *fairness) of(rank int) *tally {
	t := f.ranks[rank]
	if t == nil {
		t = newTally()
		f.ranks[rank] = t
	}
	return t
}

func newTally() *tally {
	return &tally{asked: pace{window: fairWindow}, placed: pace{window: fairWindow}}
}

// ask counts a request.
func (f *fairness) ask(now time.Time, rank int) {
	f.of(rank).asked.count(now)
	f.all.asked.count(now)
}

// place counts a request that was placed.
func (f *fairness) place(now time.Time, rank int) {
	f.of(rank).placed.count(now)
	f.all.placed.count(now)
}

// starved reports whether requests of a rank are placed far less often than
// those of the pool.
func (f *fairness) starved(now time.Time, rank int) bool {
	if len(f.ranks) < 2 {
		return false
	}
	t := f.of(rank)
	if t.asked.rate(now)*fairWindow.Seconds() < fairLeast {
		return false
	}
	return t.share(now) < starvedShare*f.all.share(now)
}

// share is the part of the requests that were placed lately.
func (t *tally) share(now time.Time) float64 {
	asked := t.asked.rate(now)
	if asked <= 0 {
		return 1
	}
	return t.placed.rate(now) / asked
}
