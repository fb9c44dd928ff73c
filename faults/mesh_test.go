package faults

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const connectTimeout = 500 * time.Millisecond

// mesh is a network of connections in memory between named places.
type mesh struct {
	mu        sync.Mutex
	listeners map[string]*listener
	links     []link
	// cut says that two places can't reach each other.
	cut func(from, to string) bool
}

// link is an open connection between two places.
type link struct {
	from, to  string
	near, far net.Conn
}

type listener struct {
	place string
	addr  string
	conns chan accepted
	done  chan struct{}
	once  sync.Once
}

// accepted is the far end of a connection.
type accepted struct {
	net.Conn
	from string
}

func newMesh() *mesh { return &mesh{listeners: map[string]*listener{}} }

func (m *mesh) listen(place, addr string) *listener {
	l := &listener{place: place, addr: addr, conns: make(chan accepted), done: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners[addr] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *listener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.addr} }

// dialer opens connections from a place. What can't be reached takes the
// connect timeout; what doesn't listen refuses at once.
func (m *mesh) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		m.mu.Lock()
		l := m.listeners[addr]
		lost := l != nil && m.cut != nil && m.cut(from, l.place)
		m.mu.Unlock()
		switch {
		case l == nil:
			return nil, syscall.ECONNREFUSED
		case lost:
			<-ctx.Done()
			return nil, ctx.Err()
		}
		near, far := net.Pipe()
		select {
		case l.conns <- accepted{far, from}:
			m.mu.Lock()
			defer m.mu.Unlock()
			m.links = append(m.links, link{from, l.place, near, far})
			return socketConn{near}, nil
		case <-l.done:
			return nil, syscall.ECONNREFUSED
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// setCut cuts places off and breaks what is open between them.
func (m *mesh) setCut(cut func(from, to string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
	for _, l := range m.links {
		if cut != nil && cut(l.from, l.to) {
			l.near.Close()
			l.far.Close()
		}
	}
}

// close ends everything.
func (m *mesh) close() {
	m.setCut(func(string, string) bool { return true })
	for _, l := range m.listeners {
		l.Close()
	}
}

// idleSocket stands for the socket under a connection in memory, which never
// has anything to read that was not asked for.
var idleSocket = sync.OnceValues(func() (syscall.RawConn, error) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "idle socket")
	}
	return c.SyscallConn()
})

type socketConn struct{ net.Conn }

func (socketConn) SyscallConn() (syscall.RawConn, error) { return idleSocket() }
