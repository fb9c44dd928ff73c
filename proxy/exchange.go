package proxy

import (
	"cmp"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// extraHeaderBytes is the room, in a request header, for lines that the proxy
// adds to the caller's.
const extraHeaderBytes = 160

// exchange runs one attempt until its response header has arrived, with its
// body if that is buffered, or until it fails. It returns the state machine's
// next action.
func (c *call) exchange(t *upstreamAttempt) attempt.Action {
	_, peer := groupOf(t.picked)
	x, err := c.server.upstream.Open(t.ctx, upstream.OpenOptions{
		Target:     t.picked.Target(),
		Limit:      c.connectionLimit(t.picked),
		Deadline:   c.socketDeadline(),
		Idempotent: c.match.Route.Idempotent,
		Peer:       peer,
	})
	if err != nil {
		return c.connectFailed(t, err)
	}
	c.setExchange(t, x)
	if reason := cmp.Or(c.authorizeAttempt(t), c.stopReason()); reason != 0 {
		return c.refuseAttempt(t, reason)
	}
	act := c.step(attempt.Event{Kind: attempt.Sending, Attempt: t.number})
	if act.Kind != attempt.Write {
		x.Close()
		c.endAttempt(t, lb.Abandoned)
		return act
	}
	t.started = c.now()
	c.firstAttemptSent(t)
	stopWatch := c.watchSilence(t)
	err = c.roundTrip(t, x)
	stopWatch()
	if err != nil {
		return c.connectionLost(t, err)
	}
	c.reportAnswered(t)
	return c.headerReceived(t)
}

// connectionLimit returns the maximum number of connections from this host to
// the target or peer of an attempt.
func (c *call) connectionLimit(a lb.Attempt) int {
	if _, ok := groupOf(a); ok {
		return maxPeerConnections
	}
	if c.server.opts.PeerServer != nil {
		return max(1, c.targetConnections()/2)
	}
	return c.connectionShare()
}

// connectionShare returns how many connections this host may open to one
// target. Half of a target's connections are for the owner of its group; all
// hosts share the other half for requests that they dispatch directly.
func (c *call) connectionShare() int {
	hosts := 1
	if m := c.server.opts.Membership; m != nil {
		hosts = max(1, m.ShareDivisor())
	}
	return max(1, c.targetConnections()/2/hosts)
}

// targetConnections returns the number of connections that a target of the
// pool accepts.
func (c *call) targetConnections() int {
	if n := c.match.Pool.Connections; n > 0 {
		return n
	}
	return defaultConnections
}

// defaultConnections applies to pools that set no number of connections.
const defaultConnections = 250

// setExchange stores the exchange, so that it can be cancelled.
func (c *call) setExchange(t *upstreamAttempt, x *upstream.Exchange) {
	c.mu.Lock()
	t.x = x
	_, ended := c.machine.Ended()
	c.mu.Unlock()
	if ended {
		x.Cancel()
	}
}

// connectFailed ends an attempt that got no connection, so that nothing of the
// request was sent.
func (c *call) connectFailed(t *upstreamAttempt, err error) attempt.Action {
	c.recordResult(t, false)
	t.err = err
	if c.ctx.Err() != nil || !c.now().Before(c.deadline) {
		c.endAttempt(t, lb.Abandoned)
		return c.step(attempt.Event{Kind: attempt.Expired})
	}
	reason, verdict := outcome.NoTarget, lb.Failed
	if errors.Is(err, upstream.ErrConnectionLimit) {
		reason, verdict = outcome.LimitReached, lb.Abandoned
	}
	c.recordUnsent()
	act := c.step(attempt.Event{Kind: attempt.ConnectFailed, Attempt: t.number, Reason: reason})
	if act.Kind == attempt.Abandon {
		verdict = lb.Abandoned
	}
	t.feedback.ConnectFailed = verdict == lb.Failed
	c.endAttempt(t, verdict)
	return act
}

// connectionLost ends an attempt that failed before its response was
// accepted.
func (c *call) connectionLost(t *upstreamAttempt, err error) attempt.Action {
	reused := t.x.Reused()
	t.err = err
	t.x.Close()
	if c.ctx.Err() == nil && t.ctx.Err() == nil {
		c.reportLost(t)
	}
	if errors.Is(err, upstream.ErrTimeout) {
		c.recordDuration(t)
		c.endAttempt(t, lb.TimedOut)
		c.recordResult(t, reused)
		return c.step(attempt.Event{Kind: attempt.Expired})
	}
	act := c.step(attempt.Event{Kind: attempt.ConnectionLost, Attempt: t.number})
	verdict := lb.Failed
	if act.Kind == attempt.Abandon || c.overrideReply != nil {
		verdict = lb.Abandoned
	}
	c.endAttempt(t, verdict)
	c.recordResult(t, reused)
	return act
}

// recordResult stores how the last attempt ended. staleConnection is true when
// it was lost on a reused connection.
func (c *call) recordResult(t *upstreamAttempt, staleConnection bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.staleConnection, c.result = staleConnection, t.feedback.Result
	c.unsent = false
}

// recordUnsent stores that no connection could be opened for the last attempt.
func (c *call) recordUnsent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent = true
}

// roundTrip sends the request and reads the response header, with the body as
// far as it is buffered.
func (c *call) roundTrip(t *upstreamAttempt, x *upstream.Exchange) error {
	var err error
	if c.sendsWhileReading() {
		err = c.sendStreamed(t, x)
	} else {
		err = c.sendBuffered(t, x)
	}
	if err != nil {
		return err
	}
	t.feedback.Latency = c.now().Sub(t.started)
	if err := c.readTargetSignals(t, x); err != nil {
		return err
	}
	if _, peer := groupOf(t.picked); t.notRun && !peer && !c.namesRequest(x.Header()) {
		// A copy of the refusal would look like a true one to the next request.
		x.DisableReuse()
	}
	return c.bufferResponse(t, x)
}

// sendBuffered sends a request that is buffered completely. After a failed
// write it still reads the response: the upstream may have responded before
// it read the complete request.
func (c *call) sendBuffered(t *upstreamAttempt, x *upstream.Exchange) error {
	head, body := c.head(t), c.body.buffered
	if c.body.length == unknownLength {
		body = c.chunkedBody()
	}
	sendErr := x.Send(head, body)
	if err := c.readMatchingHeader(x); err != nil {
		if sendErr != nil && !errors.Is(err, upstream.ErrTimeout) {
			return sendErr
		}
		return err
	}
	return nil
}

// chunkedBody encodes a buffered body with trailers in chunks.
func (c *call) chunkedBody() []byte {
	out := make([]byte, 0, len(c.body.buffered)+extraHeaderBytes)
	if len(c.body.buffered) > 0 {
		out = strconv.AppendInt(out, int64(len(c.body.buffered)), 16)
		out = append(out, "\r\n"...)
		out = append(out, c.body.buffered...)
		out = append(out, "\r\n"...)
	}
	out = append(out, "0\r\n"...)
	return append(out, c.trailerLines()...)
}

// head builds the request header of an attempt.
func (c *call) head(t *upstreamAttempt) []byte {
	in := c.in
	b := make([]byte, 0, len(in.method)+len(in.target)+len(in.lines)+extraHeaderBytes)
	b = append(b, in.method...)
	b = append(b, ' ')
	b = append(b, in.target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = append(b, in.lines...)
	if t.workspace != "" {
		b = appendLine(b, c.server.names.Workspace, t.workspace)
	}
	left := max(1, c.deadline.Sub(c.now()).Milliseconds())
	b = append(b, c.server.names.Deadline...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, left, 10)
	b = append(b, "\r\n"...)
	if name := c.server.names.Retries; name != "" && (in.noRetries || t.number > 1) {
		b = appendLine(b, name, "0")
	}
	if id := identityOf(t.picked); id != "" {
		b = appendLine(b, c.server.names.Target, id)
	}
	b = c.appendPeerHeaders(b, t)
	switch {
	case c.body.length == unknownLength:
		if in.trailer != "" {
			b = append(b, "Trailer: "+in.trailer+"\r\n"...)
		}
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case in.length != 0 || sendsLength(in.method):
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, c.body.length, 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// sendsLength reports whether a request without a body still has a
// Content-Length.
func sendsLength(method string) bool {
	return method == fasthttp.MethodPost || method == fasthttp.MethodPut || method == fasthttp.MethodPatch
}

// readTargetSignals reads what the response header says about the target.
func (c *call) readTargetSignals(t *upstreamAttempt, x *upstream.Exchange) error {
	var handover string
	n := c.server.names
	t.status = x.Header().StatusCode()
	t.notRun = n.notRun(x.Header())
	t.feedback.WrongTarget = t.notRun && n.WrongTarget != 0 && t.status == n.WrongTarget
	for name, value := range x.Header().All() {
		switch {
		case equalName(name, n.Load):
			t.feedback.LoadReport = string(value)
		case equalName(name, n.Draining):
			t.feedback.Draining = string(value) == "1"
		case equalName(name, lb.HeaderGroupLoad):
			t.feedback.GroupLoad = string(value)
		case equalName(name, headerHandover):
			handover = string(value)
		}
	}
	c.observeSignal(t, x)
	return t.readHandover(handover)
}

// equalName reports whether a header name is want, whatever its case. It is
// false when want is "".
func equalName(name []byte, want string) bool {
	if len(name) != len(want) || want == "" {
		return false
	}
	for i := range name {
		if name[i]|0x20 != want[i]|0x20 {
			return false
		}
	}
	return true
}

// bufferResponse reads a small response body completely, so that a truncated
// one can still be reported as a lost connection or retried.
func (c *call) bufferResponse(t *upstreamAttempt, x *upstream.Exchange) error {
	if !x.HasBody() {
		t.bodyComplete = true
		return nil
	}
	limit := c.server.limits.BufferedResponseBytes
	length := x.Header().ContentLength()
	switch {
	case c.in.http10 && length < 0:
		limit = c.server.limits.HTTP10ResponseBytes
	case c.claim != nil && length < 0:
		limit = c.server.limits.RecordedResponseBytes
	case length < 0 && c.server.limits.BufferUnknownLength:
	case length < 0 || length > limit:
		return nil
	}
	room := length
	if length < 0 {
		room = initialBufferBytes
	}
	buf := make([]byte, 0, room)
	for len(buf) <= limit {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := x.Read(buf[len(buf):min(cap(buf), limit+1)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			t.bufferedBody, t.bodyComplete = buf, true
			return nil
		}
		if err != nil {
			return err
		}
	}
	t.bufferedBody = buf
	return nil
}

// initialBufferBytes is the initial size of the buffer for a response body of
// unannounced length.
const initialBufferBytes = 512

// headerReceived reports a response to the state machine and passes the
// attempt to the request's goroutine.
func (c *call) headerReceived(t *upstreamAttempt) attempt.Action {
	ev := attempt.Event{
		Kind: attempt.HeaderReceived, Attempt: t.number, At: c.now(),
		Status: t.status, NotRun: t.notRun, Final: t.refused,
	}
	c.mu.Lock()
	act := c.machine.Step(ev)
	t.responseReady = act.Kind != attempt.Abandon
	if act.Kind == attempt.Finish && act.End.Reason == outcome.UpstreamFailed {
		t.err = errors.Errorf("target answered %d, which callers take for not run, without saying that it has not run; response discarded", t.status)
	}
	c.mu.Unlock()
	if !t.responseReady {
		t.x.Close()
		c.endAttempt(t, lb.Abandoned)
	}
	return act
}

// verdict returns what a response says about its target.
func (t *upstreamAttempt) verdict() lb.Verdict {
	switch {
	case t.notRun:
		return lb.Shed
	case t.err != nil || t.status >= fasthttp.StatusInternalServerError:
		return lb.Failed
	default:
		return lb.Succeeded
	}
}

// addWait adds the time since began to the call's waiting time.
func (c *call) addWait(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitTime += c.now().Sub(began)
}
