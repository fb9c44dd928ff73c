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

// memNetwork is an in-memory network between named hosts.
type memNetwork struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     []openConn
	// partitioned reports whether two hosts can't reach each other; nil means
	// that all can.
	partitioned func(from, to string) bool
}

// openConn is an open connection between two hosts.
type openConn struct {
	from, to       string
	client, server net.Conn
}

type listener struct {
	host  string
	addr  string
	conns chan serverConn
	done  chan struct{}
	once  sync.Once
}

// serverConn is the server end of a connection.
type serverConn struct {
	net.Conn
	from string
}

func newMemNetwork() *memNetwork { return &memNetwork{listeners: map[string]*listener{}} }

func (m *memNetwork) listen(host, addr string) *listener {
	l := &listener{host: host, addr: addr, conns: make(chan serverConn), done: make(chan struct{})}
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

// dialer returns a dial function for connections from a host. An unreachable
// listener fails after connectTimeout; an address without a listener refuses at
// once.
func (m *memNetwork) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		m.mu.Lock()
		l := m.listeners[addr]
		unreachable := l != nil && m.partitioned != nil && m.partitioned(from, l.host)
		m.mu.Unlock()
		switch {
		case l == nil:
			return nil, syscall.ECONNREFUSED
		case unreachable:
			<-ctx.Done()
			return nil, ctx.Err()
		}
		client, server := net.Pipe()
		select {
		case l.conns <- serverConn{server, from}:
			m.mu.Lock()
			defer m.mu.Unlock()
			m.conns = append(m.conns, openConn{from, l.host, client, server})
			return socketConn{client}, nil
		case <-l.done:
			return nil, syscall.ECONNREFUSED
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// setPartition partitions the network and closes the open connections between
// hosts that can't reach each other any longer.
func (m *memNetwork) setPartition(partitioned func(from, to string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitioned = partitioned
	for _, c := range m.conns {
		if partitioned != nil && partitioned(c.from, c.to) {
			c.client.Close()
			c.server.Close()
		}
	}
}

// close closes all connections and listeners.
func (m *memNetwork) close() {
	m.setPartition(func(string, string) bool { return true })
	for _, l := range m.listeners {
		l.Close()
	}
}

// idleSocket is a real socket that never has anything to read. It stands in for
// the socket of an in-memory connection, so that code which checks idle connections
// for unexpected data finds none.
var idleSocket = sync.OnceValues(func() (syscall.RawConn, error) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "idle socket")
	}
	return c.SyscallConn()
})

type socketConn struct{ net.Conn }

func (socketConn) SyscallConn() (syscall.RawConn, error) { return idleSocket() }
