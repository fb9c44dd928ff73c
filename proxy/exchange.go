package proxy

import (
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// headRoom is what a request header needs beside the lines of the caller.
const headRoom = 160

// exchange runs one attempt until its answer header, and its body when that
// is held, or its failure; it returns what the machine says then.
func (c *call) exchange(t *try) attempt.Action {
	_, peer := groupOf(t.attempt)
	x, err := c.server.upstream.Open(t.ctx, upstream.OpenQuery{
		Target:     t.attempt.Target(),
		Limit:      c.connectionLimit(t.attempt),
		Deadline:   c.socketDeadline(),
		Idempotent: c.match.Route.Idempotent,
		Peer:       peer,
	})
	if err != nil {
		return c.notOpened(t, err)
	}
	c.adopt(t, x)
	act := c.step(attempt.Event{Kind: attempt.Sending, Attempt: t.number})
	if act.Kind != attempt.Write {
		x.Close()
		c.done(t, ports.Abandoned)
		return act
	}
	t.started = c.now()
	if err := c.converse(t, x); err != nil {
		return c.lost(t, err)
	}
	return c.answered(t)
}

// connectionLimit bounds this host's connections to the place of an attempt.
func (c *call) connectionLimit(a ports.Attempt) int {
	if _, ok := groupOf(a); ok {
		return maxPeerConnections
	}
	if c.server.opts.PeerSide != nil {
		return max(1, c.targetConnections()/2)
	}
	return c.share()
}

// share is this host's part of the connections of one target. Half of them
// are the owner's; all hosts share the other half for direct dispatch.
func (c *call) share() int {
	hosts := 1
	if m := c.server.opts.Membership; m != nil {
		hosts = max(1, m.ShareCount())
	}
	return max(1, c.targetConnections()/2/hosts)
}

// targetConnections is the number that a target of the pool accepts.
func (c *call) targetConnections() int {
	if n := c.match.Pool.Connections; n > 0 {
		return n
	}
	return defaultConnections
}

// defaultConnections is for pools that name no number.
const defaultConnections = 250

// adopt makes the exchange known, so that it can be cancelled.
func (c *call) adopt(t *try, x *upstream.Exchange) {
	c.mu.Lock()
	t.x = x
	_, ended := c.machine.Ended()
	c.mu.Unlock()
	if ended {
		x.Cancel()
	}
}

func (c *call) notOpened(t *try, err error) attempt.Action {
	c.note(t, false)
	t.err = err
	if c.ctx.Err() != nil || !c.now().Before(c.deadline) {
		c.done(t, ports.Abandoned)
		return c.step(attempt.Event{Kind: attempt.Expired})
	}
	reason, verdict := outcome.NoTarget, ports.Failed
	if errors.Is(err, upstream.ErrConnectionLimit) {
		reason, verdict = outcome.LimitReached, ports.Abandoned
	}
	if _, peer := groupOf(t.attempt); peer {
		c.noteUnreached()
	}
	act := c.step(attempt.Event{Kind: attempt.ConnectFailed, Attempt: t.number, Reason: reason})
	if act.Kind == attempt.Abandon {
		verdict = ports.Abandoned
	}
	t.feedback.ConnectFailed = verdict == ports.Failed
	c.done(t, verdict)
	return act
}

// lost ends an attempt that failed before its answer was accepted.
func (c *call) lost(t *try, err error) attempt.Action {
	reused := t.x.Reused()
	t.err = err
	t.x.Close()
	if errors.Is(err, upstream.ErrTimeout) {
		c.done(t, ports.TimedOut)
		c.note(t, reused)
		return c.step(attempt.Event{Kind: attempt.Expired})
	}
	act := c.step(attempt.Event{Kind: attempt.ConnectionLost, Attempt: t.number})
	verdict := ports.Failed
	if act.Kind == attempt.Abandon || c.refusal != nil {
		verdict = ports.Abandoned
	}
	c.done(t, verdict)
	c.note(t, reused)
	return act
}

// note keeps how the last attempt ended.
func (c *call) note(t *try, stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale, c.result = stale, t.feedback.Result
	c.unreached = false
}

// noteUnreached keeps that the owner of the last attempt was not reached.
func (c *call) noteUnreached() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreached = true
}

// converse sends the request and reads the answer as far as it is held.
func (c *call) converse(t *try, x *upstream.Exchange) error {
	var err error
	if c.body.whole() {
		err = c.sendHeld(t, x)
	} else {
		err = c.sendStreamed(t, x)
	}
	if err != nil {
		return err
	}
	t.feedback.Latency = c.now().Sub(t.started)
	if err := c.readSignals(t, x); err != nil {
		return err
	}
	return c.hold(t, x)
}

// sendHeld sends a request that is held whole. A write that fails leaves the
// answer to decide: the upstream may have answered before it read all.
func (c *call) sendHeld(t *try, x *upstream.Exchange) error {
	head, body := c.head(t), c.body.held
	if c.body.length == unknownLength {
		body = c.chunkedBody()
	}
	sendErr := x.SendWhole(head, body)
	if err := c.readOwn(x); err != nil {
		if sendErr != nil && !errors.Is(err, upstream.ErrTimeout) {
			return sendErr
		}
		return err
	}
	return nil
}

// chunkedBody frames a held body that has trailers.
func (c *call) chunkedBody() []byte {
	out := make([]byte, 0, len(c.body.held)+headRoom)
	if len(c.body.held) > 0 {
		out = strconv.AppendInt(out, int64(len(c.body.held)), 16)
		out = append(out, "\r\n"...)
		out = append(out, c.body.held...)
		out = append(out, "\r\n"...)
	}
	out = append(out, "0\r\n"...)
	return append(out, c.trailerLines()...)
}

// head builds the header of an attempt.
func (c *call) head(t *try) []byte {
	in := c.in
	b := make([]byte, 0, len(in.method)+len(in.target)+len(in.lines)+headRoom)
	b = append(b, in.method...)
	b = append(b, ' ')
	b = append(b, in.target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = append(b, in.lines...)
	left := max(1, c.deadline.Sub(c.now()).Milliseconds())
	b = append(b, c.server.names.Deadline...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, left, 10)
	b = append(b, "\r\n"...)
	if name := c.server.names.Retries; name != "" && (in.noRetries || t.number > 1) {
		b = appendLine(b, name, "0")
	}
	if id := identityOf(t.attempt); id != "" {
		b = appendLine(b, c.server.names.Target, id)
	}
	b = c.peerLines(b, t.attempt)
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

// sendsLength says that a request without a body still names its length.
func sendsLength(method string) bool {
	return method == fasthttp.MethodPost || method == fasthttp.MethodPut || method == fasthttp.MethodPatch
}

// readSignals takes what the answer's header says about the target.
func (c *call) readSignals(t *try, x *upstream.Exchange) error {
	var handover string
	n := c.server.names
	t.status = x.Header().StatusCode()
	t.notRun = n.notRun(x.Header())
	t.feedback.WrongTarget = n.WrongTarget != 0 && t.status == n.WrongTarget
	for name, value := range x.Header().All() {
		switch {
		case equalName(name, n.Load):
			t.feedback.LoadReport = string(value)
		case equalName(name, n.Draining):
			t.feedback.Draining = string(value) == "1"
		case equalName(name, ports.HeaderGroupLoad):
			t.feedback.GroupLoad = string(value)
		case equalName(name, headerHandover):
			handover = string(value)
		}
	}
	return t.readHandover(handover)
}

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

// hold reads the answer's body when it is small, so that one that ends early
// can be answered as lost.
func (c *call) hold(t *try, x *upstream.Exchange) error {
	if !x.HasBody() {
		return nil
	}
	limit := c.server.limits.HeldAnswerBytes
	length := x.Header().ContentLength()
	switch {
	case c.in.plain && length < 0:
		limit = c.server.limits.PlainAnswerBytes
	case c.claim != nil && length < 0:
		limit = c.server.limits.RecordBytes
	case length < 0 && c.server.limits.HoldUnknownLength:
	case length < 0 || length > limit:
		return nil
	}
	room := length
	if length < 0 {
		room = minHeldBytes
	}
	buf := make([]byte, 0, room)
	for len(buf) <= limit {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := x.Read(buf[len(buf):min(cap(buf), limit+1)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			t.held = buf
			return nil
		}
		if err != nil {
			return err
		}
	}
	t.held = buf
	return nil
}

const minHeldBytes = 512

// answered feeds an answer and hands the attempt to the request's goroutine.
func (c *call) answered(t *try) attempt.Action {
	ev := attempt.Event{
		Kind: attempt.HeaderReceived, Attempt: t.number, At: c.now(),
		Status: t.status, NotRun: t.notRun,
	}
	c.mu.Lock()
	act := c.machine.Step(ev)
	t.answered = act.Kind != attempt.Abandon
	c.mu.Unlock()
	if !t.answered {
		t.x.Close()
		c.done(t, ports.Abandoned)
	}
	return act
}

// verdict is what an answer says about its target.
func (t *try) verdict() ports.Verdict {
	switch {
	case t.notRun:
		return ports.Shed
	case t.status >= fasthttp.StatusInternalServerError:
		return ports.Failed
	default:
		return ports.Succeeded
	}
}

// waitedFor adds the time since a moment to what the call waited for others.
func (c *call) waitedFor(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waited += c.now().Sub(began)
}
