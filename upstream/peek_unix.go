//go:build unix

package upstream

import "golang.org/x/sys/unix"

// peek looks at a socket without taking bytes and without waiting.
func peek(fd uintptr, buf []byte) peekResult {
	for {
		_, _, err := unix.Recvfrom(int(fd), buf, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch err {
		case unix.EINTR:
			continue
		case unix.EAGAIN:
			return peekEmpty
		default:
			return peekFailed
		}
	}
}
