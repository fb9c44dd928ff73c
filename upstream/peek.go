package upstream

// peekResult is what a look at a socket found.
type peekResult uint8

const (
	// peekFailed: bytes, the end of the stream or an error.
	peekFailed peekResult = iota
	// peekEmpty: the socket is open and holds nothing.
	peekEmpty
)
