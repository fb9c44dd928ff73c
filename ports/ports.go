// Package ports holds the interfaces between the forwarding path and the
// decisions it asks for: admission, choice of target, retry budget and the
// order ledger. The forwarding path depends on these alone, so that an
// embedder can bring its own.
package ports

import (
	"context"
	"net/netip"
	"time"

	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/table"
)

// Tables gives the version in force. Current never returns nil.
type Tables interface {
	Current() *table.Tables
}

// AdmitQuery describes a request that asks to be dispatched.
type AdmitQuery struct {
	Pool     string
	Class    table.Class
	Caller   string
	Deadline time.Time
}

// Refusal says why a request was not admitted. RetryAfter is the time after
// which the caller may try again; it is zero when nothing better is known.
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
	// Release gives the permit back; later calls do nothing.
	Release(now time.Time, r Result)
}

// Result is how a dispatched attempt ended, as limits and balancing see it.
type Result struct {
	Verdict Verdict
	// Latency is the time from dispatch to the end of the answer's header.
	Latency time.Duration
}

// Verdict classifies the end of an attempt.
type Verdict uint8

// The verdicts.
const (
	// Succeeded: a whole answer below 500.
	Succeeded Verdict = iota + 1
	// Failed: a 5xx answer, or the connection failed.
	Failed
	// Shed: the upstream refused and said that it did not run the request.
	Shed
	// TimedOut: the deadline passed.
	TimedOut
	// Abandoned: the caller went away or the other copy of a hedged request
	// answered first; tells nothing about the target.
	Abandoned
)

var verdictNames = map[Verdict]string{
	Succeeded: "succeeded", Failed: "failed", Shed: "shed", TimedOut: "timed-out", Abandoned: "abandoned",
}

// String returns the verdict as logs and metrics spell it.
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
}

// Balancer chooses targets and learns from how attempts end.
type Balancer interface {
	// Pick chooses a target and counts the attempt as in flight; ok is false
	// when the pool has no target that may take new work.
	Pick(q PickQuery) (a Attempt, ok bool)
}

// Attempt is one dispatch to one target.
type Attempt interface {
	Target() netip.AddrPort
	// Done ends the attempt exactly once.
	Done(now time.Time, d Feedback)
}

// PlaceQuery asks for a target for a request that may wait for one.
type PlaceQuery struct {
	Pool  string
	Route *table.Route
	// Received is when the caller's request arrived, Deadline when it ends.
	Received time.Time
	Deadline time.Time
	// Exclude lists targets that this request has already been sent to.
	Exclude []netip.AddrPort
	// Further is true for every attempt but the first, Beside when another
	// attempt of the request is still under way.
	Further bool
	Beside  bool
	// RequestID names the request in logs.
	RequestID string
	// FailureDomain is where the request is sent from.
	FailureDomain string
	// Part is the part of a large pool that serves the request, from 1; 0 is
	// any.
	Part int
}

// Placer is a Balancer that may look at targets and wait for room before it
// chooses one.
type Placer interface {
	Balancer
	// Place chooses a target and counts the attempt as in flight. It returns a
	// refusal as soon as no target can serve the request in time. Exactly one
	// of the results is non-nil.
	Place(ctx context.Context, q PlaceQuery) (Attempt, *Refusal)
}

// IdentifiedAttempt is an Attempt whose target has an identity beside its
// address: the address may have passed on to another target.
type IdentifiedAttempt interface {
	Attempt
	Identity() string
}

// Basis is what the choice of a target rested on.
type Basis struct {
	// Present is the number of requests believed to be at the target, Slots
	// the number that it serves at once.
	Present, Slots int
	// Slowdown is how many times as long as usual work takes there, 0 when
	// unknown.
	Slowdown float64
	// Age is the age of the report, Cost what the choice compared.
	Age  time.Duration
	Cost float64
	// By names the host that chose, "" for this one.
	By string
}

// ReasonedAttempt is an Attempt that says what its choice rested on.
type ReasonedAttempt interface {
	Attempt
	Basis() Basis
}

// Feedback is what an attempt taught about its target.
type Feedback struct {
	Result
	// LoadReport is the value of endpoint-load-metrics, "" when absent.
	LoadReport string
	// Draining is true when the answer carried Chestnut-Draining: 1.
	Draining bool
	// WrongTarget is true when another target answered at the address.
	WrongTarget bool
	// ConnectFailed is true when no connection could be opened.
	ConnectFailed bool
	// GroupLoad is the value of HeaderGroupLoad on the answer of a peer, ""
	// when absent.
	GroupLoad string
}

// HeaderGroupLoad carries the load of a group from its owner to the host that
// handed a request over.
const HeaderGroupLoad = "Chestnut-Group-Load"

// PeerAttempt is an Attempt whose target is a peer that owns the targets.
type PeerAttempt interface {
	Attempt
	// Group names the group that the peer is to dispatch to; ok is false when
	// the target is an upstream itself.
	Group() (group string, ok bool)
}

// RetryBudget bounds further attempts of a pool.
type RetryBudget interface {
	// Deposit counts a first attempt.
	Deposit(pool string, now time.Time)
	// Withdraw takes one further attempt; false when the budget is spent.
	Withdraw(pool string, now time.Time) bool
}

// OrderKey identifies an order across entry hosts.
type OrderKey struct {
	Caller string
	Key    string
	// Fingerprint is a hash of method, path and body.
	Fingerprint uint64
}

// RecordedAnswer is a small answer kept with its order.
type RecordedAnswer struct {
	Status int
	Header [][2]string
	Body   []byte
}

// ClaimState is the answer of the ledger to a claim.
type ClaimState uint8

// The claim states.
const (
	// ClaimGranted: this request holds the key and may be dispatched once.
	ClaimGranted ClaimState = iota + 1
	// ClaimDone: the order ran; Answer may hold what was answered.
	ClaimDone
	// ClaimInFlight: another request holds the key, or its end is unknown.
	ClaimInFlight
	// ClaimConflict: the key was used with another fingerprint.
	ClaimConflict
	// ClaimUnavailable: the ledger can't be consulted.
	ClaimUnavailable
)

// Claim is the result of Ledger.Claim.
type Claim struct {
	State ClaimState
	// Token names a granted claim in Settle.
	Token string
	// Answer is set with ClaimDone when the answer was kept.
	Answer *RecordedAnswer
	// Outcome is what is known of the earlier request.
	Outcome outcome.Outcome
	// RetryAfter is a hint for ClaimInFlight and ClaimUnavailable.
	RetryAfter time.Duration
}

// Ledger keeps orders at most once across entry hosts.
type Ledger interface {
	// Claim writes a claim before dispatch.
	Claim(ctx context.Context, k OrderKey) Claim
	// Settle records the end of a granted claim. NotRun releases the key.
	Settle(ctx context.Context, k OrderKey, token string, o outcome.Outcome, a *RecordedAnswer)
}
