package placement

import (
	"time"

	"golang.org/x/time/rate"
)

// queryBurstPeriod is the time whose queries may be sent at once: a short burst
// of requests is placed by fresh reports, while the mean rate stays within the
// bound.
const queryBurstPeriod = 2 * time.Second

// QueryAllowance is what a host may send of the load queries to a partition.
type QueryAllowance struct {
	// Share is the fraction, 0 to 1, of the queries of all hosts that this host may send
	// whatever it places.
	Share float64
	// PerRequest is the number of further queries for each request that it places, so
	// that a substitute for the coordinator of the partition doesn't choose
	// without reports. Each request is placed by one host, so that the sum over all
	// hosts follows the requests, however many substitutes there are.
	PerRequest int
}

// maxGranted bounds the queries that requests have granted and that were not sent yet.
const maxGranted = 100

// queryBudget limits the load queries to a partition. The zero value allows none. It is
// not safe for concurrent use.
type queryBudget struct {
	limiter *rate.Limiter
	// granted are queries beyond the rate, perRequest those that one request grants.
	granted, perRequest int
}

// grant allows the queries of one more request.
func (b *queryBudget) grant() { b.granted = min(b.granted+b.perRequest, maxGranted) }

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
	further := min(wanted-n, b.granted)
	b.granted -= further
	return n + further
}
