package proxy

import (
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/dialect"
)

// names is the dialect of a server, as header lines are looked up in it.
type names struct {
	dialect.Dialect
	// special holds the dialect's names that are treated unlike other lines.
	special []specialName
}

type specialName struct {
	name string
	kind lineKind
}

func newNames(d dialect.Dialect) *names {
	n := &names{Dialect: d}
	for _, s := range []specialName{
		{d.Deadline, lineDeadline}, {d.Retries, lineRetries}, {d.RequestID, lineRequestID}, {d.Target, lineTarget},
	} {
		if s.name != "" {
			n.special = append(n.special, s)
		}
	}
	return n
}

// kindOf finds the kind of a header name, first in the dialect.
func (n *names) kindOf(name []byte) lineKind {
	for _, s := range n.special {
		if equalName(name, s.name) {
			return s.kind
		}
	}
	return kindOf(name)
}

// notRun says that an upstream's answer means that it did not run the request.
func (n *names) notRun(h *fasthttp.ResponseHeader) bool {
	status := h.StatusCode()
	if n.WrongTarget != 0 && status == n.WrongTarget {
		return true
	}
	if n.NotRun == "" || !slices.Contains(n.NotRunStatuses, status) {
		return false
	}
	value, ok := headerValue(h, n.NotRun)
	return ok && (n.NotRunValue == "" || value == n.NotRunValue)
}

// headerValue finds a header line whatever the case of its name; the codec
// keeps names as they came.
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
