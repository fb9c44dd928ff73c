package quota

import "time"

// maxRetrySpread is the part by which a Retry-After may exceed the time to the next
// token, so that callers that were refused together don't come back together.
const maxRetrySpread = 0.5

// spreadRetry returns a Retry-After for a token that comes after wait; u is uniform
// over [0, 1).
func spreadRetry(wait time.Duration, u float64) time.Duration {
	return wait + time.Duration(maxRetrySpread*u*float64(wait))
}
