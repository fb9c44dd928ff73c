package http1

import (
	"bytes"
	"strings"
)

// quotedStart is the format that quotes the first 60 bytes of what was found.
const quotedStart = "%.60q"

var crlf = []byte("\r\n")

// tokenBytes are the bytes of a token (RFC 9110, section 5.6.2).
var tokenBytes = func() (t [256]bool) {
	for c := range t {
		b := byte(c)
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		t[c] = letter || '0' <= b && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
	return t
}()

// IsToken reports whether name is a token, as the name of a header line has to be.
func IsToken(name []byte) bool {
	for _, c := range name {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(name) > 0
}

// IsFieldValue reports whether value may be the value of a header line: visible
// characters, spaces, tabs and bytes above ASCII.
func IsFieldValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// TrimSpace returns b without the spaces and tabs around it.
func TrimSpace(b []byte) []byte { return bytes.Trim(b, " \t") }

const (
	version11 = "HTTP/1.1 "
	version10 = "HTTP/1.0 "
	// phraseAt is the index of the reason phrase in a status line, after the version,
	// three digits and a space.
	phraseAt = len(version11) + 4
)

// beginsStatusLine reports whether a status line may begin with b.
func beginsStatusLine(b []byte) bool {
	if len(b) > len(version11) {
		b = b[:len(version11)]
	}
	return strings.HasPrefix(version11, string(b)) || strings.HasPrefix(version10, string(b))
}

// parseStatusLine parses a status line without its CRLF.
func parseStatusLine(line []byte) (status int, http11 bool, err *Error) {
	if len(line) < len(version11) || !beginsStatusLine(line) {
		return 0, false, malformed(Version, "status line "+quotedStart+" does not begin with HTTP/1.1 or HTTP/1.0", line)
	}
	code := line[len(version11):min(phraseAt-1, len(line))]
	for _, c := range code {
		if c < '0' || c > '9' {
			return 0, false, malformed(Status, "status %q is not a number of three digits", code)
		}
		status = 10*status + int(c-'0')
	}
	if len(code) < 3 || status < minStatus || status > maxStatus {
		return 0, false, malformed(Status, "status %q is not from 100 to 599", code)
	}
	if len(line) < phraseAt || line[phraseAt-1] != ' ' {
		return 0, false, malformed(ReasonPhrase, "status line "+quotedStart+" has no space after the status", line)
	}
	if !IsFieldValue(line[phraseAt:]) {
		return 0, false, malformed(ReasonPhrase, "reason phrase "+quotedStart+" has a control byte", line[phraseAt:])
	}
	return status, string(line[:len(version11)]) == version11, nil
}

// parseFieldLine splits a header or trailer line without its CRLF.
func parseFieldLine(line []byte) (name, value []byte, err *Error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return nil, nil, malformed(FieldName, "header line "+quotedStart+" has no colon", line)
	}
	value = TrimSpace(value)
	return name, value, checkField(name, value)
}

// checkField checks the name and the value of a header line.
func checkField(name, value []byte) *Error {
	if !IsToken(name) {
		return malformed(FieldName, "header name "+quotedStart+" is not a token", name)
	}
	if !IsFieldValue(value) {
		return malformed(FieldValue, "value of header %.60s has a control byte", name)
	}
	return nil
}

// cutLineEnd returns a line without its CRLF.
func cutLineEnd(line []byte) ([]byte, *Error) {
	content, found := bytes.CutSuffix(line, crlf)
	if !found {
		return nil, malformed(LineEnd, "line "+quotedStart+" does not end in CRLF", line)
	}
	return content, nil
}
