package placement

import (
	"cmp"
	"math"
	"time"
)

// defaultRateWindow is the window of a rate that sets none: long against one
// request's service time, short against a change of the load.
const defaultRateWindow = time.Second

// eventRate is an exponentially decaying rate of events a second. It does no
// I/O and reads no clock.
type eventRate struct {
	// window is the decay time; 0 stands for defaultRateWindow.
	window    time.Duration
	perSecond float64
	updatedAt time.Time
}

// windowSeconds returns the window in seconds.
func (r *eventRate) windowSeconds() float64 { return cmp.Or(r.window, defaultRateWindow).Seconds() }

// count records one event.
func (r *eventRate) count(now time.Time) {
	r.perSecond = r.rate(now) + 1/r.windowSeconds()
	r.updatedAt = now
}

// rate returns the number of events a second as of now.
func (r *eventRate) rate(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/r.windowSeconds())
}
