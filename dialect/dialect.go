// Package dialect names the HTTP headers and statuses by which the callers
// and upstreams of a deployment speak. The forwarding path reads them from a
// Dialect, so that a deployment with headers of its own needs no other
// forwarding path.
package dialect

import (
	"net/http"

	"github.com/chestnutfield/chestnutfield/load"
)

// Dialect is one set of names. A name that is empty is not used.
type Dialect struct {
	// Deadline carries the remaining time in milliseconds, from callers and to
	// upstreams.
	Deadline string
	// Retries carries the number of retries left to the receiver.
	Retries string
	// RequestID names one request of a caller. It goes on to the upstream,
	// which repeats it on its answer: an answer with another id belongs to
	// another request and is never given on.
	RequestID string
	// Target names the upstream that alone may run the request.
	Target string
	// WrongTarget is the status of an upstream that is not the one that Target
	// named and did not run the request; 0 when there is none.
	WrongTarget int
	// NotRun is set by an upstream that did not run the request, with one of
	// the statuses of NotRunStatuses.
	NotRun string
	// NotRunValue is the value of NotRun that counts; "" takes any.
	NotRunValue    string
	NotRunStatuses []int
	// Signature is on every successful answer of an upstream. A success
	// without it is no answer.
	Signature string
	// Load carries an upstream's load report on its answers.
	Load string
	// ParseLoad reads a load report.
	ParseLoad func(text string) (load.Report, error)
	// Identity names the upstream that answered, on answers of its health path.
	Identity string
	// Draining is set to 1 on the answers of an upstream that leaves.
	Draining string
	// Outcome tells callers whether a request that got no answer of an
	// upstream ran.
	Outcome string
	// PlainBodies is true when upstreams never encode bodies, so that an
	// encoded one is spoilt.
	PlainBodies bool
	// FractionalRetryAfter allows fractions of a second in Retry-After.
	FractionalRetryAfter bool
}

// Own is the dialect of the product's own interface.
func Own() Dialect {
	return Dialect{
		Deadline:       "Chestnut-Deadline-Ms",
		Retries:        "Chestnut-Retries",
		NotRun:         "Chestnut-Not-Run",
		NotRunValue:    "1",
		NotRunStatuses: []int{http.StatusTooManyRequests, http.StatusServiceUnavailable},
		Load:           "endpoint-load-metrics",
		ParseLoad:      load.Parse,
		Draining:       "Chestnut-Draining",
		Outcome:        "Chestnut-Outcome",
	}
}
