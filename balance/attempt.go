package balance

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/chestnutfield/chestnutfield/ports"
)

// attempt is one dispatch to one target; it implements ports.Attempt.
type attempt struct {
	pool   *pool
	target *target
	sent   time.Time
	// measured is true when the latency of the attempt speaks of its target.
	measured bool
	// queue is the estimate, and claimed the report's number, of others at
	// the target when the attempt was sent.
	queue   float64
	claimed int
	ended   atomic.Bool
}

// Target returns the address to send to.
func (a *attempt) Target() netip.AddrPort { return a.target.addr }

// Done ends the attempt; only the first call counts.
func (a *attempt) Done(now time.Time, d ports.Feedback) {
	if a.ended.CompareAndSwap(false, true) {
		a.pool.done(now, a, d)
	}
}
