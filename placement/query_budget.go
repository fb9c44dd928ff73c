package placement

import (
	"time"

	"golang.org/x/time/rate"
)

// queryBurstPeriod is the time whose queries may be sent at once: a short burst
// of requests is placed by fresh reports, while the mean rate stays within the
// bound.
const queryBurstPeriod = 2 * time.Second

// queryBudget limits the rate of load queries to a partition. The zero value
// allows none. It is not safe for concurrent use.
type queryBudget struct {
	limiter *rate.Limiter
}

// setRate changes the number of queries a second.
func (b *queryBudget) setRate(perSecond float64) {
	burst := max(int(perSecond*queryBurstPeriod.Seconds()), 1)
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	b.limiter.SetLimit(rate.Limit(perSecond))
	b.limiter.SetBurst(burst)
}

// take returns how many of the wanted queries may be sent now, and spends them.
func (b *queryBudget) take(now time.Time, wanted int) int {
	if b.limiter == nil || wanted == 0 {
		return 0
	}
	n := min(wanted, max(int(b.limiter.TokensAt(now)), 0))
	if n > 0 {
		b.limiter.AllowN(now, n)
	}
	return n
}
