package proxy

import (
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/dialect"
)

// headerNames is the dialect of a server, prepared for looking up header
// lines.
type headerNames struct {
	dialect.Dialect
	// special holds the dialect's header names that need special treatment.
	special []specialHeader
}

type specialHeader struct {
	name string
	kind lineKind
}

func newHeaderNames(d dialect.Dialect) *headerNames {
	n := &headerNames{Dialect: d}
	for _, s := range []specialHeader{
		{d.Deadline, lineDeadline}, {d.Retries, lineRetries}, {d.RequestID, lineRequestID}, {d.Target, lineTarget},
	} {
		if s.name != "" {
			n.special = append(n.special, s)
		}
	}
	return n
}

// kindOf returns the kind of a header name; the dialect's names come first.
func (n *headerNames) kindOf(name []byte) lineKind {
	for _, s := range n.special {
		if equalName(name, s.name) {
			return s.kind
		}
	}
	return kindOf(name)
}

// notRun reports whether an upstream's response says that it did not run the
// request.
func (n *headerNames) notRun(h *fasthttp.ResponseHeader) bool {
	if n.NotRun == "" || !slices.Contains(n.NotRunStatuses, h.StatusCode()) {
		return false
	}
	value, ok := headerValue(h, n.NotRun)
	return ok && (n.NotRunValue == "" || value == n.NotRunValue)
}

// headerValue returns the value of a header, whatever the case of its name;
// fasthttp keeps names as they arrived here, since normalizing is disabled.
func headerValue(h *fasthttp.ResponseHeader, name string) (value string, ok bool) {
	if name == "" {
		return "", false
	}
	for n, v := range h.All() {
		if equalName(n, name) {
			return string(v), true
		}
	}
	return "", false
}
