package placement

import "time"

// workClock measures the work that a target has done in time at its usual speed, by
// the slowdown that it reports: a call that takes 500 ms, 200 ms of them
// at a fifth of the usual speed, is 340 ms of work.
type workClock struct {
	done     time.Duration
	slowdown float64
	at       time.Time
}

// read returns the work done until now.
func (c *workClock) read(now time.Time) time.Duration {
	if c.at.IsZero() {
		c.at = now
	}
	c.done += time.Duration(float64(max(now.Sub(c.at), 0)) / max(c.slowdown, 1))
	c.at = now
	return c.done
}

// report records a reported slowdown, 0 when it is unknown.
func (c *workClock) report(now time.Time, slowdown float64) {
	c.read(now)
	c.slowdown = slowdown
}
