// Package delay puts the one-way time between failure domains on connections.
//
// A connection sleeps for the one-way time before the first write after a read
// and after the first read after a write, so that each turn of a request and
// its answer takes a round trip more, and a streamed body takes it once.
package delay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Net knows the failure domain of each address and the one-way time between
// two domains.
type Net struct {
	oneWay time.Duration

	mu      sync.RWMutex
	domains map[string]int
}

// NewNet returns a Net with no addresses.
func NewNet(oneWay time.Duration) *Net {
	return &Net{oneWay: oneWay, domains: map[string]int{}}
}

// Place puts an address (IP:PORT) in a domain.
func (n *Net) Place(addr string, domain int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[addr] = domain
}

// between is the one-way time from a domain to an address; an address with no
// place is near.
func (n *Net) between(domain int, addr string) time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if d, ok := n.domains[addr]; ok && d != domain {
		return n.oneWay
	}
	return 0
}

// Dialer opens connections from one domain.
type Dialer struct {
	// Net places the addresses.
	Net *Net
	// Domain is the failure domain that connections are opened from.
	Domain int
	// Timeout bounds the opening of a connection.
	Timeout time.Duration
}

// DialContext opens a connection, which takes a round trip.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout}
	c, err := dialer.DialContext(ctx, network, address)
	oneWay := d.Net.between(d.Domain, address)
	if err != nil || oneWay == 0 {
		return c, err
	}
	time.Sleep(2 * oneWay)
	return &conn{Conn: c, oneWay: oneWay}, nil
}

// conn is a connection between two domains.
type conn struct {
	net.Conn
	oneWay time.Duration
	// wrote is true when the last turn was a write.
	wrote atomic.Bool
}

// Write writes; the first write of a turn takes the one-way time.
func (c *conn) Write(p []byte) (int, error) {
	if !c.wrote.Swap(true) {
		time.Sleep(c.oneWay)
	}
	return c.Conn.Write(p)
}

// Read reads; the first read of a turn takes the one-way time.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.wrote.Swap(false) {
		time.Sleep(c.oneWay)
	}
	return n, err
}

// SyscallConn gives access to the socket, as the connection below does.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("delay: the connection has no socket")
	}
	return sc.SyscallConn()
}
