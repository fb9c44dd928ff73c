//go:build !unix

package upstream

// peek is not available on this platform and always fails, so every
// connection check fails.
func peek(uintptr, *pollFds) peekResult { return peekFailed }

type pollFds struct{}
