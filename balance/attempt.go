package balance

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/chestnutfield/chestnutfield/lb"
)

// attempt is one request sent to one target. It implements lb.Attempt.
type attempt struct {
	pool   *pool
	target *target
	sent   time.Time
	// measured is true when the latency of the attempt counts for its target.
	measured bool
	// estimate is the estimated number of other requests at the target when the
	// attempt was sent. reported is that number according to the target's last
	// load report, load.Absent when there was no recent one.
	estimate float64
	reported int
	ended    atomic.Bool
}

// Target returns the address of the target.
func (a *attempt) Target() netip.AddrPort { return a.target.addr }

// Done ends the attempt and records its result. Only the first call has an
// effect.
func (a *attempt) Done(now time.Time, f lb.Feedback) {
	if a.ended.CompareAndSwap(false, true) {
		a.pool.done(now, a, f)
	}
}
