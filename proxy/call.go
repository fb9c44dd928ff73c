package proxy

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/router"
)

// call is one request, from its header to the end of its response. It is
// never reused: an attempt that ends late finds only its own call.
type call struct {
	server *Server
	// rc belongs to the goroutine of the request and its response stream.
	rc    *fasthttp.RequestCtx
	conn  *callerConn
	in    *inbound
	match router.Match
	// version is the version of the tables that the request was routed by.
	version uint64

	received time.Time
	// waited is how long the caller had waited before this request, 0 when it is its
	// first one or that is unknown.
	waited   time.Duration
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	stop     callStop

	body requestBody
	// releaseBody frees the memory that is reserved for the body of an upload.
	releaseBody func()
	// bodyLimit bounds a body of unannounced length, in bytes; 0 means no
	// limit.
	bodyLimit int64
	// claim is set for an order with an idempotency key.
	claim  *orderClaim
	permit lb.Permit
	// quotaPermit is set for a request that took a token of its workspace's quota.
	quotaPermit lb.QuotaPermit
	// overrideReply, when set, is sent instead of the reply for the end that
	// the state machine returned.
	overrideReply *localReply
	// retryAfter is the RetryAfter of the balancer's last refusal.
	retryAfter time.Duration
	// bodyFailed is the reply for a caller's body that failed while it was
	// streamed.
	bodyFailed atomic.Pointer[localReply]
	// waitTime is the time spent waiting for the caller's body, the ledger,
	// admission, the choice of a target, and upstreams.
	waitTime time.Duration
	// streamed is true when the response was forwarded while it arrived.
	streamed bool

	// mu guards the machine, the attempts and their results, which hedged
	// attempts and the watcher use too.
	mu          sync.Mutex
	machine     *attempt.Machine
	attempts    []*upstreamAttempt
	attemptsBuf [2]*upstreamAttempt
	// hedgeEnd carries the final action of the hedged attempt; nil when the
	// request is not hedged.
	hedgeEnd   chan attempt.Action
	hedgeTimer clockwork.Timer
	// hedgeDelay is the delay of the hedged attempt as of the request's arrival.
	hedgeDelay time.Duration
	// hedgeDeferred is true when the hedged attempt was due before the first one had
	// a target. Its delay then starts again when the first one has a target.
	hedgeDeferred bool
	// callerLeft is true once the caller has closed its connection.
	callerLeft atomic.Bool
	// staleConnection is true when the last attempt was lost on a reused
	// connection.
	staleConnection bool
	// unsent is true when no connection could be opened for the last attempt, so that
	// no target received any of it.
	unsent bool
	// result is how the last attempt ended.
	result    lb.Result
	closeOnce sync.Once
}

// orderClaim is a granted claim of an order key.
type orderClaim struct {
	key   lb.OrderKey
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
	c.recordWait()
	c.attempts = c.attemptsBuf[:0]
	c.deadline = c.received.Add(timeout)
	c.ctx, c.cancel = context.WithDeadline(context.Background(), time.Now().Add(timeout))
	c.enterService()
	return c
}

// now returns the time on the clock that decisions use.
func (c *call) now() time.Time { return c.server.opts.Clock.Now() }

// socketDeadline returns the deadline on the real clock, which socket
// deadlines use.
func (c *call) socketDeadline() time.Time {
	d, _ := c.ctx.Deadline()
	return d
}

// keyed reports whether the ledger ensures that this order runs at most once.
func (c *call) keyed() bool {
	return c.in.idempotencyKey != "" && !c.match.Route.Idempotent && c.server.opts.PeerServer == nil
}

// serve processes a call to its end.
func (s *Server) serve(c *call) {
	// The response may still be streamed after that; the body is not needed any more.
	defer func() { c.releaseBody() }()
	if p := c.prepare(); p != nil {
		c.leaveService()
		c.cancel()
		c.recordEnd(attempt.End{Outcome: p.outcome, Reason: p.reason})
		c.reply(p)
		return
	}
	c.conn.begin(c)
	if p := c.claimKey(); p != nil {
		c.refuse(p)
		return
	}
	if p := c.takeQuota(); p != nil {
		c.refuse(p)
		return
	}
	if p := c.admit(); p != nil {
		c.refuse(p)
		return
	}
	c.run()
}

// prepare buffers the body up to its limit and creates the state machine. It
// returns the reply to a request whose body can't be read or is too large.
func (c *call) prepare() *localReply {
	var limit int
	limit, c.releaseBody = c.bufferLimit()
	if c.in.length != 0 {
		if err := c.conn.Conn.SetReadDeadline(c.socketDeadline()); err != nil {
			return malformed("request body could not be read")
		}
		body, p := readBody(c.rc, c.in, limit)
		if p != nil {
			return c.stopReplyOr(p)
		}
		if c.bodyLimit = c.server.opts.Tables.Current().Limits.BodyBytes; c.bodyOverLimit(int64(len(body.buffered))) {
			return bodyTooLarge()
		}
		c.body = body
		c.waitTime += c.now().Sub(c.received)
		if c.keyed() && !body.replayable() {
			return tooLarge(fasthttp.StatusRequestEntityTooLarge, "body of an order with Idempotency-Key is too large")
		}
	}
	if p := c.requestArrived(); p != nil {
		return p
	}
	route := c.match.Route
	machine := attempt.New(attempt.Config{
		Idempotent: route.Idempotent,
		Retries:    route.Retries,
		// Under a limit most hedged attempts that are due are refused.
		RefusedHedgeIsFree: c.server.opts.ExtraAttempts != nil,
		HedgeWhilePicking:  c.hedgesWhilePicking(),
		NoRetries:          c.in.noRetries,
		StatusPromises:     c.server.names.StatusPromises,
		BodyNotReplayable:  !c.body.replayable(),
		Deadline:           c.deadline,
	})
	c.mu.Lock()
	c.machine = machine
	c.mu.Unlock()
	c.hedgeDelay = c.hedgeAfter()
	if c.hedgeDelay > 0 && route.Idempotent && c.body.replayable() && !c.in.noRetries {
		c.hedgeEnd = make(chan attempt.Action, hedgeEnds)
	}
	return nil
}

// bodyOverLimit reports whether a body of n bytes exceeds the configured
// limit.
func (c *call) bodyOverLimit(n int64) bool { return c.bodyLimit > 0 && n > c.bodyLimit }

func bodyTooLarge() *localReply {
	return tooLarge(fasthttp.StatusRequestEntityTooLarge, "request body is too large")
}

// claimKey claims the idempotency key of an order in the ledger. It returns the
// reply to a request that may not be dispatched.
func (c *call) claimKey() *localReply {
	if !c.keyed() {
		return nil
	}
	ledger := c.server.opts.Ledger
	if ledger == nil {
		return newLocalReply(outcome.LedgerUnavailable, outcome.NotRun, "no order ledger")
	}
	key := lb.OrderKey{Caller: c.ledgerCaller(), Key: c.in.idempotencyKey, Fingerprint: c.fingerprint()}
	began := c.now()
	claim := ledger.Claim(c.ctx, key)
	c.waitTime += c.now().Sub(began)
	switch claim.State {
	case lb.ClaimGranted:
		c.claim = &orderClaim{key: key, token: claim.Token}
		return nil
	case lb.ClaimDone:
		return c.replay(claim)
	case lb.ClaimInFlight:
		return &localReply{status: fasthttp.StatusConflict, reason: outcome.KeyInFlight, outcome: orUnknown(claim.Outcome),
			detail: "another request holds the Idempotency-Key", retryAfter: claim.RetryAfter}
	case lb.ClaimConflict:
		return newLocalReply(outcome.KeyReused, outcome.NotRun, "Idempotency-Key was used with another request")
	default:
		p := newLocalReply(outcome.LedgerUnavailable, outcome.NotRun, "order ledger can't be consulted")
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

// fingerprint returns a hash of method, request target and body.
func (c *call) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(c.in.method)
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(c.in.target)
	_, _ = d.WriteString("\n")
	_, _ = d.Write(c.body.buffered)
	return d.Sum64()
}

// contentHash identifies requests with the same content, whatever their IDs: a
// hash of method, host, request target, caller and the buffered part of the body.
func (c *call) contentHash() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{c.in.method, c.in.host, c.in.target, c.in.caller} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\n")
	}
	_, _ = d.Write(c.body.buffered)
	return d.Sum64()
}

// admit waits for a permit from admission control. It returns the reply to a
// request that is refused.
func (c *call) admit() *localReply {
	if c.server.opts.Admission == nil {
		return nil
	}
	began := c.now()
	permit, refusal := c.server.opts.Admission.Admit(c.stop.waiting, lb.AdmitQuery{
		Pool:     c.match.Pool.Name,
		Class:    c.match.Route.Class,
		Caller:   c.in.caller,
		Deadline: c.answerBy(),
	})
	c.waitTime += c.now().Sub(began)
	if refusal == nil {
		c.permit = permit
		return nil
	}
	refusal = c.stopRefusalOr(refusal)
	reason := cmp.Or(refusal.Reason, outcome.DeadlinePassed)
	act := c.step(attempt.Event{Kind: attempt.Refused, Reason: reason})
	end := act.End
	if act.Kind != attempt.Finish {
		end = c.end()
	}
	p := newLocalReply(end.Reason, end.Outcome, "not admitted")
	p.retryAfter = refusal.RetryAfter
	return p
}

// step reports an event to the state machine.
func (c *call) step(ev attempt.Event) attempt.Action {
	ev.At = c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Step(ev)
}

// end returns how the request ended or, before its end, what is known so far.
func (c *call) end() attempt.End {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end, ok := c.machine.Ended(); ok {
		return end
	}
	return attempt.End{Outcome: c.machine.Outcome(), Reason: outcome.UpstreamLost}
}

// callerGone cancels the call because the caller closed its connection. The
// watcher calls it.
func (c *call) callerGone() {
	c.callerLeft.Store(true)
	c.step(attempt.Event{Kind: attempt.Cancelled})
	c.cancel()
	c.abandon(0)
	c.stopReading()
}

// stopReading makes pending reads of the caller's body fail.
func (c *call) stopReading() { _ = c.conn.Conn.SetReadDeadline(time.Unix(1, 0)) }
