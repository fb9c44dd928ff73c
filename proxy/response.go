package proxy

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// forward sends the response of an attempt to the caller and abandons the
// other attempts.
func (c *call) forward(number int) {
	c.abandon(number)
	t := c.attempt(number)
	c.addWait(t.started)
	if err := c.copyResponseHeader(t); err != nil {
		c.abortResponse(t)
		return
	}
	if t.x.HasBody() {
		c.streamResponse(t)
		return
	}
	if t.bufferedBody != nil {
		c.rc.Response.SetBody(t.bufferedBody)
	}
	recorded := c.recordResponse(t)
	t.x.Close()
	act := c.step(attempt.Event{Kind: attempt.ResponseComplete, Attempt: t.number})
	c.endResponse(t, act, t.verdict(), recorded)
}

// abortResponse ends a request whose upstream response can't be forwarded.
func (c *call) abortResponse(t *upstreamAttempt) {
	t.x.Close()
	act := c.step(attempt.Event{Kind: attempt.ResponseTruncated, Attempt: t.number})
	p := newLocalReply(outcome.UpstreamLost, c.endAfter(act).Outcome, "upstream answer can't be forwarded")
	c.endResponse(t, act, lb.Failed, nil)
	c.reply(p)
}

func (c *call) endResponse(t *upstreamAttempt, act attempt.Action, v lb.Verdict, recorded *lb.RecordedResponse) {
	c.recordDuration(t)
	c.endAttempt(t, v)
	c.recordResult(t, false)
	c.close(c.endAfter(act), recorded)
}

// endAfter returns the end of the request that act contains, or else what the
// state machine knows of the end.
func (c *call) endAfter(act attempt.Action) attempt.End {
	if act.Kind == attempt.Finish {
		return act.End
	}
	return c.end()
}

// maxResponseHeaderBytes is the largest response header that is forwarded.
const maxResponseHeaderBytes = 32 << 10

// headerCopier holds the buffers through which a response header is copied.
type headerCopier struct {
	lines []byte
	src   bytes.Reader
	br    *bufio.Reader
}

var headerCopiers = sync.Pool{New: func() any { return &headerCopier{br: bufio.NewReaderSize(nil, maxResponseHeaderBytes)} }}

// copyResponseHeader copies the response header as it arrived, without its
// hop-by-hop lines, to the caller's response.
func (c *call) copyResponseHeader(t *upstreamAttempt) error {
	cp := headerCopiers.Get().(*headerCopier)
	defer headerCopiers.Put(cp)
	falseOutcome := c.falseOutcome(t)
	cp.lines = filterResponseHeader(cp.lines[:0], t.x.RawHeader(), falseOutcome)
	cp.src.Reset(cp.lines)
	cp.br.Reset(&cp.src)
	h := &c.rc.Response.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	if err := h.Read(cp.br); err != nil {
		return err
	}
	h.ResetConnectionClose()
	if falseOutcome != "" {
		h.Set(falseOutcome, outcome.Unknown.String())
	}
	c.setPeerHeaders(handoverAnswered)
	if !c.body.replayable() && !t.requestSent {
		c.conn.lingerOnClose.Store(true)
		h.SetConnectionClose()
	}
	return nil
}

// falseOutcome returns the name of the header with which a response says that the request
// was not run, when an attempt at another target may have run; otherwise "". A further host
// behind this one knows of its own attempts only.
func (c *call) falseOutcome(t *upstreamAttempt) string {
	name := c.server.names.Outcome
	if value, _ := headerValue(t.x.Header(), name); value != outcome.NotRun.String() {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.machine.OthersMayHaveRun(t.number) {
		return ""
	}
	return name
}

const httpVersion = "HTTP/1.1"

// filterResponseHeader appends the end-to-end lines of a raw response header
// to dst, without those of the name omit.
func filterResponseHeader(dst, raw []byte, omit string) []byte {
	connectionOptions := responseConnectionOptions(raw)
	dst = append(dst, httpVersion...)
	raw = raw[len(httpVersion):]
	for first := true; len(raw) > 0; first = false {
		end := bytes.IndexByte(raw, '\n') + 1
		if end == 0 {
			end = len(raw)
		}
		line := raw[:end]
		raw = raw[end:]
		name, _, ok := splitHeaderLine(line)
		if !first && ok && (strippedFromResponse(name) || equalName(name, omit) || isConnectionOption(connectionOptions, name)) {
			continue
		}
		dst = append(dst, line...)
	}
	return dst
}

// responseConnectionOptions returns the header names listed in the response's
// Connection lines.
func responseConnectionOptions(raw []byte) []string {
	var scan headerScan
	for len(raw) > 0 {
		line, rest, _ := bytes.Cut(raw, []byte("\n"))
		raw = rest
		name, value, ok := splitHeaderLine(line)
		if ok && kindOf(name) == lineConnection {
			scan.addConnectionOptions(http1.TrimSpace(bytes.TrimSuffix(value, []byte("\r"))))
		}
	}
	return scan.connectionOptions
}

// splitHeaderLine splits a line of a response header. Space before the colon
// is not part of the name, as in fasthttp's parser.
func splitHeaderLine(line []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(line, []byte(":"))
	return bytes.TrimRight(name, " \t"), value, ok
}

func isConnectionOption(names []string, name []byte) bool {
	for _, n := range names {
		if equalName(name, n) && kindOf(name) == lineOther {
			return true
		}
	}
	return false
}

// streamResponse forwards a response body that is large or of unknown length
// while it arrives. An HTTP/1.0 caller gets no body of unknown length, because
// it could not tell a truncated one from a complete one.
func (c *call) streamResponse(t *upstreamAttempt) {
	length := t.x.Header().ContentLength()
	if length < 0 && c.in.http10 {
		c.abortResponse(t)
		return
	}
	c.streamed = true
	stream := &responseStream{call: c, attempt: t, buffered: t.bufferedBody}
	c.rc.Response.ImmediateHeaderFlush = true
	c.rc.Response.SetBodyStream(stream, max(length, unknownLength))
}

// responseStream is the body of a response that is being forwarded. The HTTP
// server reads it to the end or closes it early; either ends the call. An
// error in place of io.EOF makes the server close the caller's connection, so
// that the caller can't take the body for complete.
type responseStream struct {
	call     *call
	attempt  *upstreamAttempt
	buffered []byte
	ended    bool
	// err is the error of the last read, io.EOF after a complete body. The HTTP
	// server reads again after it, when the exchange is closed.
	err error
}

// Read reads the next bytes of the body.
func (s *responseStream) Read(p []byte) (int, error) {
	if len(s.buffered) > 0 {
		n := copy(p, s.buffered)
		s.buffered = s.buffered[n:]
		return n, nil
	}
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.attempt.x.Read(p)
	s.err = err
	if errors.Is(err, io.EOF) {
		s.copyTrailers()
		s.end(attempt.ResponseComplete, s.attempt.verdict())
	} else if err != nil {
		s.end(attempt.ResponseTruncated, lb.Failed)
	}
	return n, err
}

// copyTrailers copies the trailers that followed the body.
func (s *responseStream) copyTrailers() {
	from, to := s.attempt.x.Header(), &s.call.rc.Response.Header
	for _, line := range bytes.Split(from.TrailerHeader(), []byte("\r\n")) {
		name, value, ok := bytes.Cut(line, []byte(": "))
		if ok && to.AddTrailerBytes(name) == nil {
			to.AddBytesKV(name, value)
		}
	}
}

// Close ends the call if the body was not read to its end.
func (s *responseStream) Close() error {
	s.end(attempt.ResponseTruncated, lb.Abandoned)
	return nil
}

func (s *responseStream) end(kind attempt.EventKind, v lb.Verdict) {
	if s.ended {
		return
	}
	s.ended = true
	t := s.attempt
	t.x.Close()
	act := s.call.step(attempt.Event{Kind: kind, Attempt: t.number})
	s.call.endResponse(t, act, v, nil)
}

// The HTTP server closes a body stream only if it implements io.Closer.
var _ io.ReadCloser = (*responseStream)(nil)
