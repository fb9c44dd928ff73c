// Package transfer bounds how long a connection may pass nothing, instead of how long a
// whole message may take: large messages on slow links take seconds.
package transfer

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// MinProgress is the number of bytes that count as progress. One byte now and then
	// is none.
	MinProgress = 4 << 10
	// writeChunk is the number of bytes that are written under one deadline.
	writeChunk = 16 << 10
)

// Conn is a connection whose deadlines move on while bytes pass. A deadline that is set
// holds until MinProgress bytes have been received, or part of a message was sent; from
// then on the connection may stall for a time-out at most. Reads, and writes, must not be
// concurrent with each other, as in package fasthttp.
type Conn struct {
	net.Conn
	stall    time.Duration
	progress func()

	readDeadline, writeDeadline time.Time
	received                    int
	// maxBytes bounds message, the bytes received since a read deadline was set; 0 sets
	// no bound.
	maxBytes, message int64
}

// ErrTooLong is the error of a read beyond the longest message.
var ErrTooLong = errors.New("message is longer than the connection accepts")

// NewConn returns c with deadlines that move on. stall is the longest time without
// progress. progress, if not nil, is called for each MinProgress bytes received.
func NewConn(c net.Conn, stall time.Duration, progress func()) *Conn {
	return &Conn{Conn: c, stall: stall, progress: progress}
}

// WithMaxBytes bounds what is received under one read deadline: bytes without end are
// progress, so that no deadline would end them. It returns c.
func (c *Conn) WithMaxBytes(n int64) *Conn {
	c.maxBytes = n
	return c
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.readDeadline, c.received, c.message = t, 0, 0
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received += n
	if c.message += int64(n); c.maxBytes > 0 && c.message > c.maxBytes {
		return n, errors.Wrapf(ErrTooLong, "%d bytes", c.maxBytes)
	}
	if err != nil || c.received < MinProgress {
		return n, err
	}
	c.received = 0
	if c.progress != nil {
		c.progress()
	}
	if moved := time.Now().Add(c.stall); !c.readDeadline.IsZero() && moved.After(c.readDeadline) {
		c.readDeadline = moved
		return n, c.Conn.SetReadDeadline(moved)
	}
	return n, nil
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (n int, err error) {
	for {
		sent, err := c.Conn.Write(b[n:min(n+writeChunk, len(b))])
		n += sent
		if err != nil {
			return n, err
		}
		if moved := time.Now().Add(c.stall); !c.writeDeadline.IsZero() && moved.After(c.writeDeadline) {
			c.writeDeadline = moved
			if err := c.Conn.SetWriteDeadline(moved); err != nil {
				return n, err
			}
		}
		if n >= len(b) {
			return n, nil
		}
	}
}

// Listener accepts connections whose deadlines move on.
type Listener struct {
	net.Listener
	// Stall is the longest time without progress.
	Stall time.Duration
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(c, l.Stall, nil), nil
}
