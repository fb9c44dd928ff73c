package proxy

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// RequestLog receives a record of each request when it ends. It must not
// block.
type RequestLog interface {
	RequestEnded(r RequestRecord)
}

// RequestRecord describes one request that has ended, and its attempts.
type RequestRecord struct {
	// ID is the request ID that the caller sent, "" when it sent none.
	ID    string
	Route string
	Pool  string
	Class string
	// Workspace is the name of the workspace whose key the request carried, "" for
	// none.
	Workspace string
	// Version is the version of the tables that the request was routed by, or
	// that contained no route for it.
	Version uint64
	Outcome outcome.Outcome
	// Reason is zero for a request that an upstream answered.
	Reason outcome.Reason
	// Detail says more about a request that was refused before a call began, or
	// because of its key; "" for all others.
	Detail string
	// Status is the status code of the response.
	Status int
	// Total is the time from the header to the end of the response, Deadline
	// the time that the request was allowed.
	Total    time.Duration
	Deadline time.Duration
	// Waited is how long the caller had waited before this request, 0 when it is its
	// first one or that is unknown.
	Waited time.Duration
	// RetryAfter is how long a refusal asked the caller to wait.
	RetryAfter time.Duration
	// Content identifies requests with the same content, 0 unless an attempt got no
	// complete response.
	Content  uint64
	Attempts []AttemptRecord
}

// AttemptRecord describes one attempt of a request.
type AttemptRecord struct {
	Target   netip.AddrPort
	Identity string
	// Basis is the data that the choice of the target was based on, nil when
	// unknown.
	Basis *lb.SelectionBasis
	// Verdict is zero while the attempt has not ended.
	Verdict lb.Verdict
	// Error says why the attempt failed; "" when it did not.
	Error string
	// DispatchDelay is the time from the request's header to the dispatch,
	// Latency the time from the dispatch to the response header.
	DispatchDelay time.Duration
	Latency       time.Duration
}

// logEnd writes a call that ended to the request log.
func (c *call) logEnd(end attempt.End, total time.Duration) {
	log := c.server.opts.RequestLog
	if log == nil {
		return
	}
	c.mu.Lock()
	attempts, retryAfter := c.attempts, c.retryAfter
	c.mu.Unlock()
	log.RequestEnded(RequestRecord{
		ID: c.in.requestID, Route: c.match.Route.Name, Pool: c.match.Pool.Name, Class: string(c.match.Route.Class),
		Workspace: c.in.access.workspaceName(),
		Version:   c.version, Outcome: end.Outcome, Reason: end.Reason, Status: c.status(end),
		Total: total, Deadline: c.deadline.Sub(c.received), RetryAfter: retryAfter,
		Waited:   c.waited,
		Detail:   refusedKeyDetail(end.Reason),
		Content:  c.lostContent(attempts),
		Attempts: lo.Map(attempts, func(t *upstreamAttempt, _ int) AttemptRecord { return t.logRecord(c.received) }),
	})
}

// lostContent returns the content hash of a call of which an attempt was sent and got
// no complete response, otherwise 0.
func (c *call) lostContent(attempts []*upstreamAttempt) uint64 {
	lost := lo.ContainsBy(attempts, func(t *upstreamAttempt) bool { return t.err != nil && !t.started.IsZero() })
	if !lost {
		return 0
	}
	return c.contentHash()
}

// status returns the status code that the caller receives.
func (c *call) status(end attempt.End) int {
	if end.Reason != 0 {
		return end.Outcome.Status(reasonStatus[end.Reason])
	}
	return c.rc.Response.StatusCode()
}

func (t *upstreamAttempt) logRecord(received time.Time) AttemptRecord {
	r := AttemptRecord{
		Target: t.picked.Target(), Identity: identityOf(t.picked),
		Verdict: t.feedback.Verdict, Latency: t.feedback.Latency,
	}
	if a, ok := t.picked.(lb.ExplainedAttempt); ok {
		basis := a.Basis()
		r.Basis = &basis
	}
	if !t.started.IsZero() {
		r.DispatchDelay = t.started.Sub(received)
	}
	if t.err != nil {
		r.Error = t.err.Error()
	}
	return r
}

// logRefused writes a request that was refused without a call to the request
// log. in is nil for a malformed header, which is not logged.
func (s *Server) logRefused(in *inbound, p *localReply) {
	if s.opts.RequestLog == nil || in == nil {
		return
	}
	s.opts.RequestLog.RequestEnded(RequestRecord{
		ID: in.requestID, Version: s.router.Router().Version(), Outcome: p.outcome, Reason: p.reason, Status: p.status, Detail: p.detail,
	})
}
