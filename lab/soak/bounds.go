package soak

import "time"

// bounds are the limits that the user documentation guarantees for a deployment of
// the present size.
var bounds = struct {
	// settleTime is the time without faults after which a host must keep the
	// bounds below.
	settleTime time.Duration
	// drainPropagation is the time after which a draining upstream receives no
	// new requests, configPropagation the time after which a configuration is in
	// force.
	drainPropagation, configPropagation time.Duration
	// stopGrace is the time limit of a graceful stop. During a graceful stop, a
	// request that was not read may end with its connection within
	// earlyCloseSlack of being sent.
	stopGrace, earlyCloseSlack time.Duration
	// timeoutSlack is how long after its route's timeout a request may remain
	// unanswered.
	timeoutSlack time.Duration
	// healthChecksPerSecond is the maximum rate of health checks to one upstream.
	healthChecksPerSecond  float64
	retryRatio, retrySlack float64
	// minServedShare is the minimum share of requests that are served once all
	// faults have ended.
	minServedShare float64
	// minCutShare is how often the callers of hosts that are cut off from all
	// upstreams are served at least, as a part of how often the others are.
	minCutShare float64
}{
	settleTime: 3 * time.Second, drainPropagation: 2 * time.Second, configPropagation: 2 * time.Second,
	stopGrace: 6 * time.Second, earlyCloseSlack: 200 * time.Millisecond, timeoutSlack: 500 * time.Millisecond,
	healthChecksPerSecond: 60, retryRatio: 0.2, retrySlack: 62, minServedShare: 0.25, minCutShare: 2.0 / 3,
}

const (
	// routeTimeout is the timeout of every route.
	routeTimeout = 3 * time.Second
	// latencyObjective is the latency objective of every route.
	latencyObjective = 200 * time.Millisecond
	// maxAttempts is the number of upstreams that a lookup may be sent to.
	maxAttempts = 2
	// maxUnexplained is the number of requests of a run that may lack an explained
	// cause: requests lost although their upstream was healthy, and requests that
	// ran on more than maxAttempts upstreams.
	maxUnexplained = 3
	// maxCutFailures is the number of requests that may fail at hosts that are cut off,
	// beside one in fifty of all.
	maxCutFailures = 10
	// minRateLimit is the least rate limit that an upstream names, in requests a
	// second. In any limitWindow, it gets at most limitFactor times its limit and
	// limitSlack requests more.
	minRateLimit = 2
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	// maxRetryAfter is the Retry-After of an upstream that refuses requests. From
	// retryAfterGrace after a refusal on, its host may send maxWhilePaused more.
	maxRetryAfter   = 2 * time.Second
	retryAfterGrace = 500 * time.Millisecond
	maxWhilePaused  = 2
)
