// Package dialect defines the HTTP header names and status codes that a
// deployment's callers and upstreams use for deadlines, retries, load reports
// and outcomes. The forwarding path takes them from a Dialect, so that it also
// works for deployments with their own headers.
package dialect

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/load"
)

// Dialect is one set of header names and status codes. An empty name means that
// the header is not used.
type Dialect struct {
	// Deadline is the header with the remaining time in milliseconds, from
	// callers and to upstreams.
	Deadline string
	// Retries is the header with the number of retries that the receiver may
	// make.
	Retries string
	// RequestID is the header with the ID of a caller's request. It is forwarded
	// to the upstream, which repeats it on its response. A response with a different
	// ID belongs to another request and is never forwarded to the caller.
	RequestID string
	// Target is the header that names the only upstream that may run the request.
	Target string
	// WrongTarget is the status with which an upstream answers a request that it
	// did not run because Target names another; 0 when there is none. It says that only
	// together with NotRun.
	WrongTarget int
	// NotRun is the header of an upstream's response that says that the upstream
	// did not run the request. It counts only with a status in NotRunStatuses.
	NotRun string
	// NotRunValue is the value that NotRun must have; "" accepts any value.
	NotRunValue    string
	NotRunStatuses []int
	// Signature is a header of every successful response of an upstream. A
	// successful response without it is rejected.
	Signature string
	// Load is the header of an upstream's responses with its load report.
	Load string
	// ParseLoad parses the value of Load.
	ParseLoad func(text string) (load.Report, error)
	// Identity is the header that names the responding upstream, on responses of its
	// health check path.
	Identity string
	// Draining is the header that an upstream sets to 1 on its responses while it
	// is draining.
	Draining string
	// RateLimit is the header with which an upstream names the requests a second
	// that it takes from all hosts together, for as long as its responses have it.
	RateLimit string
	// Warmup is the header of responses to load queries with the rest of the
	// upstream's warm-up in milliseconds; 0 says nothing of it.
	Warmup string
	// Workspace is the header that names to an upstream the workspace of a request.
	Workspace string
	// KeyScheme is the scheme of the Authorization header with which callers send
	// the API key of their workspace.
	KeyScheme string
	// Outcome is the header that tells a caller whether a request that got no
	// response from an upstream ran (package outcome).
	Outcome string
	// StatusPromises is true when callers take the status of a response alone for the
	// promise that the request has not run (outcome.PromisesNotRun). Where it is false,
	// they take that from Outcome.
	StatusPromises bool
	// PlainBodies is true when upstreams never set Content-Encoding, so that an
	// encoded response body is invalid.
	PlainBodies bool
	// FractionalRetryAfter allows fractions of a second in Retry-After.
	FractionalRetryAfter bool
}

// Default returns the dialect with chestnutfield's own header names.
func Default() Dialect {
	return Dialect{
		Deadline:       "Chestnut-Deadline-Ms",
		Retries:        "Chestnut-Retries",
		NotRun:         "Chestnut-Not-Run",
		NotRunValue:    "1",
		NotRunStatuses: []int{http.StatusTooManyRequests, http.StatusServiceUnavailable},
		Load:           "endpoint-load-metrics",
		ParseLoad:      load.Parse,
		Draining:       "Chestnut-Draining",
		Warmup:         "Warmup-Ms",
		Workspace:      "Chestnut-Workspace",
		KeyScheme:      "Bearer",
		Outcome:        "Chestnut-Outcome",
	}
}

// drainingValue is the value that Draining has while an upstream is draining.
const drainingValue = "1"

// Signal returns what a response says about the requests that its upstream takes.
// values returns all values of a header. Malformed headers are left out and
// reported as an error.
func (d Dialect) Signal(status int, values func(name string) []string) (s backpressure.Signal, err error) {
	if limit := values(d.RateLimit); d.RateLimit != "" && len(limit) > 0 {
		if s.PerSecond, err = backpressure.ParseRate(limit); err == nil {
			s.Limited = true
		}
	}
	s.Leaving = d.Draining != "" && slices.Equal(values(d.Draining), []string{drainingValue})
	if after := values(fasthttp.HeaderRetryAfter); status == http.StatusServiceUnavailable && len(after) > 0 {
		retryAfter, retryErr := backpressure.ParseRetryAfter(after)
		s.RetryAfter, err = retryAfter, cmp.Or(err, retryErr)
	}
	if left := values(d.Warmup); d.Warmup != "" && len(left) > 0 {
		warmup, warmupErr := backpressure.ParseWarmup(left)
		s.Warmup, err = warmup, cmp.Or(err, warmupErr)
	}
	return s, err
}
