//go:build unix

package upstream

import "golang.org/x/sys/unix"

// peek looks at a socket without taking bytes and without waiting.
func peek(fd uintptr, poll *pollRoom) peekResult {
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

// pollRoom is what a peek writes to; a connection keeps its own.
type pollRoom [1]unix.PollFd
