package proxy

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
)

// forward gives the answer of an attempt to the caller and abandons the rest.
func (c *call) forward(number int) {
	c.abandon(number)
	t := c.try(number)
	c.waitedFor(t.started)
	if err := c.copyHeader(t); err != nil {
		c.cut(t)
		return
	}
	if t.x.HasBody() {
		c.forwardStream(t)
		return
	}
	if t.held != nil {
		c.rc.Response.SetBody(t.held)
	}
	recorded := c.record(t)
	t.x.Close()
	act := c.step(attempt.Event{Kind: attempt.ResponseComplete, Attempt: t.number})
	c.endAnswer(t, act, t.verdict(), recorded)
}

// cut ends a request whose answer can't be given.
func (c *call) cut(t *try) {
	t.x.Close()
	act := c.step(attempt.Event{Kind: attempt.ResponseTruncated, Attempt: t.number})
	p := newProblem(outcome.UpstreamLost, c.endOf(act).Outcome, "upstream answer can't be forwarded")
	c.endAnswer(t, act, ports.Failed, nil)
	c.answer(p)
}

func (c *call) endAnswer(t *try, act attempt.Action, v ports.Verdict, recorded *ports.RecordedAnswer) {
	c.done(t, v)
	c.note(t, false)
	c.close(c.endOf(act), recorded)
}

// endOf is the end that an action names, or that the call has otherwise.
func (c *call) endOf(act attempt.Action) attempt.End {
	if act.Kind == attempt.Finish {
		return act.End
	}
	return c.end()
}

// maxAnswerHeader is the largest answer header that is forwarded.
const maxAnswerHeader = 32 << 10

// headerCopier holds what a header passes through on its way to the caller.
type headerCopier struct {
	lines []byte
	src   bytes.Reader
	br    *bufio.Reader
}

var headerCopiers = sync.Pool{New: func() any { return &headerCopier{br: bufio.NewReaderSize(nil, maxAnswerHeader)} }}

// copyHeader gives the caller the answer's header as it arrived, without its
// hop-by-hop lines.
func (c *call) copyHeader(t *try) error {
	cp := headerCopiers.Get().(*headerCopier)
	defer headerCopiers.Put(cp)
	cp.lines = filterAnswer(cp.lines[:0], t.x.RawHeader())
	cp.src.Reset(cp.lines)
	cp.br.Reset(&cp.src)
	h := &c.rc.Response.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	if err := h.Read(cp.br); err != nil {
		return err
	}
	h.ResetConnectionClose()
	c.markPeerAnswer(handoverAnswered)
	if !c.body.whole() && !t.sentWhole {
		c.conn.lingering.Store(true)
		h.SetConnectionClose()
	}
	return nil
}

const versionLine = "HTTP/1.1"

// filterAnswer copies the end-to-end lines of a raw answer header.
func filterAnswer(dst, raw []byte) []byte {
	nominated := answerNominated(raw)
	dst = append(dst, versionLine...)
	raw = raw[len(versionLine):]
	for first := true; len(raw) > 0; first = false {
		end := bytes.IndexByte(raw, '\n') + 1
		if end == 0 {
			end = len(raw)
		}
		line := raw[:end]
		raw = raw[end:]
		name, _, ok := cutName(line)
		if !first && ok && (answerHop(name) || isNominated(nominated, name)) {
			continue
		}
		dst = append(dst, line...)
	}
	return dst
}

// answerNominated lists the names that the answer's Connection lines name.
func answerNominated(raw []byte) []string {
	var scan lineScan
	for len(raw) > 0 {
		line, rest, _ := bytes.Cut(raw, []byte("\n"))
		raw = rest
		name, value, ok := cutName(line)
		if ok && kindOf(name) == lineConnection {
			scan.nominate(trimSpace(bytes.TrimSuffix(value, []byte("\r"))))
		}
	}
	return scan.nominated
}

// cutName splits a line of an answer's header. Space before the colon is no
// part of the name, as for the codec.
func cutName(line []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(line, []byte(":"))
	return bytes.TrimRight(name, " \t"), value, ok
}

func isNominated(names []string, name []byte) bool {
	for _, n := range names {
		if equalName(name, n) && kindOf(name) == lineOther {
			return true
		}
	}
	return false
}

// forwardStream gives a large answer, or one of unknown length, as it comes.
func (c *call) forwardStream(t *try) {
	length := t.x.Header().ContentLength()
	if length < 0 && c.in.plain {
		c.cut(t)
		return
	}
	c.streamed = true
	stream := &answerStream{call: c, try: t, held: t.held}
	c.rc.Response.ImmediateHeaderFlush = true
	c.rc.Response.SetBodyStream(stream, max(length, unknownLength))
}

// answerStream is the body of an answer on its way to the caller. The HTTP
// server reads it to the end or closes it early; either ends the call. An
// error in place of the end makes the server cut the caller's connection.
type answerStream struct {
	call  *call
	try   *try
	held  []byte
	ended bool
}

// Read returns the next bytes.
func (s *answerStream) Read(p []byte) (int, error) {
	if len(s.held) > 0 {
		n := copy(p, s.held)
		s.held = s.held[n:]
		return n, nil
	}
	n, err := s.try.x.Read(p)
	if errors.Is(err, io.EOF) {
		s.copyTrailers()
		s.end(attempt.ResponseComplete, s.try.verdict())
	} else if err != nil {
		s.end(attempt.ResponseTruncated, ports.Failed)
	}
	return n, err
}

// copyTrailers hands on the trailers that came after the body.
func (s *answerStream) copyTrailers() {
	from, to := s.try.x.Header(), &s.call.rc.Response.Header
	for _, line := range bytes.Split(from.TrailerHeader(), []byte("\r\n")) {
		name, value, ok := bytes.Cut(line, []byte(": "))
		if ok && to.AddTrailerBytes(name) == nil {
			to.AddBytesKV(name, value)
		}
	}
}

// Close ends the call when the answer was not read to its end.
func (s *answerStream) Close() error {
	s.end(attempt.ResponseTruncated, ports.Abandoned)
	return nil
}

func (s *answerStream) end(kind attempt.EventKind, v ports.Verdict) {
	if s.ended {
		return
	}
	s.ended = true
	t := s.try
	t.x.Close()
	act := s.call.step(attempt.Event{Kind: kind, Attempt: t.number})
	s.call.endAnswer(t, act, v, nil)
}

// answerStream is closed by the HTTP server.
var _ io.ReadCloser = (*answerStream)(nil)
