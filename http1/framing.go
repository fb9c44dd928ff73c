package http1

import (
	"bytes"
	"net/http"
	"strconv"
)

const (
	minStatus = 100
	maxStatus = 599
	// maxLengthBits bounds a body, so that its length fits an int64.
	maxLengthBits = 62
	// maxChunkDigits bounds a chunk to less than 1 EB.
	maxChunkDigits = 15
)

// head is what the header of a response says about its body.
type head struct {
	status int
	http11 bool
	// lengths and codings count the Content-Length and the Transfer-Encoding lines.
	lengths, codings int
	length           uint64
}

// interim reports whether a final response follows.
func (h *head) interim() bool { return h.status < http.StatusOK }

// add takes note of a header line.
func (h *head) add(name, value []byte) *Error {
	switch {
	case isName(name, "content-length"):
		return h.addLength(value)
	case isName(name, "transfer-encoding"):
		if h.codings++; !bytes.EqualFold(value, []byte("chunked")) {
			return malformed(Framing, "Transfer-Encoding is "+quotedStart+"; only chunked is accepted", value)
		}
	}
	return nil
}

func (h *head) addLength(value []byte) *Error {
	length, err := strconv.ParseUint(string(value), 10, maxLengthBits)
	if err != nil {
		return malformed(Framing, "Content-Length "+quotedStart+" is not a number of bytes", value)
	}
	h.lengths++
	h.length = length
	return nil
}

// body returns how the body is delimited (RFC 9112, section 6.3): the phase that
// follows the header and, for a body of announced length, its bytes. toHEAD is true
// for a response to a HEAD request.
func (h *head) body(toHEAD bool) (next phase, length uint64, err *Error) {
	switch {
	case h.lengths > 1 || h.codings > 1:
		return 0, 0, malformed(Framing, "more than one Content-Length or Transfer-Encoding")
	case h.lengths > 0 && h.codings > 0:
		return 0, 0, malformed(Framing, "both Content-Length and Transfer-Encoding")
	case h.codings > 0 && !h.http11:
		return 0, 0, malformed(Framing, "Transfer-Encoding in a response that is not HTTP/1.1")
	case h.status == http.StatusSwitchingProtocols:
		return 0, 0, malformed(Status, "status 101 without a request to change the protocol")
	case h.interim() || h.status == http.StatusNoContent:
		if h.codings > 0 || h.length > 0 {
			return 0, 0, malformed(Framing, "status %d with a body", h.status)
		}
		return inStatusLine, 0, nil
	case toHEAD || h.status == http.StatusNotModified:
		return inStatusLine, 0, nil
	case h.codings > 0:
		return inChunkSize, 0, nil
	case h.lengths > 0 && h.length == 0:
		return inStatusLine, 0, nil
	case h.lengths > 0:
		return inBody, h.length, nil
	default:
		return inBodyUntilClose, 0, nil
	}
}

// checkTrailerName rejects trailer lines that would change how the response is
// delimited.
func checkTrailerName(name []byte) *Error {
	if isName(name, "content-length") || isName(name, "transfer-encoding") {
		return malformed(Framing, "%s in the trailer", name)
	}
	return nil
}

// isName reports whether a header name is want, which is in lower case.
func isName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// parseChunkSize parses the line before a chunk, without its CRLF (RFC 9112,
// section 7.1).
func parseChunkSize(line []byte) (uint64, *Error) {
	digits := 0
	for digits < len(line) && IsHex(line[digits]) {
		digits++
	}
	if digits == 0 || digits > maxChunkDigits {
		return 0, malformed(Chunk, "chunk size line "+quotedStart+" does not begin with 1 to 15 hexadecimal digits", line)
	}
	if !isChunkExtension(line[digits:]) {
		return 0, malformed(Chunk, "chunk size line "+quotedStart+" has an invalid extension", line)
	}
	size, err := strconv.ParseUint(string(line[:digits]), 16, maxLengthBits)
	if err != nil {
		return 0, malformed(Chunk, "chunk size %q: %v", line[:digits], err)
	}
	return size, nil
}

// isChunkExtension reports whether b is a list of chunk extensions: each a semicolon
// and a name, with an optional value, a token or a quoted string. Spaces between
// them, which senders must not generate, are rejected.
func isChunkExtension(b []byte) bool {
	for len(b) > 0 {
		rest, found := bytes.CutPrefix(b, []byte(";"))
		if !found {
			return false
		}
		var name []byte
		if name, b = cutToken(rest); len(name) == 0 {
			return false
		}
		value, found := bytes.CutPrefix(b, []byte("="))
		if !found {
			continue
		}
		if b, found = cutChunkValue(value); !found {
			return false
		}
	}
	return true
}

// cutChunkValue returns what follows a token or quoted string; ok is false when b
// begins with neither.
func cutChunkValue(b []byte) (rest []byte, ok bool) {
	if !bytes.HasPrefix(b, []byte(`"`)) {
		value, rest := cutToken(b)
		return rest, len(value) > 0
	}
	for i := 1; i < len(b); i++ {
		switch b[i] {
		case '"':
			return b[i+1:], IsFieldValue(b[:i])
		case '\\':
			i++
		}
	}
	return nil, false
}

// cutToken splits b after the token that it begins with.
func cutToken(b []byte) (token, rest []byte) {
	n := 0
	for n < len(b) && tokenBytes[b[n]] {
		n++
	}
	return b[:n], b[n:]
}

// IsHex reports whether c is a hexadecimal digit.
func IsHex(c byte) bool { return '0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'f' }
