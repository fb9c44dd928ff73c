package placement

import "time"

const (
	// maxLateWaitShare is the part of its remaining time that a late request
	// may be expected to wait: the rate of placements may fall, and no request
	// is held without a chance to be placed.
	maxLateWaitShare = 0.5
	// minLateWaiters is the number of late requests that may wait in any case.
	minLateWaiters = 2
	// minOverloadRetryAfter is the mean Retry-After while few requests are
	// refused.
	minOverloadRetryAfter = 300 * time.Millisecond
	// refusedWindow is the time whose refused requests are expected to come back:
	// as long as callers wait at most.
	refusedWindow = 3 * time.Second
)

func newDemand() demand { return demand{refused: eventRate{window: refusedWindow}} }

// demand compares the requests that arrive at a partition with those that its
// targets can serve. It decides which late requests may wait, and when refused
// callers may come back. The load that it answers is a burst of several times
// the capacity for seconds: callers that come back too soon are refused until
// they give up, and take the slots of those who ask for the first time. It does
// no I/O and reads no clock.
type demand struct {
	// callTime is the mean time that a call occupies its target.
	callTime time.Duration
	// arrivals, placed and refused are the requests a second that arrived, were
	// sent to a target and were refused; latePlaced are those placed although
	// they can't meet their objective any more.
	arrivals, placed, latePlaced, refused eventRate
}

// recordCall records the duration of a successful call.
func (d *demand) recordCall(latency time.Duration) {
	if d.callTime == 0 {
		d.callTime = latency
	}
	d.callTime += time.Duration(serviceTimeWeight * float64(latency-d.callTime))
}

// servableRate estimates how many requests a second the given number of slots
// can serve: as many as were placed lately, or what the mean time of a call
// allows.
func (d *demand) servableRate(now time.Time, slots int) float64 {
	placed := d.placed.rate(now)
	if d.callTime <= 0 {
		return placed
	}
	return max(placed, float64(slots)/d.callTime.Seconds())
}

// spareRate estimates how many requests a second could be served beyond those
// that arrive.
func (d *demand) spareRate(now time.Time, slots int) float64 {
	return max(0, d.servableRate(now, slots)-d.arrivals.rate(now))
}

// lateRate estimates how many late requests a second find room: as many as did
// lately, or as can be served beyond those that arrive. Without the latter, the
// first few late requests of a pool with room to spare would be refused because
// none was placed before them.
func (d *demand) lateRate(now time.Time, slots int) float64 {
	return max(d.latePlaced.rate(now), d.spareRate(now, slots))
}

// mayWaitLate reports whether the nth late request is likely to be placed in
// its remaining time, given how many late requests a second find room.
func mayWaitLate(n int, perSecond float64, left time.Duration) bool {
	return n <= minLateWaiters || float64(n) <= perSecond*maxLateWaitShare*left.Seconds()
}

// retryAfter returns when a refused caller may find room, before it is spread:
// while more requests arrive than can be served, after the time that the targets
// need for the requests refused in refusedWindow.
func (d *demand) retryAfter(now time.Time, slots int) time.Duration {
	servable := d.servableRate(now, slots)
	if servable <= 0 || d.arrivals.rate(now) <= servable {
		return minOverloadRetryAfter
	}
	turnedAway := d.refused.rate(now) * refusedWindow.Seconds()
	return min(max(time.Duration(turnedAway/servable*float64(time.Second)), minOverloadRetryAfter), maxRetryAfter)
}
