package proxy

import (
	"strings"

	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/lb"
)

// lineKind says how the proxy treats a header line.
type lineKind uint8

const (
	lineOther lineKind = iota
	lineHost
	lineCaller
	lineIdempotencyKey
	lineRequestID
	// lineProtected lines are forwarded and can't be made hop-by-hop by
	// Connection.
	lineProtected
	// Lines of the kinds from here on are not forwarded as they arrived.
	lineHopByHop
	lineContentLength
	lineTransferEncoding
	lineConnection
	lineUpgrade
	lineTrailer
	lineExpect
	lineDeadline
	lineRetries
	lineTarget
	lineChestnut
)

// endToEnd reports whether lines of the kind are forwarded to the upstream.
func (k lineKind) endToEnd() bool { return k < lineHopByHop }

var lineKinds = map[string]lineKind{
	"host":                lineHost,
	"x-caller":            lineCaller,
	"idempotency-key":     lineIdempotencyKey,
	"authorization":       lineProtected,
	"cookie":              lineProtected,
	"content-type":        lineProtected,
	"content-encoding":    lineProtected,
	"content-length":      lineContentLength,
	"transfer-encoding":   lineTransferEncoding,
	"connection":          lineConnection,
	"upgrade":             lineUpgrade,
	"trailer":             lineTrailer,
	"expect":              lineExpect,
	"keep-alive":          lineHopByHop,
	"proxy-connection":    lineHopByHop,
	"proxy-authorization": lineHopByHop,
	"proxy-authenticate":  lineHopByHop,
	"te":                  lineHopByHop,
	"http2-settings":      lineHopByHop,
	// Callers may send only these two headers with the prefix "chestnut-".
	"chestnut-deadline-ms": lineDeadline,
	"chestnut-retries":     lineRetries,
}

const longestKnownName = len("chestnut-deadline-ms")

// kindOf returns the kind of a header name.
func kindOf(name []byte) lineKind {
	if len(name) > longestKnownName {
		return prefixKind(name)
	}
	var buf [longestKnownName]byte
	lower := buf[:len(name)]
	for i, c := range name {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		lower[i] = c
	}
	if kind, ok := lineKinds[string(lower)]; ok {
		return kind
	}
	return prefixKind(name)
}

func prefixKind(name []byte) lineKind {
	if len(name) >= len(chestnutPrefix) && strings.EqualFold(string(name[:len(chestnutPrefix)]), chestnutPrefix) {
		return lineChestnut
	}
	return lineOther
}

// strippedFromResponse reports whether a response header is not forwarded to
// the caller: it is hop-by-hop or internal to the hosts.
func strippedFromResponse(name []byte) bool {
	switch kindOf(name) {
	case lineHopByHop, lineConnection, lineUpgrade:
		return true
	case lineChestnut:
		return equalName(name, headerHandover) || equalName(name, lb.HeaderGroupLoad)
	}
	return false
}

// isTarget allows a target in origin form, or the "*" of OPTIONS.
func isTarget(target string) bool {
	if target == "*" {
		return true
	}
	if target == "" || target[0] != '/' {
		return false
	}
	for i := range len(target) {
		if c := target[i]; c <= ' ' || c == 0x7f || c == '#' {
			return false
		}
	}
	path, _, _ := strings.Cut(target, "?")
	return hasValidEscapes(path)
}

// hasValidEscapes reports whether each percent sign of a path is followed by two
// hexadecimal digits (RFC 3986, section 2.1). Upstreams disagree on what others mean.
func hasValidEscapes(path string) bool {
	for i := strings.IndexByte(path, '%'); i >= 0; i = strings.IndexByte(path, '%') {
		if len(path) < i+3 || !http1.IsHex(path[i+1]) || !http1.IsHex(path[i+2]) {
			return false
		}
		path = path[i+3:]
	}
	return true
}
