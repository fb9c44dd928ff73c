// Package patience estimates how long a caller has waited before the request that just
// arrived.
//
// Callers send the time that they still wait with each request. On one route first
// requests carry much the same time, and a request after a refusal carries what is
// left of it. A request that carries far less than first ones do is therefore a
// repeated one, and its caller has waited for about the difference. Nothing is
// estimated on a route whose callers differ by themselves: there many requests carry
// little time while none are refused.
//
// The load that it answers is a pool with more requests than it can serve, where most
// requests are repeated ones: a repeated one that counts as new takes the place of a
// first one that could still be in time.
package patience

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// historyLength is the number of latest requests of a route whose times count,
	// minRequests the number from which anything is estimated.
	historyLength = 64
	minRequests   = 8
	// firstRequestQuantile is the quantile of the latest times that stands for first
	// requests: with two repeated requests a caller, the upper third are first ones, a
	// few of them of far more patient callers.
	firstRequestQuantile = 0.85
	// minFirstShare is the part of that time from which a request counts as a first
	// one, meanFirstShare the part that first ones carry on average.
	minFirstShare  = 0.75
	meanFirstShare = 0.92
	// calmAfter is the time without a refusal after which few requests are repeated
	// ones: as long as callers wait at most before they come back.
	calmAfter = 3 * time.Second
	// calmWeight is the weight of one request in the moving average of the share of
	// requests with little time while none are refused. From maxCalmShare on nothing is
	// estimated.
	calmWeight   = 0.03
	maxCalmShare = 0.15
	// maxIdle is the time without a request after which a route is forgotten.
	maxIdle = 5 * time.Minute

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
	// history holds the times of the latest requests in milliseconds.
	history  [historyLength]uint32
	requests int
	// usual is the time of first requests.
	usual                time.Duration
	requestAt, refusedAt time.Time
	// calmShare is the share of requests with little time while none are refused.
	calmShare float64
}

// New returns an estimator that has seen no requests.
func New() *Estimator {
	e := &Estimator{}
	for i := range e.shards {
		e.shards[i].routes = map[string]*route{}
	}
	return e
}

// Arrived records a request on a route whose caller still waits for the given time, and
// returns how long the caller is believed to have waited before: 0 for its first
// request, and when that is unknown.
func (e *Estimator) Arrived(now time.Time, name string, left time.Duration) time.Duration {
	s := e.shardOf(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes[name]
	if r == nil {
		s.forgetIdle(now)
		r = &route{}
		s.routes[name] = r
	}
	r.requestAt = now
	return r.arrived(now, left)
}

// Refused records that a request on a route was refused, so that repeated ones follow.
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

// forgetIdle removes the routes without requests, which the tables may not hold any
// more. The caller holds the lock.
func (s *shard) forgetIdle(now time.Time) {
	for name, r := range s.routes {
		if now.Sub(r.requestAt) > maxIdle {
			delete(s.routes, name)
		}
	}
}

func (r *route) arrived(now time.Time, left time.Duration) time.Duration {
	r.history[r.requests%historyLength] = uint32(left.Milliseconds())
	r.requests++
	if r.requests < minRequests {
		return 0
	}
	if r.requests%minRequests == 0 {
		r.updateUsual()
	}
	repeated := float64(left) < minFirstShare*float64(r.usual)
	if r.calm(now) {
		r.calmShare -= calmWeight * r.calmShare
		if repeated {
			r.calmShare += calmWeight
		}
	}
	if !repeated || r.calmShare > maxCalmShare {
		return 0
	}
	return max(0, time.Duration(meanFirstShare*float64(r.usual))-left)
}

func (r *route) updateUsual() {
	sorted := slices.Clone(r.history[:min(r.requests, historyLength)])
	slices.Sort(sorted)
	r.usual = time.Duration(sorted[int(firstRequestQuantile*float64(len(sorted)-1))]) * time.Millisecond
}

// calm reports whether few requests are repeated ones. A host that has just started
// does not know whether others refused some.
func (r *route) calm(now time.Time) bool {
	if r.refusedAt.IsZero() {
		return r.requests > historyLength
	}
	return now.Sub(r.refusedAt) > calmAfter
}
