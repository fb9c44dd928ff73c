package coordinator

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/table"
)

// The kinds of messages.
const (
	kindPlace hostmsg.Kind = iota + 10
	kindDone
	kindCancel
	kindObservation
	kindVote
	kindKnown
	kindWarmup
)

// placeRequest asks a coordinator for a target. Times are in milliseconds and
// relative, since hosts share no clock.
type placeRequest struct {
	_         struct{} `cbor:",toarray"`
	Pool      string
	RequestID string
	// Elapsed is the time since the request arrived, Remaining the time until
	// its deadline, Objective what is left of its latency objective at its arrival, 0
	// when there is none.
	Elapsed, Remaining, Objective int64
	Rank                          int
	FailureDomain                 string
	Exclude                       []netip.AddrPort
	Subsequent, Hedge             bool
	// Partition is the number of the pool's partition, from 1.
	Partition int
}

func newPlaceRequest(now time.Time, q lb.PlaceQuery, domain string) placeRequest {
	return placeRequest{
		Pool: q.Pool, RequestID: shortened(q.RequestID, maxRequestIDBytes),
		Elapsed: now.Sub(q.Received).Milliseconds(), Remaining: q.Deadline.Sub(now).Milliseconds(),
		Objective: objectiveLeft(q).Milliseconds(), Rank: q.Route.Rank,
		FailureDomain: domain, Exclude: q.Exclude, Subsequent: q.Subsequent, Hedge: q.Hedge, Partition: q.Partition,
	}
}

// objectiveLeft returns what was left of a request's latency objective when it arrived:
// a millisecond when its caller had waited for longer, 0 when it has none.
func objectiveLeft(q lb.PlaceQuery) time.Duration {
	if q.Route.Objective <= 0 {
		return 0
	}
	return max(q.Route.Objective-q.Waited, time.Millisecond)
}

func (p placeRequest) placeQuery(now time.Time) lb.PlaceQuery {
	return lb.PlaceQuery{
		Pool: p.Pool, RequestID: p.RequestID, FailureDomain: p.FailureDomain, Exclude: p.Exclude,
		Subsequent: p.Subsequent, Hedge: p.Hedge, Partition: p.Partition,
		Received: now.Add(-hostmsg.Milliseconds(p.Elapsed)), Deadline: now.Add(hostmsg.Milliseconds(p.Remaining)),
		// The message does not say whether the request is an order; none counts as one.
		Route: &table.Route{Rank: p.Rank, Objective: hostmsg.Milliseconds(p.Objective), Idempotent: true},
	}
}

// requestState is what became of a placeRequest.
type requestState uint8

const (
	// queued means that the request waits at the coordinator.
	queued requestState = iota + 1
	// placed means that a target was chosen, refused that the request was
	// refused for the reason in the response.
	placed
	refused
)

// placeResponse is a coordinator's response to a placeRequest.
type placeResponse struct {
	_     struct{} `cbor:",toarray"`
	State requestState
	// Target, StartedMillis and Addr name the target of a placed request.
	Target        string
	StartedMillis int64
	Addr          netip.AddrPort
	// These fields of a placed request describe what the choice was based on,
	// as in lb.SelectionBasis; Age is in milliseconds.
	Outstanding, Slots int
	Slowdown, Cost     float64
	Age                int64
	// Reason and RetryAfter (in milliseconds) describe a refusal.
	Reason     outcome.Reason
	RetryAfter int64
}

// cutOff is the RetryAfter of a refusal by a coordinator that does not reach the
// pool. Hosts of older versions place the request themselves, as for a coordinator
// that knows no targets.
const cutOff = -1

// instance returns the target of a placed request.
func (r placeResponse) instance() registry.Instance {
	return registry.Instance{ID: r.Target, StartedMillis: r.StartedMillis}
}

func newPlaceResponse(a lb.Attempt, r *lb.Refusal) placeResponse {
	if r != nil {
		return placeResponse{State: refused, Reason: r.Reason, RetryAfter: r.RetryAfter.Milliseconds()}
	}
	response := placeResponse{State: placed, Addr: a.Target()}
	if i, ok := a.(interface{ Instance() registry.Instance }); ok {
		response.Target, response.StartedMillis = i.Instance().ID, i.Instance().StartedMillis
	}
	if b, ok := a.(lb.ExplainedAttempt); ok {
		basis := b.Basis()
		response.Outstanding, response.Slots, response.Slowdown, response.Cost = basis.Outstanding, basis.Slots, basis.Slowdown, basis.Cost
		response.Age = basis.Age.Milliseconds()
	}
	return response
}

// doneNotice reports to a coordinator how a placed request ended.
type doneNotice struct {
	_         struct{} `cbor:",toarray"`
	MessageID uint64
	Verdict   lb.Verdict
	// Latency is in microseconds.
	Latency                    int64
	LoadReport                 string
	WrongTarget, ConnectFailed bool
}

func (d doneNotice) feedback() lb.Feedback {
	return lb.Feedback{
		Result:     lb.Result{Verdict: d.Verdict, Latency: time.Duration(d.Latency) * time.Microsecond},
		LoadReport: d.LoadReport, WrongTarget: d.WrongTarget, ConnectFailed: d.ConnectFailed,
	}
}

// cancelNotice withdraws a placeRequest.
type cancelNotice struct {
	_         struct{} `cbor:",toarray"`
	MessageID uint64
}

// observationNotice tells what a target asked all hosts for. Ages are in
// milliseconds.
type observationNotice struct {
	_             struct{} `cbor:",toarray"`
	ID            string
	StartedMillis int64
	Leaving       bool
	Limited       bool
	PerSecond     float64
	// SentAge and HeardAge are the ages of the request and of its response.
	SentAge, HeardAge int64
}

func newObservationNotice(now time.Time, instance registry.Instance, o backpressure.Observation) observationNotice {
	return observationNotice{
		ID: instance.ID, StartedMillis: instance.StartedMillis, Leaving: o.Leaving, Limited: o.Limited, PerSecond: o.PerSecond,
		SentAge: now.Sub(o.SentAt).Milliseconds(), HeardAge: now.Sub(o.HeardAt).Milliseconds(),
	}
}

func (n observationNotice) instance() registry.Instance {
	return registry.Instance{ID: n.ID, StartedMillis: n.StartedMillis}
}

func (n observationNotice) observation(now time.Time) backpressure.Observation {
	return backpressure.Observation{
		Leaving: n.Leaving, Limited: n.Limited, PerSecond: n.PerSecond,
		SentAt: now.Add(-hostmsg.Milliseconds(n.SentAge)), HeardAt: now.Add(-hostmsg.Milliseconds(n.HeardAge)),
	}
}

// knownNotice tells a host what its coordinator knows of rate limits in the
// partition of a request, that of the chosen target among them. It is sent before
// the placeResponse of that message ID, whose format hosts of other versions share.
type knownNotice struct {
	_         struct{} `cbor:",toarray"`
	MessageID uint64
	Known     []observationNotice
}

// rateLimit returns the rate limit by which a target was chosen, in requests a
// second; ok is false when the coordinator knew of none.
func (n knownNotice) rateLimit(chosen registry.Instance) (perSecond float64, ok bool) {
	known, ok := lo.Find(n.Known, func(o observationNotice) bool { return o.Limited && o.instance() == chosen })
	return known.PerSecond, ok
}

// voteRequest asks a witness to vote for a candidate as the holder of a task's
// lease.
type voteRequest struct {
	_               struct{} `cbor:",toarray"`
	Task, Candidate string
}

type voteResponse struct {
	_       struct{} `cbor:",toarray"`
	Granted bool
}
