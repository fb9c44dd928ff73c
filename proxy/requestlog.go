package proxy

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
)

// RequestLog is told how requests end. It must not block.
type RequestLog interface {
	Ended(r RequestRecord)
}

// RequestRecord is how one request ended and what led to it.
type RequestRecord struct {
	// ID is the caller's name of the request, "" when it gave none.
	ID    string
	Route string
	Pool  string
	Class string
	// Version is the version of the tables that the request was routed by; 0
	// when it matched no route.
	Version uint64
	Outcome outcome.Outcome
	// Reason is zero for a request that an upstream answered.
	Reason outcome.Reason
	// Status is the status of the answer.
	Status int
	// Total is the time from the header to the end of the answer, Deadline
	// what it had.
	Total    time.Duration
	Deadline time.Duration
	// RetryAfter is what a refusal asked the caller to wait.
	RetryAfter time.Duration
	Attempts   []AttemptRecord
}

// AttemptRecord is one attempt of a request.
type AttemptRecord struct {
	Target   netip.AddrPort
	Identity string
	// Basis is what the choice of the target rested on, nil when unknown.
	Basis *ports.Basis
	// Verdict is zero while the attempt has not ended.
	Verdict ports.Verdict
	// Error says why the attempt failed; "" when it did not.
	Error string
	// After is the time from the request's header to the dispatch, Latency
	// that from the dispatch to the answer's header.
	After   time.Duration
	Latency time.Duration
}

// logEnd tells the request log how a call ended.
func (c *call) logEnd(end attempt.End, total time.Duration) {
	log := c.server.opts.RequestLog
	if log == nil {
		return
	}
	c.mu.Lock()
	tries, retryAfter := c.tries, c.retryAfter
	c.mu.Unlock()
	log.Ended(RequestRecord{
		ID: c.in.id, Route: c.match.Route.Name, Pool: c.match.Pool.Name, Class: string(c.match.Route.Class),
		Version: c.version, Outcome: end.Outcome, Reason: end.Reason, Status: c.status(end),
		Total: total, Deadline: c.deadline.Sub(c.received), RetryAfter: retryAfter,
		Attempts: lo.Map(tries, func(t *try, _ int) AttemptRecord { return t.record(c.received) }),
	})
}

// status is the status that the caller sees.
func (c *call) status(end attempt.End) int {
	if end.Reason != 0 {
		return reasonStatus[end.Reason]
	}
	return c.rc.Response.StatusCode()
}

func (t *try) record(received time.Time) AttemptRecord {
	r := AttemptRecord{
		Target: t.attempt.Target(), Identity: identityOf(t.attempt),
		Verdict: t.feedback.Verdict, Latency: t.feedback.Latency,
	}
	if a, ok := t.attempt.(ports.ReasonedAttempt); ok {
		basis := a.Basis()
		r.Basis = &basis
	}
	if !t.started.IsZero() {
		r.After = t.started.Sub(received)
	}
	if t.err != nil {
		r.Error = t.err.Error()
	}
	return r
}

// logRefused tells the request log of a request that matched no route.
func (s *Server) logRefused(in *inbound, p *problem) {
	if s.opts.RequestLog == nil || in == nil {
		return
	}
	s.opts.RequestLog.Ended(RequestRecord{
		ID: in.id, Version: s.router.Router().Version(), Outcome: p.outcome, Reason: p.reason, Status: p.status,
	})
}
