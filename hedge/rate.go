package hedge

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/chestnutfield/chestnutfield/lb"
)

// rateLimited is a budget whose withdrawals are also limited by their rate.
type rateLimited struct {
	lb.RetryBudget
	perSecond  float64
	membership lb.Membership

	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

// LimitRate returns a budget that also allows at most so many withdrawals a second for
// a pool, over all hosts together; 0 sets no limit.
func LimitRate(b lb.RetryBudget, perSecond float64, m lb.Membership) lb.RetryBudget {
	if perSecond <= 0 {
		return b
	}
	return &rateLimited{RetryBudget: b, perSecond: perSecond, membership: m, limiters: map[string]*rate.Limiter{}}
}

// Withdraw implements lb.RetryBudget.
func (r *rateLimited) Withdraw(pool string, now time.Time) bool {
	return r.limiter(pool).AllowN(now, 1) && r.RetryBudget.Withdraw(pool, now)
}

func (r *rateLimited) limiter(pool string) *rate.Limiter {
	share := rate.Limit(r.perSecond / float64(max(r.membership.ShareDivisor(), 1)))
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limiters[pool]
	if l == nil {
		l = rate.NewLimiter(share, 1)
		r.limiters[pool] = l
	}
	if l.Limit() != share {
		l.SetLimit(share)
	}
	return l
}
