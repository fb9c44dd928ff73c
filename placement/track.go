package placement

import (
	"slices"
	"time"
)

const (
	// lagFrom is the multiple of its expected time from which a call that has
	// not ended says that its target is slow.
	lagFrom = 1.3
	// lagKept is how long the time of a call that has ended says something of
	// its target's speed: about the length of a slow spell.
	lagKept = 200 * time.Millisecond
)

// track follows a target's calls where it tells no load: how many are there,
// and how far they are behind what was expected. It is pure.
type track struct {
	// open holds the calls that have not ended, the oldest first.
	open []sent
	// lag is the time of the last call that ended, in multiples of what was
	// expected, and at when it ended.
	lag float64
	at  time.Time
}

// sent is a call that was expected to take a time.
type sent struct {
	at       time.Time
	expected time.Duration
}

func (t *track) begin(s sent) { t.open = append(t.open, s) }

// end takes the end of a call; answered is false when it says nothing of the
// target's speed.
func (t *track) end(now time.Time, s sent, answered bool) {
	if i := slices.Index(t.open, s); i >= 0 {
		t.open = slices.Delete(t.open, i, i+1)
	}
	if answered && s.expected > 0 {
		t.lag, t.at = float64(now.Sub(s.at))/float64(s.expected), now
	}
}

// slowdown is how many times as long as usual work seems to take now; 0 when
// nothing speaks for a slow target.
func (t *track) slowdown(now time.Time) float64 {
	worst := 0.0
	if now.Sub(t.at) <= lagKept {
		worst = t.lag
	}
	for _, s := range t.open {
		if s.expected > 0 {
			worst = max(worst, float64(now.Sub(s.at))/float64(s.expected))
		}
	}
	if worst < lagFrom {
		return 0
	}
	return worst
}
