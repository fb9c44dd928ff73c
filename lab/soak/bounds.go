package soak

import "time"

// bounds are what the users' pages promise of a deployment of today's size.
var bounds = struct {
	// contact is the time without trouble after which a host is held to the
	// bounds below.
	contact time.Duration
	// leave is the time after which a leaving upstream gets nothing new, and
	// apply that after which a configuration is in force.
	leave, apply time.Duration
	// grace is the time of a planned stop; lossSlack is how soon an unread
	// request may end with the connection then.
	grace, lossSlack time.Duration
	// hold is how long past its route's timeout a request may be unanswered.
	hold time.Duration
	// checksPerSecond bounds the health checks of one upstream.
	checksPerSecond        float64
	retryRatio, retrySlack float64
	// leastServed is the share of requests that must be served once trouble has
	// ended.
	leastServed float64
}{
	contact: 3 * time.Second, leave: 2 * time.Second, apply: 2 * time.Second,
	grace: 6 * time.Second, lossSlack: 200 * time.Millisecond, hold: 500 * time.Millisecond,
	checksPerSecond: 60, retryRatio: 0.2, retrySlack: 62, leastServed: 0.25,
}

const (
	// routeTimeout bounds a request.
	routeTimeout = 3 * time.Second
	// objective is the time within which an answer is worth most.
	objective = 200 * time.Millisecond
	// attempts is the number of upstreams that a lookup may be sent to.
	attempts = 2
	// lostMost is the number of requests that may be lost without a cause, of
	// those passed on to a sound upstream.
	lostMost = 3
)
