// Package connmux lets two servers share one listening address. The first bytes
// of a connection decide: connections that begin with a given prefix go to one
// listener, all others to the other one. A connection stays with its listener
// until it is closed, so a client must use one protocol per connection. The base listener may be a TLS listener: the handshake then takes
// place when the first bytes are read, and the prefix is compared with the
// decrypted bytes.
package connmux

import (
	"bytes"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// backlog is the maximum number of connections that wait to be accepted by each
// server.
const backlog = 128

// acceptRetryDelay is the wait after an Accept that failed, for instance because
// the process had no free file descriptor.
const acceptRetryDelay = 5 * time.Millisecond

// Mux distributes the connections of a listener to two listeners by their first
// bytes.
type Mux struct {
	base    net.Listener
	prefix  []byte
	timeout time.Duration
	matched *muxListener
	others  *muxListener
	done    chan struct{}
	once    sync.Once
}

// New returns a Mux over base. A connection that has not sent enough bytes to
// compare with the prefix within timeout is closed.
func New(base net.Listener, prefix string, timeout time.Duration) *Mux {
	m := &Mux{base: base, prefix: []byte(prefix), timeout: timeout, done: make(chan struct{})}
	m.matched = &muxListener{mux: m, conns: make(chan net.Conn, backlog)}
	m.others = &muxListener{mux: m, conns: make(chan net.Conn, backlog)}
	return m
}

// Matched returns the listener of connections that begin with the prefix.
func (m *Mux) Matched() net.Listener { return m.matched }

// Others returns the listener of all other connections.
func (m *Mux) Others() net.Listener { return m.others }

// Serve accepts connections until the Mux is closed. It then returns
// net.ErrClosed, or the base listener's error that wraps it.
func (m *Mux) Serve() error {
	for {
		conn, err := m.base.Accept()
		if err == nil {
			go m.dispatch(conn)
			continue
		}
		select {
		case <-m.done:
			return net.ErrClosed
		default:
		}
		if errors.Is(err, net.ErrClosed) {
			_ = m.Close()
			return err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// Close closes the base listener and both listeners of the Mux. Connections
// that were accepted from them stay open.
func (m *Mux) Close() error {
	var err error
	m.once.Do(func() {
		close(m.done)
		err = m.base.Close()
	})
	return err
}

// dispatch passes a connection to its listener. It closes one whose first bytes
// don't arrive in time.
func (m *Mux) dispatch(conn net.Conn) {
	head, err := m.readHead(conn)
	if err != nil {
		conn.Close()
		return
	}
	to := m.others
	if bytes.Equal(head, m.prefix) {
		to = m.matched
	}
	select {
	case to.conns <- &replayConn{Conn: conn, head: head}:
	case <-m.done:
		conn.Close()
	}
}

// readHead reads until the bytes equal the prefix or differ from it.
func (m *Mux) readHead(conn net.Conn) ([]byte, error) {
	if err := conn.SetReadDeadline(time.Now().Add(m.timeout)); err != nil {
		return nil, err
	}
	head := make([]byte, 0, len(m.prefix))
	for len(head) < len(m.prefix) && bytes.HasPrefix(m.prefix, head) {
		n, err := conn.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if err != nil {
			return nil, err
		}
	}
	return head, conn.SetReadDeadline(time.Time{})
}

// replayConn is a connection whose reads return the bytes in head again first.
type replayConn struct {
	net.Conn
	head []byte
}

// Read returns the bytes in head before those still on the connection.
func (c *replayConn) Read(p []byte) (int, error) {
	if len(c.head) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.head)
	c.head = c.head[n:]
	return n, nil
}

// NetConn returns the underlying connection.
func (c *replayConn) NetConn() net.Conn { return c.Conn }

// SyscallConn returns the raw connection of the socket, below TLS if there is
// any. It fails when no underlying connection has a socket.
func (c *replayConn) SyscallConn() (syscall.RawConn, error) {
	at := c.Conn
	for {
		switch conn := at.(type) {
		case syscall.Conn:
			return conn.SyscallConn()
		case interface{ NetConn() net.Conn }:
			at = conn.NetConn()
		default:
			return nil, errors.Errorf("%T gives no access to a socket: syscall.Conn or NetConn expected", at)
		}
	}
}

// CloseWrite closes the sending direction; what the other side sends can still
// be read. It fails when the underlying connection has no CloseWrite.
func (c *replayConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.Errorf("%T can't close one direction: CloseWrite expected", c.Conn)
	}
	return half.CloseWrite()
}

// muxListener is one of the two listeners of a Mux.
type muxListener struct {
	mux   *Mux
	conns chan net.Conn
}

// Accept returns the next connection of this listener, or net.ErrClosed once
// the Mux is closed.
func (l *muxListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.mux.done:
		return nil, net.ErrClosed
	}
}

// Close closes the Mux, and so both listeners.
func (l *muxListener) Close() error { return l.mux.Close() }

// Addr returns the address of the base listener.
func (l *muxListener) Addr() net.Addr { return l.mux.base.Addr() }
