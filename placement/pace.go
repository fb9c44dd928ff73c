package placement

import (
	"math"
	"time"
)

// paceWindow is the time over which the pace is taken: long against one
// request's work, short against a change of the load.
const paceWindow = time.Second

// pace is the number of events a second, over about paceWindow. It is pure.
type pace struct {
	value float64
	at    time.Time
}

// count takes an event.
func (p *pace) count(now time.Time) {
	p.value = p.rate(now) + 1/paceWindow.Seconds()
	p.at = now
}

// rate is the number of events a second at a time.
func (p *pace) rate(now time.Time) float64 {
	if p.at.IsZero() {
		return 0
	}
	return p.value * math.Exp(-now.Sub(p.at).Seconds()/paceWindow.Seconds())
}
