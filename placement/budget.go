package placement

import (
	"time"

	"golang.org/x/time/rate"
)

// budgetBurst is the time whose questions may be asked at once: a short burst
// of requests is placed by fresh reports, the mean stays within the bound.
const budgetBurst = 2 * time.Second

// budget bounds the questions of a pool. The zero value allows none. It is not
// safe for concurrent use.
type budget struct {
	limiter *rate.Limiter
}

// set changes the number of questions a second.
func (b *budget) set(perSecond float64) {
	burst := max(int(perSecond*budgetBurst.Seconds()), 1)
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	b.limiter.SetLimit(rate.Limit(perSecond))
	b.limiter.SetBurst(burst)
}

// take returns how many of the wanted questions may be asked now.
func (b *budget) take(now time.Time, wanted int) int {
	if b.limiter == nil || wanted == 0 {
		return 0
	}
	n := min(wanted, max(int(b.limiter.TokensAt(now)), 0))
	if n > 0 {
		b.limiter.AllowN(now, n)
	}
	return n
}
