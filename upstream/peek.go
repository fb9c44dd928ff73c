package upstream

// peekResult is what peek finds about a socket.
type peekResult uint8

const (
	// peekFailed: the socket holds bytes or the end of the stream, or the check
	// failed.
	peekFailed peekResult = iota
	// peekEmpty: the socket is open and holds no bytes.
	peekEmpty
)
