// Package patience estimates how long a caller has waited before the attempt that
// just arrived.
//
// With each attempt a caller states how much longer it waits. First attempts of the
// callers of one route state much the same time, within some part of it; an attempt
// after a refusal states what is left. So an attempt whose time is far below what the
// more patient ones state is a repeated one, and its caller has waited about the
// difference. Callers that are much more patient than most don't count, and a route
// whose callers differ by themselves is recognized by attempts with little time while
// none are refused: there nothing is estimated.
//
// The load that it answers is a pool with more requests than it can serve, where most
// attempts are repeated ones: taken for a new one, a repeated one takes the place of a
// first one that could still be in time.
package patience

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// memory is the number of latest attempts of a route whose times count,
	// minAttempts the number from which anything is estimated.
	memory      = 64
	minAttempts = 8
	// firstAttemptQuantile is the quantile of the latest times that stands for the time
	// of first attempts: with two repeated attempts a caller, the upper third are first
	// ones, of which a few may be of far more patient callers.
	firstAttemptQuantile = 0.85
	// firstAttemptSpread is the part of that time above which an attempt counts as a
	// first one.
	firstAttemptSpread = 0.75
	// meanSpread is the mean time of first attempts as a part of the quantile's.
	meanSpread = 0.92
	// calmAfter is the time without a refusal after which few attempts are repeated
	// ones: as long as callers wait at most before they come back.
	calmAfter = 3 * time.Second
	// calmWeight is the weight of one attempt in the share of attempts with little
	// time while none are refused, maxCalmShare the share from which nothing is
	// estimated.
	calmWeight   = 0.03
	maxCalmShare = 0.15

	shardCount = 16
)

// Estimator estimates the time that callers have waited. It is safe for concurrent
// use and reads no clock.
type Estimator struct{ shards [shardCount]shard }

// shard holds a part of the routes.
type shard struct {
	mu     sync.Mutex
	routes map[string]*route
}

// route is what is known of the callers of one route.
type route struct {
	latest [memory]time.Duration
	seen   int
	// usual is the time at firstAttemptQuantile of the latest attempts.
	usual     time.Duration
	refusedAt time.Time
	// calmShare is the share of attempts with little time while none are refused.
	calmShare float64
}

// New returns an estimator that has seen no attempts.
func New() *Estimator {
	e := &Estimator{}
	for i := range e.shards {
		e.shards[i].routes = map[string]*route{}
	}
	return e
}

// Arrived records an attempt on a route whose caller waits for the given time, and
// returns how long the caller is believed to have waited before: 0 for a first
// attempt, and when that is unknown.
func (e *Estimator) Arrived(now time.Time, name string, left time.Duration) time.Duration {
	s := e.shardOf(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes[name]
	if r == nil {
		r = &route{}
		s.routes[name] = r
	}
	return r.arrived(now, left)
}

// Refused records that an attempt on a route was refused, so that repeated ones follow.
func (e *Estimator) Refused(now time.Time, name string) {
	s := e.shardOf(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.routes[name]; r != nil {
		r.refusedAt = now
	}
}

func (e *Estimator) shardOf(name string) *shard {
	return &e.shards[xxhash.Sum64String(name)%shardCount]
}

func (r *route) arrived(now time.Time, left time.Duration) time.Duration {
	r.latest[r.seen%memory] = left
	r.seen++
	if r.seen < minAttempts {
		return 0
	}
	if r.seen%minAttempts == 0 {
		r.updateUsual()
	}
	repeated := float64(left) < firstAttemptSpread*float64(r.usual)
	if r.calm(now) {
		r.calmShare -= calmWeight * r.calmShare
		if repeated {
			r.calmShare += calmWeight
		}
	}
	if !repeated || r.calmShare > maxCalmShare {
		return 0
	}
	return max(0, time.Duration(meanSpread*float64(r.usual))-left)
}

func (r *route) updateUsual() {
	sorted := slices.Clone(r.latest[:min(r.seen, memory)])
	slices.Sort(sorted)
	r.usual = sorted[int(firstAttemptQuantile*float64(len(sorted)-1))]
}

// calm reports whether few attempts are repeated ones. A host that has just started
// does not know whether others refused some.
func (r *route) calm(now time.Time) bool {
	if r.refusedAt.IsZero() {
		return r.seen > memory
	}
	return now.Sub(r.refusedAt) > calmAfter
}
