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

	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/router"
)

// Names and limits of request headers.
const (
	headerCaller       = "X-Caller"
	headerKey          = "Idempotency-Key"
	chestnutPrefix     = "chestnut-"
	unknownLength      = -1
	maxHeaderLines     = 256
	typicalHeaderLines = 32
	maxDeadlineMillis  = int64(24 * time.Hour / time.Millisecond)
)

// inbound is a validated request: the values that decisions use, and the
// header lines that are forwarded to the upstream.
type inbound struct {
	method string
	// target is the request target in origin form, as sent.
	target         string
	path           string
	host           string
	caller         string
	idempotencyKey string
	// requestID identifies the request; "" when the caller sent no ID.
	requestID string
	// splitHash selects a pool on a route that splits its requests among
	// pools.
	splitHash uint64
	// lines are the end-to-end header lines, each with its CRLF.
	lines []byte
	// deadline is the caller's own time limit, 0 when it set none.
	deadline  time.Duration
	noRetries bool
	// length is the Content-Length in bytes, unknownLength when the body is
	// chunked.
	length  int64
	trailer string
	isHEAD  bool
	// http10 is true for HTTP/1.0, which has no chunked encoding.
	http10 bool
	access access
}

// headerLine is one line of a raw header.
type headerLine struct {
	name, value []byte
	// whole includes the CRLF.
	whole []byte
	kind  lineKind
}

// headerScan is the result of the first pass over a header.
type headerScan struct {
	lines []headerLine
	// hosts to ids count the lines of one kind each; lengths counts
	// Content-Length, codings Transfer-Encoding lines.
	hosts             int
	lengths           int
	codings           int
	callers           int
	keys              int
	ids               int
	upgrade           bool
	connectionOptions []string
	names             *headerNames
}

var headerScans = sync.Pool{New: func() any { return &headerScan{lines: make([]headerLine, 0, typicalHeaderLines)} }}

// release clears the scan and returns it to the pool with its allocated
// lines.
func (s *headerScan) release() {
	clear(s.lines)
	*s = headerScan{lines: s.lines[:0]}
	headerScans.Put(s)
}

// parseInbound validates a request header byte by byte and keeps what is
// forwarded.
func parseInbound(h *fasthttp.RequestHeader, n *headerNames) (*inbound, *localReply) {
	in := &inbound{method: string(h.Method()), isHEAD: h.IsHead(), http10: !h.IsHTTP11()}
	if p := checkProtocol(h); p != nil {
		return nil, p
	}
	scan := headerScans.Get().(*headerScan)
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
	in.setSplitHash()
	return in, nil
}

// setSplitHash derives the split hash from the request ID, so that every
// evaluation of one request finds the same pool. Requests without an ID get a
// random hash.
func (in *inbound) setSplitHash() {
	if in.requestID == "" {
		in.splitHash = rand.Uint64()
		return
	}
	in.splitHash = xxhash.Sum64String(in.requestID)
}

func checkProtocol(h *fasthttp.RequestHeader) *localReply {
	switch string(h.Protocol()) {
	case "HTTP/1.1", "HTTP/1.0":
		return nil
	}
	return malformed("HTTP version is not supported")
}

// read splits the raw header into lines and validates the bytes of each.
func (s *headerScan) read(raw []byte) *localReply {
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

func (s *headerScan) add(line []byte) *localReply {
	if len(s.lines) == maxHeaderLines {
		return tooLarge(fasthttp.StatusRequestHeaderFieldsTooLarge, "too many header lines")
	}
	content := line[:len(line)-2]
	colon := bytes.IndexByte(content, ':')
	if colon < 1 {
		return malformed("header line has no name")
	}
	l := headerLine{name: content[:colon], value: http1.TrimSpace(content[colon+1:]), whole: line}
	if !http1.IsToken(l.name) {
		return malformed("header name has a forbidden byte")
	}
	if !http1.IsFieldValue(l.value) {
		return malformed("header value has a forbidden byte")
	}
	l.kind = s.names.kindOf(l.name)
	s.count(&l)
	s.lines = append(s.lines, l)
	return nil
}

func (s *headerScan) count(l *headerLine) {
	switch l.kind {
	case lineHost:
		s.hosts++
	case lineContentLength:
		s.lengths++
	case lineTransferEncoding:
		s.codings++
	case lineCaller:
		s.callers++
	case lineIdempotencyKey:
		s.keys++
	case lineRequestID:
		s.ids++
	case lineUpgrade:
		s.upgrade = s.upgrade || !strings.EqualFold(string(l.value), "h2c")
	case lineConnection:
		s.addConnectionOptions(l.value)
	}
}

// addConnectionOptions records the header names that a Connection line makes
// hop-by-hop.
func (s *headerScan) addConnectionOptions(value []byte) {
	for _, option := range strings.Split(string(value), ",") {
		option = strings.ToLower(strings.TrimSpace(option))
		switch option {
		case "", "close", "keep-alive":
		default:
			s.connectionOptions = append(s.connectionOptions, option)
		}
	}
}

// check applies the rules that span several lines and reads the lines with
// special meaning.
func (s *headerScan) check(h *fasthttp.RequestHeader, in *inbound) *localReply {
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

func (in *inbound) readSpecial(l *headerLine) *localReply {
	switch l.kind {
	case lineHost:
		in.host = string(l.value)
		if strings.ContainsAny(in.host, " ,/@\\?#") {
			return malformed("Host is not a host")
		}
	case lineContentLength:
		n, err := strconv.ParseUint(string(l.value), 10, 62)
		if err != nil || l.value[0] == '+' {
			return malformed("Content-Length is not a number")
		}
		in.length = int64(n)
	case lineTransferEncoding:
		if !strings.EqualFold(string(l.value), "chunked") {
			return malformed("Transfer-Encoding is not chunked")
		}
		in.length = unknownLength
	case lineCaller:
		in.caller = string(l.value)
	case lineIdempotencyKey:
		in.idempotencyKey = string(l.value)
	case lineRequestID:
		in.requestID = string(l.value)
	case lineDeadline:
		in.readDeadline(string(l.value))
	case lineRetries:
		in.noRetries = in.noRetries || string(l.value) == "0"
	case lineTrailer:
		in.trailer = string(l.value)
	}
	return nil
}

// readDeadline reads the caller's deadline in milliseconds, which can only
// shorten the route's time limit.
func (in *inbound) readDeadline(value string) {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 {
		return
	}
	d := max(time.Duration(min(ms, maxDeadlineMillis))*time.Millisecond, 1)
	if in.deadline == 0 || d < in.deadline {
		in.deadline = d
	}
}

// setTarget converts the request target to origin form.
func (in *inbound) setTarget(h *fasthttp.RequestHeader) *localReply {
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
func (in *inbound) keepLines(s *headerScan) {
	size := 0
	for i := range s.lines {
		size += len(s.lines[i].whole)
	}
	in.lines = make([]byte, 0, size+extraHeaderBytes)
	for i := range s.lines {
		l := &s.lines[i]
		if l.kind.endToEnd() && !s.isConnectionOption(l) {
			in.lines = append(in.lines, l.whole...)
		}
	}
}

// isConnectionOption reports whether a Connection line names this header.
// Headers that routing or framing depends on can't be made hop-by-hop.
func (s *headerScan) isConnectionOption(l *headerLine) bool {
	if len(s.connectionOptions) == 0 || l.kind != lineOther {
		return false
	}
	for _, name := range s.connectionOptions {
		if strings.EqualFold(name, string(l.name)) {
			return true
		}
	}
	return false
}

// query returns the properties by which the route is found.
func (in *inbound) query() router.Request {
	host := in.host
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return router.Request{Method: in.method, Path: in.path, Caller: in.caller, Host: host, SplitHash: in.splitHash}
}
