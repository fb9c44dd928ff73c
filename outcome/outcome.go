// Package outcome names how a request ended for its caller. An outcome is a
// value that travels with the answer; it is never an error that unwinds.
package outcome

// Outcome says what the balancer knows about whether a request ran upstream.
type Outcome uint8

// The outcomes, as the Chestnut-Outcome header spells them.
const (
	// NotRun means that no upstream ran the request; it is safe to send again.
	NotRun Outcome = iota + 1
	// Unknown means that an upstream may have run the request.
	Unknown
	// Ran means that an upstream ran the request and answered.
	Ran
)

// String returns the spelling used in the Chestnut-Outcome header.
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

// Reason says why the balancer answered a request itself.
type Reason uint8

// The reasons, with the HTTP status that each is answered with.
const (
	// NoRoute: no route matches the request (404).
	NoRoute Reason = iota + 1
	// NoTarget: the pool has no target that may take the request (503).
	NoTarget
	// LimitReached: a concurrency or caller limit refused the request (503).
	LimitReached
	// QueueFull: the queue can't serve the request before its deadline (503).
	QueueFull
	// DeadlinePassed: the deadline passed before dispatch (503).
	DeadlinePassed
	// LedgerUnavailable: the order ledger can't be consulted (503).
	LedgerUnavailable
	// KeyInFlight: another request holds the idempotency key (409).
	KeyInFlight
	// KeyReused: the idempotency key was used with another body (422).
	KeyReused
	// UpstreamLost: the connection failed after dispatch (502).
	UpstreamLost
	// UpstreamTimeout: the deadline passed after dispatch (504).
	UpstreamTimeout
	// BadRequest: the request is malformed (400).
	BadRequest
	// TooLarge: a documented size limit was exceeded (413 or 431).
	TooLarge
	// Stopping: the host is stopping and takes no new request (503).
	Stopping
	// NotConfigured: the host knows no configuration yet (503).
	NotConfigured
	// CallerGone: the caller closed its connection; nobody reads the answer.
	CallerGone
)

var reasonNames = map[Reason]string{
	NoRoute: "no-route", NoTarget: "no-target", LimitReached: "limit-reached",
	QueueFull: "queue-full", DeadlinePassed: "deadline-passed",
	LedgerUnavailable: "ledger-unavailable", KeyInFlight: "key-in-flight",
	KeyReused: "key-reused", UpstreamLost: "upstream-lost",
	UpstreamTimeout: "upstream-timeout", BadRequest: "bad-request",
	TooLarge: "too-large", Stopping: "stopping", NotConfigured: "not-configured", CallerGone: "caller-gone",
}

// String returns the reason as metric labels and logs spell it.
func (r Reason) String() string {
	if name, ok := reasonNames[r]; ok {
		return name
	}
	return "invalid"
}
