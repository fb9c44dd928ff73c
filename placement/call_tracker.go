package placement

import (
	"slices"
	"time"
)

const (
	// minSlowdown is the multiple of its expected time from which a call
	// shows that its target is slow.
	minSlowdown = 1.3
	// slowdownRetention is how long the duration of an ended call counts as the
	// target's speed: about the length of a slow spell.
	slowdownRetention = 200 * time.Millisecond
)

// callTracker follows the calls to a target that reports no load: how many are
// running, and how far they are behind their expected time. It does no I/O and
// reads no clock.
type callTracker struct {
	// running holds the calls that have not ended, the oldest first.
	running []call
	// lastSlowdown is the duration of the last call that ended, in multiples of
	// its expected time; lastEndedAt is when it ended.
	lastSlowdown float64
	lastEndedAt  time.Time
}

// call is a call in flight with its expected duration.
type call struct {
	sentAt   time.Time
	expected time.Duration
	// requestID identifies the request, "" when it is unknown; workBefore is what the target's
	// work clock read at the dispatch.
	requestID  string
	workBefore time.Duration
}

func (t *callTracker) begin(c call) { t.running = append(t.running, c) }

// end records the end of a call. The duration of a call that did not succeed
// says nothing of the target's speed.
func (t *callTracker) end(now time.Time, c call, succeeded bool) {
	if i := slices.Index(t.running, c); i >= 0 {
		t.running = slices.Delete(t.running, i, i+1)
	}
	if succeeded && c.expected > 0 {
		t.lastSlowdown, t.lastEndedAt = float64(now.Sub(c.sentAt))/float64(c.expected), now
	}
}

// slowdown estimates how many times as long as usual a request takes now; 0
// when there is no sign of a slow target.
func (t *callTracker) slowdown(now time.Time) float64 {
	worst := 0.0
	if now.Sub(t.lastEndedAt) <= slowdownRetention {
		worst = t.lastSlowdown
	}
	for _, c := range t.running {
		if c.expected > 0 {
			worst = max(worst, float64(now.Sub(c.sentAt))/float64(c.expected))
		}
	}
	if worst < minSlowdown {
		return 0
	}
	return worst
}
