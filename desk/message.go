package desk

import (
	"net/netip"
	"time"

	"github.com/chestnutfield/chestnutfield/mesh"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/table"
)

// The kinds of messages.
const (
	kindPlace mesh.Kind = iota + 10
	kindDone
	kindCancel
)

// placeQuestion asks a desk for a target. Times are in milliseconds and
// relative, since hosts share no clock.
type placeQuestion struct {
	_         struct{} `cbor:",toarray"`
	Pool      string
	RequestID string
	// Elapsed since the request arrived, Left until its deadline, Objective
	// from its arrival.
	Elapsed, Left, Objective int64
	Rank                     int
	FailureDomain            string
	Exclude                  []netip.AddrPort
	Further, Beside          bool
	// Part is the part of the pool, from 1.
	Part int
}

func newQuestion(now time.Time, q ports.PlaceQuery, domain string) placeQuestion {
	return placeQuestion{
		Pool: q.Pool, RequestID: q.RequestID,
		Elapsed: now.Sub(q.Received).Milliseconds(), Left: q.Deadline.Sub(now).Milliseconds(),
		Objective: q.Route.Objective.Milliseconds(), Rank: q.Route.Rank,
		FailureDomain: domain, Exclude: q.Exclude, Further: q.Further, Beside: q.Beside, Part: q.Part,
	}
}

func (p placeQuestion) query(now time.Time) ports.PlaceQuery {
	return ports.PlaceQuery{
		Pool: p.Pool, RequestID: p.RequestID, FailureDomain: p.FailureDomain, Exclude: p.Exclude,
		Further: p.Further, Beside: p.Beside, Part: p.Part,
		Received: now.Add(-mesh.Millis(p.Elapsed)), Deadline: now.Add(mesh.Millis(p.Left)),
		Route: &table.Route{Rank: p.Rank, Objective: mesh.Millis(p.Objective)},
	}
}

// state is what became of a question.
type state uint8

const (
	// queued: the request waits at the desk.
	queued state = iota + 1
	placed
	refused
)

// placeAnswer is a desk's answer.
type placeAnswer struct {
	_     struct{} `cbor:",toarray"`
	State state
	// Target, Born and Addr name the target of a placed request.
	Target string
	Born   int64
	Addr   netip.AddrPort
	// The rest of a placed request's answer is what the choice rested on.
	Present, Slots int
	Slowdown, Cost float64
	Age            int64
	// Reason and RetryAfter tell of a refusal.
	Reason     outcome.Reason
	RetryAfter int64
}

func answerOf(a ports.Attempt, r *ports.Refusal) placeAnswer {
	if r != nil {
		return placeAnswer{State: refused, Reason: r.Reason, RetryAfter: r.RetryAfter.Milliseconds()}
	}
	out := placeAnswer{State: placed, Addr: a.Target()}
	if i, ok := a.(interface{ Instance() registry.Instance }); ok {
		out.Target, out.Born = i.Instance().ID, i.Instance().Born
	}
	if b, ok := a.(ports.ReasonedAttempt); ok {
		basis := b.Basis()
		out.Present, out.Slots, out.Slowdown, out.Cost = basis.Present, basis.Slots, basis.Slowdown, basis.Cost
		out.Age = basis.Age.Milliseconds()
	}
	return out
}

// doneNews tells a desk how a placed request ended.
type doneNews struct {
	_        struct{} `cbor:",toarray"`
	Question uint64
	Verdict  ports.Verdict
	// Latency is in microseconds.
	Latency                    int64
	LoadReport                 string
	WrongTarget, ConnectFailed bool
}

func (d doneNews) feedback() ports.Feedback {
	return ports.Feedback{
		Result:     ports.Result{Verdict: d.Verdict, Latency: time.Duration(d.Latency) * time.Microsecond},
		LoadReport: d.LoadReport, WrongTarget: d.WrongTarget, ConnectFailed: d.ConnectFailed,
	}
}

// cancelNews takes a question back.
type cancelNews struct {
	_        struct{} `cbor:",toarray"`
	Question uint64
}
