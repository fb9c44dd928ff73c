package placement

import (
	"time"

	"github.com/chestnutfield/chestnutfield/ports"
)

const (
	// failWeight is the weight of one call in the share of failed calls.
	failWeight = 0.25
	// lostFailures is the number of failures in a row after which a target is
	// set aside; a connection that can't be opened counts for all of them.
	lostFailures = 2
	// shedsInRow is the number of refusals in a row after which a target is
	// set aside: a full target reports that it is full and is not asked.
	shedsInRow = 3
	// asideFirst is the first time set aside, asideLongest the longest; it
	// doubles with each.
	asideFirst   = 500 * time.Millisecond
	asideLongest = 8 * time.Second
	// wrongAside is the time set aside of a target at whose address another
	// one answers: the register names its new address or drops it by then.
	wrongAside = 5 * time.Second
)

// health decides whether a target may be chosen, by the calls of this host
// alone. It is pure.
type health struct {
	failures float64
	inRow    int
	sheds    int
	// times is the number of times set aside since the last success.
	times int
	until time.Time
	// trial allows one call at a time after the target was set aside.
	trial bool
}

// open says that the target may be chosen; inFlight is the number of this
// host's calls there.
func (h *health) open(now time.Time, inFlight int) bool {
	return !now.Before(h.until) && (!h.trial || inFlight == 0)
}

// ended takes the end of a call.
func (h *health) ended(now time.Time, f ports.Feedback) {
	switch {
	case f.WrongTarget:
		h.until, h.trial = now.Add(wrongAside), true
	case f.Verdict == ports.Succeeded:
		h.failures -= failWeight * h.failures
		h.inRow, h.sheds, h.times, h.trial = 0, 0, 0, false
	case f.Verdict == ports.Shed:
		h.sheds++
		if h.sheds >= shedsInRow {
			h.setAside(now)
		}
	case f.Verdict == ports.Failed || f.Verdict == ports.TimedOut:
		h.failures += failWeight * (1 - h.failures)
		h.inRow++
		if f.ConnectFailed || h.inRow >= lostFailures || h.trial {
			h.setAside(now)
		}
	}
}

func (h *health) setAside(now time.Time) {
	pause := min(asideFirst<<min(h.times, 10), asideLongest)
	h.times++
	h.inRow, h.sheds = 0, 0
	h.until, h.trial = now.Add(pause), true
}
