// Package outcome defines how a request ended: whether it ran upstream (Outcome)
// and, when the balancer answered the request itself, why (Reason). Both are
// values that are passed along with the response; they are not Go errors.
package outcome

// Outcome is what the balancer knows about whether an upstream ran a request.
type Outcome uint8

// Outcomes. String returns the value that the Chestnut-Outcome header has for
// each.
const (
	// NotRun means that no upstream ran the request, so that it is safe to retry.
	NotRun Outcome = iota + 1
	// Unknown means that an upstream may have run the request.
	Unknown
	// Ran means that an upstream ran the request and answered it.
	Ran
)

// String returns the outcome as in the Chestnut-Outcome header, "invalid" for
// any other value.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	case Ran:
		return "ran"
	default:
		return "invalid"
	}
}

// Reason is why the balancer answered a request itself.
type Reason uint8

// Reasons, with the usual HTTP status of the response for each.
const (
	// NoRoute: no route matches the request (404).
	NoRoute Reason = iota + 1
	// NoTarget: the pool has no target that may serve the request (503).
	NoTarget
	// LimitReached: the caller has too many queued requests, or the connection
	// limit of the targets is reached (503).
	LimitReached
	// QueueFull: the queue is full, or the request would wait in it past its
	// deadline (503).
	QueueFull
	// DeadlinePassed: the deadline passed before dispatch (503).
	DeadlinePassed
	// LedgerUnavailable: the order ledger (package ledger) can't be reached (503).
	LedgerUnavailable
	// KeyInFlight: another request holds the idempotency key (409).
	KeyInFlight
	// KeyReused: the idempotency key was used with a different request (422).
	KeyReused
	// UpstreamLost: the upstream connection failed after dispatch (502).
	UpstreamLost
	// UpstreamTimeout: the deadline passed after dispatch (504).
	UpstreamTimeout
	// BadRequest: the request is malformed (400).
	BadRequest
	// TooLarge: a documented size limit was exceeded (413 or 431).
	TooLarge
	// Stopping: the host is shutting down and the request could not be expected to end
	// before (503).
	Stopping
	// NotConfigured: the host has not loaded any configuration yet (503).
	NotConfigured
	// CallerGone: the caller closed its connection and does not read the response
	// (502).
	CallerGone
	// RateLimited: the targets take no more requests a second before the deadline
	// (503).
	RateLimited
	// Quarantined: targets ended under requests with the same content (503).
	Quarantined
	// UnknownKey: the request needs an API key of a workspace and carries none that
	// is valid (401).
	UnknownKey
	// QuotaExceeded: the workspace has used up its quota (429).
	QuotaExceeded
	// Interrupted: the host stopped while an upstream worked on the request (502).
	Interrupted
	// UpstreamFailed: an upstream may have run the request and failed it with a status
	// that callers take for the promise that it has not run (502).
	UpstreamFailed
)

var reasonNames = map[Reason]string{
	NoRoute: "no-route", NoTarget: "no-target", LimitReached: "limit-reached",
	QueueFull: "queue-full", DeadlinePassed: "deadline-passed",
	LedgerUnavailable: "ledger-unavailable", KeyInFlight: "key-in-flight",
	KeyReused: "key-reused", UpstreamLost: "upstream-lost",
	UpstreamTimeout: "upstream-timeout", BadRequest: "bad-request",
	TooLarge: "too-large", Stopping: "stopping", NotConfigured: "not-configured", CallerGone: "caller-gone",
	RateLimited: "rate-limited", Quarantined: "quarantined",
	UnknownKey: "unknown-key", QuotaExceeded: "quota-exceeded", Interrupted: "interrupted", UpstreamFailed: "upstream-failed",
}

// String returns the reason as in metric labels and logs, "invalid" for an
// undefined one.
func (r Reason) String() string {
	if name, ok := reasonNames[r]; ok {
		return name
	}
	return "invalid"
}
