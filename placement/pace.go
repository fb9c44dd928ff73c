package placement

import (
	"cmp"
	"math"
	"time"
)

// paceWindow is the time over which a pace is taken where none is named: long
// against one request's work, short against a change of the load.
const paceWindow = time.Second

// pace is the number of events a second, over about its window. It is pure.
type pace struct {
	// window is paceWindow when 0.
	window time.Duration
	value  float64
	at     time.Time
}

// seconds is the window.
func (p *pace) seconds() float64 { return cmp.Or(p.window, paceWindow).Seconds() }

// count takes an event.
func (p *pace) count(now time.Time) {
	p.value = p.rate(now) + 1/p.seconds()
	p.at = now
}

// rate is the number of events a second at a time.
func (p *pace) rate(now time.Time) float64 {
	if p.at.IsZero() {
		return 0
	}
	return p.value * math.Exp(-now.Sub(p.at).Seconds()/p.seconds())
}
