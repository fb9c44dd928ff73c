package http1

import "fmt"

// Reason is the part of a response that is malformed, a value of a metric label
// and of a log field.
type Reason string

// The reasons for which a response is rejected.
const (
	// Version: the response does not begin with HTTP/1.1 or HTTP/1.0.
	Version Reason = "version"
	// Status: the status is not a number from 100 to 599, or is 101.
	Status Reason = "status"
	// ReasonPhrase: the status line lacks the space before the reason phrase, or the
	// phrase has a control byte.
	ReasonPhrase Reason = "reason-phrase"
	// LineEnd: a line does not end in CRLF.
	LineEnd Reason = "line-end"
	// FieldName: the name of a header or trailer line is not a token.
	FieldName Reason = "field-name"
	// FieldValue: the value of a header or trailer line has a control byte.
	FieldValue Reason = "field-value"
	// Framing: the length of the body is invalid or contradictory.
	Framing Reason = "framing"
	// Chunk: a chunk size, chunk extension or the end of a chunk is invalid.
	Chunk Reason = "chunk"
	// TooLarge: a header, trailer or chunk size line exceeds its limit.
	TooLarge Reason = "too-large"
	// Unsolicited: bytes arrived for which there is no request.
	Unsolicited Reason = "unsolicited"
)

// Error says why bytes are not an HTTP/1.1 response.
type Error struct {
	Reason Reason
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return "response is not HTTP/1.1: " + e.Detail }

func malformed(r Reason, format string, args ...any) *Error {
	return &Error{Reason: r, Detail: fmt.Sprintf(format, args...)}
}
