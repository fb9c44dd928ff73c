//go:build !unix

package upstream

// peek is not available; every request opens a connection.
func peek(uintptr, *pollRoom) peekResult { return peekFailed }

type pollRoom struct{}
