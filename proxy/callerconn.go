package proxy

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// callerConn is a caller's connection as the HTTP server sees it. It notices
// a bare LF that ends a request line, bounds stalled writes, and carries the
// news that the caller went away to the call in progress.
type callerConn struct {
	net.Conn
	server *Server
	id     uint64

	gone    atomic.Bool
	mu      sync.Mutex
	current *call

	closeOnce sync.Once
	closeErr  error

	// The fields below belong to the goroutine that serves the connection.
	line lineState
	// idle is true from the end of an answer to the next request's first byte.
	idle      bool
	bareLF    bool
	lastByte  byte
	lingering atomic.Bool
}

// lineState follows the first line of a request. Only lines that begin with a
// read of their own are followed; the server asks for one when it has nothing
// left of the last read.
type lineState uint8

const (
	lineAwaited lineState = iota
	lineBegun
	lineEnded
)

const (
	lingerBytes = 256 << 10
	lingerTime  = 500 * time.Millisecond
)

// Read passes bytes on and looks at the end of the request line.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.idle = false
	}
	if c.line != lineEnded && n > 0 {
		c.followLine(p[:n])
	}
	return n, err
}

func (c *callerConn) followLine(b []byte) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		c.line, c.lastByte = lineBegun, b[len(b)-1]
		return
	}
	before := c.lastByte
	if end > 0 {
		before = b[end-1]
	}
	c.bareLF = before != '\r'
	c.line, c.lastByte = lineEnded, 0
}

// expectRequest is called when the server waits for the next request.
func (c *callerConn) expectRequest() { c.line, c.lastByte, c.idle = lineAwaited, 0, true }

// SetReadDeadline is called by the HTTP server when it waits for a request or
// for the rest of a header. The limits of the tables in force go before the
// server's own.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.server.opts.Tables.Current().Limits
	switch {
	case c.idle && limits.IdleTimeout > 0:
		t = time.Now().Add(limits.IdleTimeout)
	case !c.idle && limits.HeaderTimeout > 0:
		if end := time.Now().Add(limits.HeaderTimeout); end.Before(t) {
			t = end
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Write bounds the time in which the caller takes nothing.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.server.limits.WriteStall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// begin makes a call the one in progress.
func (c *callerConn) begin(cl *call) {
	c.mu.Lock()
	c.current = cl
	c.mu.Unlock()
	if c.gone.Load() {
		cl.callerGone()
	}
}

// end forgets the call in progress.
func (c *callerConn) end() {
	c.mu.Lock()
	c.current = nil
	c.mu.Unlock()
}

// hangup is called once when the caller closed its side.
func (c *callerConn) hangup() {
	c.gone.Store(true)
	c.mu.Lock()
	cl := c.current
	c.mu.Unlock()
	if cl != nil {
		cl.callerGone()
	}
}

// Close closes the connection. After an answer that came before the whole
// request it first lets the caller read that answer.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() {
		c.server.forget(c)
		if c.lingering.Load() {
			c.linger()
		}
		c.closeErr = c.Conn.Close()
	})
	return c.closeErr
}

// linger takes what the caller still sends, so that the close does not reset
// the connection under an answer that the caller has not read.
func (c *callerConn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	buf := make([]byte, 8<<10)
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		left -= n
	}
}
