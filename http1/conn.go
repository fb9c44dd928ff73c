package http1

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Reader passes on the bytes of HTTP/1.1 responses. After the first byte that is not
// part of one, each read fails with an *Error.
type Reader struct {
	responses Validator
	src       io.Reader
	observe   func(*Error)
}

// NewReader returns a Reader of src. It calls observe, if not nil, when it rejects a
// response.
func NewReader(src io.Reader, observe func(*Error)) *Reader {
	return &Reader{src: src, observe: observe}
}

// SetSource replaces the source, before anything was read.
func (r *Reader) SetSource(src io.Reader) { r.src = src }

// ExpectHEAD says whether the next final response answers a HEAD request.
func (r *Reader) ExpectHEAD(toHEAD bool) { r.responses.ExpectHEAD(toHEAD) }

// Err returns why a response was rejected, nil if none was.
func (r *Reader) Err() error { return r.responses.Err() }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.Err(); err != nil {
		return 0, err
	}
	n, err := r.src.Read(p)
	valid, rejected := r.responses.Write(p[:n])
	if rejected == nil {
		return n, err
	}
	if r.observe != nil {
		r.observe(r.responses.err)
	}
	if valid > 0 {
		return valid, nil
	}
	return 0, rejected
}

// Conn is a connection to a server on which one request at a time is sent. Reads
// return valid responses only, one for each request; after any other byte they fail
// with an *Error.
type Conn struct {
	net.Conn
	responses Validator
	observe   func(*Error)
	// err is why bytes were rejected.
	err *Error
	// awaiting is true from the first byte of a request to the last one of its response.
	awaiting atomic.Bool
	toHEAD   atomic.Bool
}

// NewConn returns a Conn over c. It calls observe, if not nil, when it rejects a
// response.
func NewConn(c net.Conn, observe func(*Error)) *Conn { return &Conn{Conn: c, observe: observe} }

// Write implements net.Conn. A write after a complete response begins a request.
func (c *Conn) Write(p []byte) (int, error) {
	if len(p) > 0 && !c.awaiting.Load() {
		c.toHEAD.Store(bytes.HasPrefix(p, []byte("HEAD ")))
		c.awaiting.Store(true)
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	valid := 0
	for valid < n && c.err == nil {
		valid += c.take(p[valid:n])
	}
	if c.err == nil {
		return n, err
	}
	if c.observe != nil {
		c.observe(c.err)
	}
	if valid > 0 {
		return valid, nil
	}
	return 0, c.err
}

// take returns how many of the bytes belong to the response that is expected.
func (c *Conn) take(p []byte) int {
	if !c.awaiting.Load() {
		c.err = malformed(Unsolicited, "bytes "+quotedStart+" without a request", p)
		return 0
	}
	c.responses.ExpectHEAD(c.toHEAD.Load())
	n, final, _ := c.responses.Step(p)
	c.err = c.responses.err
	if final {
		c.awaiting.Store(false)
	}
	return n
}

// defaultHandshakeTimeout bounds a TLS handshake where a transport sets no bound.
const defaultHandshakeTimeout = 10 * time.Second

// Guard makes all connections of a transport a Conn, below HTTP and above TLS, and
// returns it. The transport must not have been used. It speaks HTTP/1.1 only. m, which
// may be nil, records the rejected responses.
func Guard(t *http.Transport, source Source, m *Monitor) *http.Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c, m.Observer(source, addr)), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		secured, err := handshake(ctx, c, addr, t)
		if err != nil {
			_ = c.Close()
			return nil, err
		}
		return NewConn(secured, m.Observer(source, addr)), nil
	}
	return t
}

// handshake performs a TLS handshake with the configuration of a transport.
func handshake(ctx context.Context, c net.Conn, addr string, t *http.Transport) (*tls.Conn, error) {
	config := t.TLSClientConfig.Clone()
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		config.ServerName = host
	}
	config.NextProtos = nil
	timeout := t.TLSHandshakeTimeout
	if timeout <= 0 {
		timeout = defaultHandshakeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	secured := tls.Client(c, config)
	return secured, secured.HandshakeContext(ctx)
}
