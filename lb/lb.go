// Package lb holds the interfaces and value types that the components of the
// load balancer share: those of admission, choice of target, retry budget and
// the ledger of requests with an idempotency key (orders), and those between a
// host and its peers. The forwarding path depends on these interfaces alone, so
// that an embedder can supply its own implementations.
//
// An entry host is a host that accepts the requests of callers; several of them
// share the targets.
package lb

import (
	"context"
	"net/netip"
	"time"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/table"
)

// Tables returns the configuration tables in force. Current never returns nil.
type Tables interface {
	Current() *table.Tables
}

// AdmitQuery describes a request that asks for admission.
type AdmitQuery struct {
	Pool     string
	Class    table.Class
	Caller   string
	Deadline time.Time
}

// Refusal says why a request was refused. RetryAfter is the time after which
// the caller may try again; it is zero when it is unknown.
type Refusal struct {
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// Admission decides when a request may be dispatched.
type Admission interface {
	// Admit waits for a permit until the context ends or the request can no
	// longer meet its deadline. Exactly one of the results is non-nil.
	Admit(ctx context.Context, q AdmitQuery) (Permit, *Refusal)
}

// Permit is the right to have one request in flight.
type Permit interface {
	// Release returns the permit; only the first call counts.
	Release(now time.Time, r Result)
}

// Result is how a dispatched attempt ended, as limits and balancing see it.
type Result struct {
	Verdict Verdict
	// Latency is the time from dispatch to the end of the response header.
	Latency time.Duration
}

// Verdict classifies the end of an attempt.
type Verdict uint8

// The verdicts.
const (
	// Succeeded means a complete response with a status below 500.
	Succeeded Verdict = iota + 1
	// Failed means a 5xx response, or that the connection failed.
	Failed
	// Shed means that the upstream refused the request and said that it did not
	// run it.
	Shed
	// TimedOut means that the deadline passed.
	TimedOut
	// Abandoned means that the caller went away or that the other copy of a
	// hedged request answered first; it says nothing about the target.
	Abandoned
)

var verdictNames = map[Verdict]string{
	Succeeded: "succeeded", Failed: "failed", Shed: "shed", TimedOut: "timed-out", Abandoned: "abandoned",
}

// String returns the verdict as logs and metrics spell it, "under-way" for an
// attempt that has not ended.
func (v Verdict) String() string {
	if name, ok := verdictNames[v]; ok {
		return name
	}
	return "under-way"
}

// PickQuery asks for a target.
type PickQuery struct {
	Pool  string
	Class table.Class
	Now   time.Time
	// Exclude lists targets that this request has already been sent to.
	Exclude []netip.AddrPort
	// Deadline is when the request must have been answered; a RefusingBalancer reads
	// it.
	Deadline time.Time
}

// Balancer chooses targets and learns from how attempts end.
type Balancer interface {
	// Pick chooses a target and counts the attempt as in flight; ok is false
	// when the pool has no target that may take new work.
	Pick(q PickQuery) (a Attempt, ok bool)
}

// RefusingBalancer is a Balancer whose targets may have a rate limit: it may wait for
// a target and says when to try again.
type RefusingBalancer interface {
	Balancer
	// PickOrRefuse chooses like Pick. It waits for a permit of a target with a rate
	// limit when one is expected well before the deadline. Exactly one of the results
	// is non-nil.
	PickOrRefuse(ctx context.Context, q PickQuery) (Attempt, *Refusal)
}

// Attempt is one dispatch of a request to one target.
type Attempt interface {
	Target() netip.AddrPort
	// Done ends the attempt; it must be called exactly once.
	Done(now time.Time, f Feedback)
}

// PlaceQuery asks for a target for a request that may wait for one.
type PlaceQuery struct {
	Pool  string
	Route *table.Route
	// Received is when the caller's request arrived, Deadline when it must have
	// been answered.
	Received time.Time
	Deadline time.Time
	// Waited is how long the caller had waited before this request arrived, after
	// earlier ones that were refused; 0 for its first request and when that is unknown.
	Waited time.Duration
	// Exclude lists targets that this request has already been sent to.
	Exclude []netip.AddrPort
	// Subsequent is true for every attempt but the first, Hedge for a hedged
	// copy: another attempt of the request is still in flight.
	Subsequent bool
	Hedge      bool
	// RequestID identifies the request in logs.
	RequestID string
	// FailureDomain is the failure domain that the request is sent from, "" for
	// that of this host.
	FailureDomain string
	// Partition is the number of the pool's partition that serves the request,
	// from 1; 0 stands for any. Only large pools have more than one.
	Partition int
	// Workspace is the name of the workspace that the request belongs to, "" when
	// there is none. Weight is its share of the room when not all requests can be
	// served, relative to the other workspaces; 0 counts as 1.
	Workspace string
	Weight    float64
	// BodyBytes is the size of the request body of an upload.
	BodyBytes int64
	// Regions are the regions whose targets may serve the request; nil allows all.
	Regions []string
}

// QueueingBalancer is a Balancer that may query targets and wait for a free one
// before it chooses.
type QueueingBalancer interface {
	Balancer
	// Place chooses a target and counts the attempt as in flight. It returns a
	// refusal as soon as no target can serve the request in time. Exactly one
	// of the results is non-nil.
	Place(ctx context.Context, q PlaceQuery) (Attempt, *Refusal)
}

// IdentifiedAttempt is an Attempt whose target has an identity besides its
// address: another target may have taken over the address.
type IdentifiedAttempt interface {
	Attempt
	Identity() string
}

// SelectionBasis is the state that the choice of a target was based on.
type SelectionBasis struct {
	// Outstanding is the estimated number of requests at the target, Slots the
	// number that it serves at once.
	Outstanding, Slots int
	// Slowdown is how many times as long as usual a request takes there, 0 when
	// unknown.
	Slowdown float64
	// Age is the age of the target's load report, Cost the value by which
	// targets were compared (lowest wins).
	Age  time.Duration
	Cost float64
	// RateLimit is the target's rate limit in force, in requests a second; 0 when it
	// has none. RateLimitReason says why it has one.
	RateLimit       float64
	RateLimitReason backpressure.Reason
	// PlacedBy is the address of the host that chose, "" for this one.
	PlacedBy string
}

// ExplainedAttempt is an Attempt that knows what its choice was based on.
type ExplainedAttempt interface {
	Attempt
	Basis() SelectionBasis
}

// ObservedAttempt is an Attempt that takes what the header of a response says
// about the requests that its target takes, before the attempt ends.
type ObservedAttempt interface {
	Attempt
	Observe(s backpressure.Signal)
}

// Feedback is what the end of an attempt shows about its target.
type Feedback struct {
	Result
	// LoadReport is the value of the endpoint-load-metrics header, "" when
	// absent.
	LoadReport string
	// Draining is true when the response carried Chestnut-Draining: 1.
	Draining bool
	// WrongTarget is true when another target answered at the address.
	WrongTarget bool
	// ConnectFailed is true when no connection could be opened.
	ConnectFailed bool
	// GroupLoad is the value of HeaderGroupLoad on a peer's response, "" when
	// absent.
	GroupLoad string
}

// HeaderGroupLoad is the header with the load of a group of targets. The host
// that owns the group sends it to the host that handed a request over.
const HeaderGroupLoad = "Chestnut-Group-Load"

// PeerAttempt is an Attempt that is sent to a peer, which owns a group of
// targets.
type PeerAttempt interface {
	Attempt
	// Group returns the group to which the peer dispatches the request; ok is
	// false when the request goes to an upstream directly.
	Group() (group string, ok bool)
}

// RetryBudget bounds the attempts beyond the first of the requests to a pool.
type RetryBudget interface {
	// Deposit counts a first attempt.
	Deposit(pool string, now time.Time)
	// Withdraw spends the budget for one further attempt; false when it is used
	// up.
	Withdraw(pool string, now time.Time) bool
}

// QuotaQuery asks for one request's part of its workspace's quota.
type QuotaQuery struct {
	Workspace table.Workspace
	// MaxWait is the longest time to wait for a token.
	MaxWait time.Duration
	// Deadline is when the request's time ends. While nobody says whether there is a
	// token, it may wait for longer than MaxWait, for a part of the time left; not
	// when Deadline is zero.
	Deadline  time.Time
	RequestID string
}

// Quota admits the requests of workspaces within their quotas, over all hosts
// together.
type Quota interface {
	// Take waits for a token. It returns a refusal as soon as it is clear that
	// there is none within MaxWait. Exactly one of the results is non-nil.
	Take(ctx context.Context, q QuotaQuery) (QuotaPermit, *Refusal)
}

// QuotaPermit is the right of one request to run within its workspace's quota.
type QuotaPermit interface {
	// Return gives the token back because the request never ran; only the first
	// call counts.
	Return()
}

// RequestGuard refuses requests that end each target that runs them. Requests with
// the same content are copies of one request.
type RequestGuard interface {
	// Active reports whether requests with any content may be refused or need
	// Answered.
	Active() bool
	// Check reports whether a request is refused, and when it may be tried again.
	Check(content uint64, requestID string) (retryAfter time.Duration, refused bool)
	// Lost records that a request that was sent got no complete response, or none
	// for long. It does not block.
	Lost(content uint64, pool string, a Attempt)
	// Suspected reports whether targets have ended under requests with a content.
	Suspected(content uint64) bool
	// Answered records that a request got a complete response from a target.
	Answered(content uint64)
}

// OrderKey identifies an order, a request with an idempotency key, across entry
// hosts.
type OrderKey struct {
	Caller string
	Key    string
	// Fingerprint is a hash of method, path and body.
	Fingerprint uint64
}

// RecordedResponse is a small response that is stored with its order, to be
// replayed.
type RecordedResponse struct {
	Status int
	Header [][2]string
	Body   []byte
}

// ClaimState is the result of a claim in the ledger.
type ClaimState uint8

// The claim states.
const (
	// ClaimGranted means that this request holds the key and may be dispatched
	// once.
	ClaimGranted ClaimState = iota + 1
	// ClaimDone means that the order has run; Response may hold its response.
	ClaimDone
	// ClaimInFlight means that another request holds the key, or that its end
	// is unknown.
	ClaimInFlight
	// ClaimConflict means that the key was used with another fingerprint.
	ClaimConflict
	// ClaimUnavailable means that the ledger can't be reached.
	ClaimUnavailable
)

// Claim is the result of Ledger.Claim.
type Claim struct {
	State ClaimState
	// Token identifies a granted claim in RecordOutcome.
	Token string
	// Response is set with ClaimDone when the response was stored.
	Response *RecordedResponse
	// Outcome is what is known of the earlier request.
	Outcome outcome.Outcome
	// RetryAfter is a hint for ClaimInFlight and ClaimUnavailable.
	RetryAfter time.Duration
}

// Ledger makes sure that an order runs at most once across all entry hosts.
type Ledger interface {
	// Claim claims a key before the request is dispatched.
	Claim(ctx context.Context, k OrderKey) Claim
	// RecordOutcome records the end of a granted claim and the response to
	// replay, nil when there is none. The outcome NotRun releases the key.
	RecordOutcome(ctx context.Context, k OrderKey, token string, o outcome.Outcome, r *RecordedResponse)
}
