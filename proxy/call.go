package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/router"
)

// call is one request from its header to the end of its answer. It is never
// reused: an attempt that ends late finds only its own call.
type call struct {
	server *Server
	// rc belongs to the goroutine of the request and its answer stream.
	rc    *fasthttp.RequestCtx
	conn  *callerConn
	in    *inbound
	match router.Match
	// version is that of the tables that the request was routed by.
	version uint64

	received time.Time
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc

	body requestBody
	// bodyLimit bounds a body of unannounced length; 0 sets no bound.
	bodyLimit int64
	// claim is set for a keyed order.
	claim  *orderClaim
	permit ports.Permit
	// refusal, when set, is answered in place of what the machine says.
	refusal *problem
	// retryAfter is what the last refusal of a target said.
	retryAfter time.Duration
	// bodyFailed says why the caller's body failed while it was streamed.
	bodyFailed atomic.Pointer[problem]
	// waited is the time spent waiting for others: the caller's body,
	// admission, the ledger and upstreams.
	waited time.Duration
	// streamed is true when the answer was given as it arrived.
	streamed bool

	// mu guards the machine and tries; hedged attempts and the watcher share
	// them.
	mu      sync.Mutex
	machine *attempt.Machine
	tries   []*try
	room    [2]*try
	// actions carries the end that a hedge leads to; nil when there is none.
	actions chan attempt.Action
	hedge   clockwork.Timer
	// stale is true when the last attempt was lost on a kept connection;
	// result is how it ended.
	stale bool
	// unreached is true when the last attempt's owner could not be connected
	// to: no target saw anything of it.
	unreached bool
	result    ports.Result
	once      sync.Once
}

// orderClaim is a granted claim of an order key.
type orderClaim struct {
	key   ports.OrderKey
	token string
}

func newCall(s *Server, rc *fasthttp.RequestCtx, conn *callerConn, in *inbound, m router.Match) *call {
	c := &call{
		server: s, rc: rc, conn: conn, in: in, match: m,
		version: s.router.Router().Version(), received: s.opts.Clock.Now(),
	}
	timeout := m.Route.Timeout
	if timeout <= 0 {
		timeout = s.limits.Timeout
	}
	if in.deadline > 0 {
		timeout = min(timeout, in.deadline)
	}
	c.tries = c.room[:0]
	c.deadline = c.received.Add(timeout)
	c.ctx, c.cancel = context.WithDeadline(context.Background(), time.Now().Add(timeout))
	return c
}

// now is the time of decisions.
func (c *call) now() time.Time { return c.server.opts.Clock.Now() }

// socketDeadline is the deadline on the real clock, which sockets follow.
func (c *call) socketDeadline() time.Time {
	d, _ := c.ctx.Deadline()
	return d
}

// keyed says that the ledger keeps this order at most once.
func (c *call) keyed() bool {
	return c.in.key != "" && !c.match.Route.Idempotent && c.server.opts.PeerSide == nil
}

// serve takes a call through its life.
func (s *Server) serve(c *call) {
	if p := c.prepare(); p != nil {
		c.cancel()
		c.ended(attempt.End{Outcome: p.outcome, Reason: p.reason})
		c.answer(p)
		return
	}
	c.conn.begin(c)
	if p := c.claimKey(); p != nil {
		c.refuse(p)
		return
	}
	if p := c.admit(); p != nil {
		c.refuse(p)
		return
	}
	c.run()
}

// prepare reads the body, as far as it is held, and starts the machine.
func (c *call) prepare() *problem {
	limit := c.server.limits.HeldBodyBytes
	if c.keyed() {
		limit = c.server.limits.KeyedBodyBytes
	}
	if c.in.length != 0 {
		if err := c.conn.Conn.SetReadDeadline(c.socketDeadline()); err != nil {
			return malformed("request body could not be read")
		}
		body, p := readBody(c.rc, c.in, limit)
		if p != nil {
			return p
		}
		if c.bodyLimit = c.server.opts.Tables.Current().Limits.BodyBytes; c.tooLong(int64(len(body.held))) {
			return bodyTooLarge()
		}
		c.body = body
		c.waited += c.now().Sub(c.received)
		if c.keyed() && !body.whole() {
			return tooLarge(fasthttp.StatusRequestEntityTooLarge, "body of an order with Idempotency-Key is too large")
		}
	}
	route := c.match.Route
	c.machine = attempt.New(attempt.Config{
		Idempotent:        route.Idempotent,
		Retries:           route.Retries,
		NoRetries:         c.in.noRetries,
		BodyNotReplayable: !c.body.whole(),
		Deadline:          c.deadline,
	})
	if c.hedgeAfter() > 0 && route.Idempotent && c.body.whole() && !c.in.noRetries {
		c.actions = make(chan attempt.Action, hedgeActions)
	}
	return nil
}

// hedgeAfter is the wait before a second copy is sent; 0 sends none.
func (c *call) hedgeAfter() time.Duration {
	route := c.match.Route
	if route.HedgeAfter > 0 || route.Retries < 1 {
		return route.HedgeAfter
	}
	return time.Duration(float64(route.Objective) * c.server.limits.HedgeShare)
}

// tooLong says that a body of that many bytes exceeds the limit in force.
func (c *call) tooLong(n int64) bool { return c.bodyLimit > 0 && n > c.bodyLimit }

func bodyTooLarge() *problem {
	return tooLarge(fasthttp.StatusRequestEntityTooLarge, "request body is too large")
}

// claimKey writes the claim of a keyed order.
func (c *call) claimKey() *problem {
	if !c.keyed() {
		return nil
	}
	ledger := c.server.opts.Ledger
	if ledger == nil {
		return newProblem(outcome.LedgerUnavailable, outcome.NotRun, "no order ledger")
	}
	key := ports.OrderKey{Caller: c.in.caller, Key: c.in.key, Fingerprint: c.fingerprint()}
	began := c.now()
	claim := ledger.Claim(c.ctx, key)
	c.waited += c.now().Sub(began)
	switch claim.State {
	case ports.ClaimGranted:
		c.claim = &orderClaim{key: key, token: claim.Token}
		return nil
	case ports.ClaimDone:
		return c.replay(claim)
	case ports.ClaimInFlight:
		return &problem{status: fasthttp.StatusConflict, reason: outcome.KeyInFlight, outcome: orUnknown(claim.Outcome),
			detail: "another request holds the Idempotency-Key", retryAfter: claim.RetryAfter}
	case ports.ClaimConflict:
		return newProblem(outcome.KeyReused, outcome.NotRun, "Idempotency-Key was used with another request")
	default:
		p := newProblem(outcome.LedgerUnavailable, outcome.NotRun, "order ledger can't be consulted")
		p.retryAfter = claim.RetryAfter
		return p
	}
}

func orUnknown(o outcome.Outcome) outcome.Outcome {
	if o == 0 {
		return outcome.Unknown
	}
	return o
}

// fingerprint is the hash of method, target and body.
func (c *call) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(c.in.method)
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(c.in.target)
	_, _ = d.WriteString("\n")
	_, _ = d.Write(c.body.held)
	return d.Sum64()
}

// admit waits for a permit.
func (c *call) admit() *problem {
	if c.server.opts.Admission == nil {
		return nil
	}
	began := c.now()
	permit, refusal := c.server.opts.Admission.Admit(c.ctx, ports.AdmitQuery{
		Pool:     c.match.Pool.Name,
		Class:    c.match.Route.Class,
		Caller:   c.in.caller,
		Deadline: c.deadline,
	})
	c.waited += c.now().Sub(began)
	if refusal == nil {
		c.permit = permit
		return nil
	}
	reason := refusal.Reason
	if reason == 0 {
		reason = outcome.DeadlinePassed
	}
	act := c.step(attempt.Event{Kind: attempt.Refused, Reason: reason})
	end := act.End
	if act.Kind != attempt.Finish {
		end = c.end()
	}
	p := newProblem(end.Reason, end.Outcome, "not admitted")
	p.retryAfter = refusal.RetryAfter
	return p
}

// step feeds the machine.
func (c *call) step(ev attempt.Event) attempt.Action {
	ev.At = c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Step(ev)
}

// end is how the machine ended; before that, what is known now.
func (c *call) end() attempt.End {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end, ok := c.machine.Ended(); ok {
		return end
	}
	return attempt.End{Outcome: c.machine.Outcome(), Reason: outcome.UpstreamLost}
}

// callerGone ends the call because nobody waits for it. The watcher calls it.
func (c *call) callerGone() {
	c.step(attempt.Event{Kind: attempt.Cancelled})
	c.cancel()
	c.abandon(0)
	c.stopReading()
}

// stopReading fails reads of the caller's body that wait.
func (c *call) stopReading() { _ = c.conn.Conn.SetReadDeadline(time.Unix(1, 0)) }
