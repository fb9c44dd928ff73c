package proxy

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// callerConn wraps a caller's connection for the HTTP server. It detects a
// request line that ends in a bare LF, bounds stalled writes, and cancels the
// call in progress when the caller closes the connection.
type callerConn struct {
	net.Conn
	server *Server
	id     uint64

	gone    atomic.Bool
	mu      sync.Mutex
	current *call
	// serving is the call whose request is being received, processed or answered; a
	// planned stop applies to it. current is set later, when the call can be cancelled.
	serving atomic.Pointer[call]

	closeOnce sync.Once
	closeErr  error

	// The fields below belong to the goroutine that serves the connection.
	requestLine requestLineState
	// idle is true from the end of a response to the first byte of the next
	// request.
	idle          bool
	bareLF        bool
	lastByte      byte
	lingerOnClose atomic.Bool
}

// requestLineState tracks the first line of a request. The first read after
// expectRequest is taken for its beginning. When the line of a pipelined request
// arrived with the bytes of an earlier one, that read returns later bytes of the
// request, and their first line is checked instead.
type requestLineState uint8

const (
	lineAwaited requestLineState = iota
	lineBegun
	lineEnded
)

// Bounds of linger.
const (
	lingerBytes = 256 << 10
	lingerTime  = 500 * time.Millisecond
)

// Read reads from the connection and inspects the end of the request line.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.idle = false
	}
	if c.requestLine != lineEnded && n > 0 {
		c.trackRequestLine(p[:n])
	}
	return n, err
}

// trackRequestLine looks for the end of the request line in received bytes and
// notes whether it is a bare LF.
func (c *callerConn) trackRequestLine(b []byte) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		c.requestLine, c.lastByte = lineBegun, b[len(b)-1]
		return
	}
	before := c.lastByte
	if end > 0 {
		before = b[end-1]
	}
	c.bareLF = before != '\r'
	c.requestLine, c.lastByte = lineEnded, 0
}

// expectRequest is called when the server starts to wait for the next
// request.
func (c *callerConn) expectRequest() { c.requestLine, c.lastByte, c.idle = lineAwaited, 0, true }

// SetReadDeadline is called by the HTTP server when it waits for a request or
// for the rest of a header. The limits of the current tables take precedence
// over the server's own.
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

// Write writes with a deadline that bounds how long the caller may accept no
// bytes.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.server.limits.WriteStallTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// begin sets the call in progress, and cancels it when the caller is already
// gone.
func (c *callerConn) begin(cl *call) {
	c.mu.Lock()
	c.current = cl
	c.mu.Unlock()
	if c.gone.Load() {
		cl.callerGone()
	}
}

// end clears the call in progress.
func (c *callerConn) end() {
	c.mu.Lock()
	c.current = nil
	c.mu.Unlock()
}

// hangup cancels the call in progress, and the next one, because the caller
// has closed its side or Shutdown closes the connection.
func (c *callerConn) hangup() {
	c.gone.Store(true)
	c.mu.Lock()
	cl := c.current
	c.mu.Unlock()
	if cl != nil {
		cl.callerGone()
	}
}

// Close closes the connection. After a response that was sent before the
// complete request was read, it lingers, so that the caller can read the
// response.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() {
		c.server.removeConnection(c)
		if c.lingerOnClose.Load() {
			c.linger()
		}
		c.closeErr = c.Conn.Close()
	})
	return c.closeErr
}

// linger reads and discards what the caller still sends, up to lingerBytes
// and lingerTime. Closing a socket with unread data resets the connection,
// and the caller could lose a response that it has not read yet.
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
