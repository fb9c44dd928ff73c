//go:build unix

package upstream

import "golang.org/x/sys/unix"

// peek checks a socket without reading from it and without blocking.
func peek(fd uintptr, poll *pollFds) peekResult {
	poll[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN}
	for {
		n, err := unix.Poll(poll[:], 0)
		switch {
		case err == unix.EINTR:
			continue
		case err == nil && n == 0:
			return peekEmpty
		default:
			return peekFailed
		}
	}
}

// pollFds is the argument of poll; each connection has its own, to avoid an
// allocation.
type pollFds [1]unix.PollFd
