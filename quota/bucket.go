package quota

import (
	"math"
	"time"
)

const (
	// minUndividedFraction is the delegated fraction from which on a bucket holds at
	// least one token: at most one quota host can have more than half.
	minUndividedFraction = 0.5
	// tokenTolerance allows for rounding when tokens are compared.
	tokenTolerance = 1e-9
)

// terms are the quota of a workspace in one version of the tables.
type terms struct {
	rate, burst float64
	version     uint64
}

// newTerms returns terms with a burst that can be enforced: at least one token; a
// quota without a burst has that of initialCredit.
func newTerms(rate, burst float64, version uint64) terms {
	if burst <= 0 {
		burst = rate * initialCredit.Seconds()
	}
	return terms{rate: rate, burst: max(burst, 1), version: version}
}

// capacity returns the number of tokens that a bucket may hold at a fraction of
// the quota. divided is true when that is less than one, so that tokens lapse
// instead of being kept.
func (t terms) capacity(fraction float64) (tokens float64, divided bool) {
	tokens = t.burst * fraction
	if fraction >= minUndividedFraction {
		return max(tokens, 1), false
	}
	return tokens, tokens < 1
}

// bucket is the token bucket of one workspace at its quota host. Tokens below 0
// are reserved by requests that wait.
type bucket struct {
	terms
	tokens float64
	// accrued is allocator.accrued up to which tokens were added.
	accrued float64
	usedAt  time.Time
}

// refill adds the tokens of the time since the last call and removes those beyond
// the present capacity.
func (b *bucket) refill(accrued, fraction float64) {
	b.tokens += b.rate * (accrued - b.accrued)
	b.accrued = accrued
	b.limit(fraction)
}

// limit removes tokens beyond the capacity.
func (b *bucket) limit(fraction float64) {
	capacity, divided := b.capacity(fraction)
	if !divided {
		b.tokens = min(b.tokens, capacity)
		return
	}
	if b.tokens < 1 {
		return
	}
	// The fractional part is what accrued since the last whole token.
	_, part := math.Modf(b.tokens)
	if part > b.rate*fraction*tokenLifetime.Seconds() {
		b.tokens = part
	} else {
		b.tokens = 1 + part
	}
}

// untilToken returns the time until the bucket holds one token.
func (b *bucket) untilToken(fraction float64) time.Duration {
	if b.tokens >= 1-tokenTolerance {
		return 0
	}
	return seconds((1 - b.tokens) / (b.rate * fraction))
}

// initialTokens returns the tokens of a new bucket at a quota host to which credit
// seconds of each quota were delegated unused. phase, uniform over [0, 1), spreads
// the first tokens of many quota hosts with small parts evenly over time.
func (t terms) initialTokens(credit, fraction, phase float64) float64 {
	capacity, divided := t.capacity(fraction)
	if divided {
		return phase
	}
	tokens := min(capacity, t.rate*max(credit, initialCredit.Seconds()*fraction))
	if fraction >= minUndividedFraction {
		return max(tokens, 1)
	}
	return max(tokens, phase)
}

// maxDuration bounds computed durations, so that they don't overflow.
const maxDuration = 24 * time.Hour

// seconds returns a duration of s seconds.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxDuration.Seconds()) * float64(time.Second))
}
