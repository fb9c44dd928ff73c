package proxy

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/ports"
)

// lineKind says how the forwarding path treats a header line.
type lineKind uint8

const (
	lineOther lineKind = iota
	lineHost
	lineCaller
	lineKey
	lineRequestID
	// lineFixed lines go on and can't be nominated hop-by-hop.
	lineFixed
	// The kinds from here on do not go on as they came.
	lineHop
	lineLength
	lineCoding
	lineConnection
	lineUpgrade
	lineTrailer
	lineExpect
	lineDeadline
	lineRetries
	lineTarget
	lineChestnut
)

// endToEnd says that lines of the kind go on to the upstream.
func (k lineKind) endToEnd() bool { return k < lineHop }

var lineKinds = map[string]lineKind{
	"host":                lineHost,
	"x-caller":            lineCaller,
	"idempotency-key":     lineKey,
	"authorization":       lineFixed,
	"cookie":              lineFixed,
	"content-type":        lineFixed,
	"content-encoding":    lineFixed,
	"content-length":      lineLength,
	"transfer-encoding":   lineCoding,
	"connection":          lineConnection,
	"upgrade":             lineUpgrade,
	"trailer":             lineTrailer,
	"expect":              lineExpect,
	"keep-alive":          lineHop,
	"proxy-connection":    lineHop,
	"proxy-authorization": lineHop,
	"proxy-authenticate":  lineHop,
	"te":                  lineHop,
	"http2-settings":      lineHop,
	// The two headers of this prefix that callers may send.
	"chestnut-deadline-ms": lineDeadline,
	"chestnut-retries":     lineRetries,
}

const longestKnownName = len("chestnut-deadline-ms")

// kindOf finds the kind of a header name.
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

// answerHop says that an answer's header does not go on to the caller.
func answerHop(name []byte) bool {
	switch kindOf(name) {
	case lineHop, lineConnection, lineUpgrade:
		return true
	case lineChestnut:
		return equalName(name, headerHandover) || equalName(name, ports.HeaderGroupLoad)
	}
	return false
}

var tokenBytes = func() (t [256]bool) {
	for c := range t {
		b := byte(c)
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		t[c] = letter || '0' <= b && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
	return t
}()

func isToken(name []byte) bool {
	for _, c := range name {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(name) > 0
}

// isFieldValue allows visible bytes, spaces, tabs and bytes above ASCII.
func isFieldValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isTarget allows an origin-form target, or "*" of OPTIONS.
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
	return true
}

func trimSpace(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	for len(b) > 0 && (b[len(b)-1] == ' ' || b[len(b)-1] == '\t') {
		b = b[:len(b)-1]
	}
	return b
}

// normalPath is the path with percent escapes decoded, dot segments resolved
// and repeated slashes merged, as an upstream may read it.
func normalPath(path string) string {
	if !strings.ContainsAny(path, "%\\") && !strings.Contains(path, "//") && !strings.Contains(path, "/.") {
		return path
	}
	uri := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(uri)
	uri.SetPath(path)
	return string(uri.Path())
}
