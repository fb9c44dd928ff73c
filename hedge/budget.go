package hedge

import (
	"time"

	"golang.org/x/time/rate"
)

// Limit bounds the copies of the requests to a pool, over all hosts together. The zero
// value means that the operator has set none.
type Limit struct {
	// Ratio is the part of the requests that may have a copy, 0 to 1.
	Ratio float64
	// PerSecond is the greatest number of copies a second; 0 sets none.
	PerSecond float64
}

// Enabled reports whether the operator has set a limit.
func (l Limit) Enabled() bool { return l.Ratio > 0 }

// maxSaved is the number of copies that may be saved up: a few requests that are slow
// together all get one, and an idle time doesn't allow a burst.
const maxSaved = 4

// Budget counts the copies that a limit allows for the requests that one host places.
// It is not safe for concurrent use.
type Budget struct {
	saved     float64
	perSecond *rate.Limiter
}

// Deposit counts a request.
func (b *Budget) Deposit(l Limit) { b.saved = min(b.saved+l.Ratio, maxSaved) }

// Withdraw takes one copy; it returns false when the limit allows none now. share is
// the part of the pool, 0 to 1, that the requests of this budget go to.
func (b *Budget) Withdraw(now time.Time, l Limit, share float64) bool {
	if b.saved < 1 {
		return false
	}
	if l.PerSecond > 0 && !b.limiter(l.PerSecond*share).AllowN(now, 1) {
		return false
	}
	b.saved--
	return true
}

func (b *Budget) limiter(perSecond float64) *rate.Limiter {
	if b.perSecond == nil {
		b.perSecond = rate.NewLimiter(rate.Limit(perSecond), 1)
	} else if b.perSecond.Limit() != rate.Limit(perSecond) {
		b.perSecond.SetLimit(rate.Limit(perSecond))
	}
	return b.perSecond
}
