package upstream

// peekResult is the result of checking a socket without reading from it.
type peekResult uint8

const (
	// peekFailed: bytes, the end of the stream or an error.
	peekFailed peekResult = iota
	// peekEmpty: the socket is open and holds no bytes.
	peekEmpty
)
