package proxy

import (
	"bytes"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/router"
)

// Names of headers that the forwarding path reads or sets.
const (
	headerCaller     = "X-Caller"
	headerKey        = "Idempotency-Key"
	chestnutPrefix   = "chestnut-"
	unknownLength    = -1
	maxHeaderLines   = 256
	usualHeaderLines = 32
	maxDeadlineMilli = int64(24 * time.Hour / time.Millisecond)
)

// inbound is a checked request: what decisions read, and the header lines
// that go on to the upstream.
type inbound struct {
	method string
	// target is the request target in origin form, as sent.
	target string
	path   string
	host   string
	caller string
	key    string
	// id names the request; "" when the caller gave none.
	id string
	// draw chooses among the pools of a route that splits its requests.
	draw uint64
	// lines are the end-to-end header lines, each with its CRLF.
	lines []byte
	// deadline is the caller's own limit, 0 when it set none.
	deadline  time.Duration
	noRetries bool
	// length is the Content-Length, unknownLength when chunked.
	length  int64
	trailer string
	head    bool
	// plain is true for HTTP/1.0, which knows no chunks.
	plain bool
}

// headerLine is one line of a raw header.
type headerLine struct {
	name, value []byte
	// whole includes the CRLF.
	whole []byte
	kind  lineKind
}

// lineScan is what the first pass over a header found.
type lineScan struct {
	lines     []headerLine
	hosts     int
	lengths   int
	codings   int
	callers   int
	keys      int
	ids       int
	upgrade   bool
	nominated []string
	names     *names
}

var lineScans = sync.Pool{New: func() any { return &lineScan{lines: make([]headerLine, 0, usualHeaderLines)} }}

// release forgets the header and keeps the room.
func (s *lineScan) release() {
	clear(s.lines)
	*s = lineScan{lines: s.lines[:0]}
	lineScans.Put(s)
}

// parseInbound checks a request header byte by byte and keeps what goes on.
func parseInbound(h *fasthttp.RequestHeader, n *names) (*inbound, *problem) {
	in := &inbound{method: string(h.Method()), head: h.IsHead(), plain: !h.IsHTTP11()}
	if p := checkProtocol(h); p != nil {
		return nil, p
	}
	scan := lineScans.Get().(*lineScan)
	defer scan.release()
	scan.names = n
	if p := scan.read(h.RawHeaders()); p != nil {
		return nil, p
	}
	if p := scan.check(h, in); p != nil {
		return nil, p
	}
	if p := in.setTarget(h); p != nil {
		return nil, p
	}
	in.keepLines(scan)
	in.setDraw()
	return in, nil
}

// setDraw takes the draw from the request's id, so that every look at one
// request finds the same pool.
func (in *inbound) setDraw() {
	if in.id == "" {
		in.draw = rand.Uint64()
		return
	}
	in.draw = xxhash.Sum64String(in.id)
}

func checkProtocol(h *fasthttp.RequestHeader) *problem {
	switch string(h.Protocol()) {
	case "HTTP/1.1", "HTTP/1.0":
		return nil
	}
	return malformed("HTTP version is not supported")
}

// read splits the raw header into lines and checks the bytes of each.
func (s *lineScan) read(raw []byte) *problem {
	for len(raw) > 0 {
		end := bytes.IndexByte(raw, '\n')
		if end < 1 || raw[end-1] != '\r' {
			return malformed("header line does not end in CRLF")
		}
		line := raw[:end+1]
		raw = raw[end+1:]
		if end == 1 {
			if len(raw) > 0 {
				return malformed("bytes after the header")
			}
			return nil
		}
		if p := s.add(line); p != nil {
			return p
		}
	}
	return nil
}

func (s *lineScan) add(line []byte) *problem {
	if len(s.lines) == maxHeaderLines {
		return tooLarge(fasthttp.StatusRequestHeaderFieldsTooLarge, "too many header lines")
	}
	content := line[:len(line)-2]
	colon := bytes.IndexByte(content, ':')
	if colon < 1 {
		return malformed("header line has no name")
	}
	l := headerLine{name: content[:colon], value: trimSpace(content[colon+1:]), whole: line}
	if !isToken(l.name) {
		return malformed("header name has a forbidden byte")
	}
	if !isFieldValue(l.value) {
		return malformed("header value has a forbidden byte")
	}
	l.kind = s.names.kindOf(l.name)
	s.count(&l)
	s.lines = append(s.lines, l)
	return nil
}

func (s *lineScan) count(l *headerLine) {
	switch l.kind {
	case lineHost:
		s.hosts++
	case lineLength:
		s.lengths++
	case lineCoding:
		s.codings++
	case lineCaller:
		s.callers++
	case lineKey:
		s.keys++
	case lineRequestID:
		s.ids++
	case lineUpgrade:
		s.upgrade = s.upgrade || !strings.EqualFold(string(l.value), "h2c")
	case lineConnection:
		s.nominate(l.value)
	}
}

// nominate notes the header names that a Connection line makes hop-by-hop.
func (s *lineScan) nominate(value []byte) {
	for _, option := range strings.Split(string(value), ",") {
		option = strings.ToLower(strings.TrimSpace(option))
		switch option {
		case "", "close", "keep-alive":
		default:
			s.nominated = append(s.nominated, option)
		}
	}
}

// check applies the rules that span lines and reads the special ones.
func (s *lineScan) check(h *fasthttp.RequestHeader, in *inbound) *problem {
	switch {
	case s.hosts > 1:
		return malformed("more than one Host")
	case s.hosts == 0 && h.IsHTTP11():
		return malformed("no Host")
	case s.lengths > 1:
		return malformed("more than one Content-Length")
	case s.codings > 1 || (s.codings == 1 && s.lengths == 1):
		return malformed("conflicting Content-Length and Transfer-Encoding")
	case s.callers > 1 || s.keys > 1 || s.ids > 1:
		return malformed("more than one X-Caller, Idempotency-Key or request id")
	case s.upgrade || in.method == fasthttp.MethodConnect:
		return upgradeRefused()
	}
	for i := range s.lines {
		if p := in.readSpecial(&s.lines[i]); p != nil {
			return p
		}
	}
	return nil
}

func (in *inbound) readSpecial(l *headerLine) *problem {
	switch l.kind {
	case lineHost:
		in.host = string(l.value)
		if strings.ContainsAny(in.host, " ,/@\\?#") {
			return malformed("Host is not a host")
		}
	case lineLength:
		n, err := strconv.ParseUint(string(l.value), 10, 62)
		if err != nil || l.value[0] == '+' {
			return malformed("Content-Length is not a number")
		}
		in.length = int64(n)
	case lineCoding:
		if !strings.EqualFold(string(l.value), "chunked") {
			return malformed("Transfer-Encoding is not chunked")
		}
		in.length = unknownLength
	case lineCaller:
		in.caller = string(l.value)
	case lineKey:
		in.key = string(l.value)
	case lineRequestID:
		in.id = string(l.value)
	case lineDeadline:
		in.readDeadline(string(l.value))
	case lineRetries:
		in.noRetries = in.noRetries || string(l.value) == "0"
	case lineTrailer:
		in.trailer = string(l.value)
	}
	return nil
}

// readDeadline takes a caller's deadline, which can only shorten.
func (in *inbound) readDeadline(value string) {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 {
		return
	}
	d := max(time.Duration(min(ms, maxDeadlineMilli))*time.Millisecond, 1)
	if in.deadline == 0 || d < in.deadline {
		in.deadline = d
	}
}

// setTarget brings the request target into origin form.
func (in *inbound) setTarget(h *fasthttp.RequestHeader) *problem {
	in.target = string(h.RequestURI())
	if _, rest, ok := strings.Cut(in.target, "://"); ok && in.target[0] != '/' {
		authority, path := rest, "/"
		if i := strings.IndexAny(rest, "/?"); i >= 0 {
			authority, path = rest[:i], rest[i:]
		}
		if !strings.EqualFold(authority, in.host) {
			return malformed("request target and Host differ")
		}
		if path[0] == '?' {
			path = "/" + path
		}
		in.target = path
	}
	if !isTarget(in.target) {
		return malformed("request target has a forbidden byte")
	}
	in.path, _, _ = strings.Cut(in.target, "?")
	return nil
}

// keepLines copies the end-to-end lines.
func (in *inbound) keepLines(s *lineScan) {
	size := 0
	for i := range s.lines {
		size += len(s.lines[i].whole)
	}
	in.lines = make([]byte, 0, size+headRoom)
	for i := range s.lines {
		l := &s.lines[i]
		if l.kind.endToEnd() && !s.drops(l) {
			in.lines = append(in.lines, l.whole...)
		}
	}
}

// drops says that a Connection line nominated this one. Lines that routing or
// framing rests on can't be nominated away.
func (s *lineScan) drops(l *headerLine) bool {
	if len(s.nominated) == 0 || l.kind != lineOther {
		return false
	}
	for _, name := range s.nominated {
		if strings.EqualFold(name, string(l.name)) {
			return true
		}
	}
	return false
}

// query is what the route is found by.
func (in *inbound) query() router.Request {
	host := in.host
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return router.Request{Method: in.method, Path: in.path, Caller: in.caller, Host: host, Draw: in.draw}
}
