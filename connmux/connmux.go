// Package connmux shares one listening address between two servers by the
// first bytes of each connection. Connections that begin with the prefix go to
// one listener, all others to the other. A connection stays with its listener
// for as long as it lives; each client speaks one protocol on a connection.
// The base listener may be one of TLS: the handshake is then part of sorting,
// and it is what was sent inside TLS that is sorted.
package connmux

import (
	"bytes"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// backlog is the number of sorted connections that wait for each server.
const backlog = 128

// retryPause is the wait after a failed accept, such as one for want of file
// descriptors.
const retryPause = 5 * time.Millisecond

// Mux sorts the connections of a listener.
type Mux struct {
	base    net.Listener
	prefix  []byte
	timeout time.Duration
	matched *branch
	others  *branch
	done    chan struct{}
	once    sync.Once
}

// New returns a mux over base. A connection that has not sent enough to be
// sorted within timeout is closed.
func New(base net.Listener, prefix string, timeout time.Duration) *Mux {
	m := &Mux{base: base, prefix: []byte(prefix), timeout: timeout, done: make(chan struct{})}
	m.matched = &branch{mux: m, conns: make(chan net.Conn, backlog)}
	m.others = &branch{mux: m, conns: make(chan net.Conn, backlog)}
	return m
}

// Matched returns the listener of connections that begin with the prefix.
func (m *Mux) Matched() net.Listener { return m.matched }

// Others returns the listener of all other connections.
func (m *Mux) Others() net.Listener { return m.others }

// Serve accepts until the mux is closed; it then returns net.ErrClosed.
func (m *Mux) Serve() error {
	for {
		conn, err := m.base.Accept()
		if err == nil {
			go m.sort(conn)
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
		time.Sleep(retryPause)
	}
}

// Close closes the base listener and ends both branches. Connections that
// were handed out stay open.
func (m *Mux) Close() error {
	var err error
	m.once.Do(func() {
		close(m.done)
		err = m.base.Close()
	})
	return err
}

func (m *Mux) sort(conn net.Conn) {
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
	case to.conns <- &sortedConn{Conn: conn, head: head}:
	case <-m.done:
		conn.Close()
	}
}

// readHead reads until the bytes differ from the prefix or equal it.
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

// sortedConn gives back the bytes that were read to sort it.
type sortedConn struct {
	net.Conn
	head []byte
}

// Read returns the sorted bytes first.
func (c *sortedConn) Read(p []byte) (int, error) {
	if len(c.head) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.head)
	c.head = c.head[n:]
	return n, nil
}

// NetConn returns the connection underneath.
func (c *sortedConn) NetConn() net.Conn { return c.Conn }

// SyscallConn gives access to the socket, below TLS where there is any.
func (c *sortedConn) SyscallConn() (syscall.RawConn, error) {
	at := c.Conn
	for {
		switch conn := at.(type) {
		case syscall.Conn:
			return conn.SyscallConn()
		case interface{ NetConn() net.Conn }:
			at = conn.NetConn()
		default:
			return nil, errors.Errorf("%T has no socket", at)
		}
	}
}

// CloseWrite ends the stream to the peer; what the peer sends is still read.
func (c *sortedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.Errorf("%T can't be closed for writing alone", c.Conn)
	}
	return half.CloseWrite()
}

// branch is one side of a mux; it implements net.Listener.
type branch struct {
	mux   *Mux
	conns chan net.Conn
}

// Accept returns the next connection of this side.
func (b *branch) Accept() (net.Conn, error) {
	select {
	case conn := <-b.conns:
		return conn, nil
	case <-b.mux.done:
		return nil, net.ErrClosed
	}
}

// Close ends both sides.
func (b *branch) Close() error { return b.mux.Close() }

// Addr returns the shared address.
func (b *branch) Addr() net.Addr { return b.mux.base.Addr() }
