// Package delay adds the one-way network delay between failure domains to
// connections.
//
// A connection sleeps for the one-way delay before the first write after a read
// and after the first read after a write. Each exchange of a request and its
// response thus takes one round trip more, and a streamed body is delayed once, not
// at each read or write.
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

// Topology maps addresses to failure domains and holds the one-way delay
// between any two domains.
type Topology struct {
	oneWay time.Duration

	mu      sync.RWMutex
	domains map[string]int
}

// NewTopology returns a Topology without addresses and with the given one-way
// delay between different domains.
func NewTopology(oneWay time.Duration) *Topology {
	return &Topology{oneWay: oneWay, domains: map[string]int{}}
}

// SetDomain records that an address (IP:PORT) is in a domain.
func (t *Topology) SetDomain(addr string, domain int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domains[addr] = domain
}

// delayTo returns the one-way delay from a domain to an address. It is 0 within a
// domain and to addresses without a recorded domain.
func (t *Topology) delayTo(domain int, addr string) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if d, ok := t.domains[addr]; ok && d != domain {
		return t.oneWay
	}
	return 0
}

// Dialer opens connections from one failure domain.
type Dialer struct {
	// Topology gives the delay to each address.
	Topology *Topology
	// Domain is the failure domain that connections are opened from.
	Domain int
	// Timeout limits the time to open a connection, without the added delay.
	Timeout time.Duration
}

// DialContext opens a connection. To another domain it takes an added round trip,
// and the returned connection delays its reads and writes.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout}
	c, err := dialer.DialContext(ctx, network, address)
	oneWay := d.Topology.delayTo(d.Domain, address)
	if err != nil || oneWay == 0 {
		return c, err
	}
	time.Sleep(2 * oneWay)
	return &conn{Conn: c, oneWay: oneWay}, nil
}

// conn is a connection between two failure domains.
type conn struct {
	net.Conn
	oneWay time.Duration
	// lastWasWrite is true when the last operation was a write.
	lastWasWrite atomic.Bool
}

// Write writes to the connection. The first write after a read is delayed by the
// one-way delay.
func (c *conn) Write(p []byte) (int, error) {
	if !c.lastWasWrite.Swap(true) {
		time.Sleep(c.oneWay)
	}
	return c.Conn.Write(p)
}

// Read reads from the connection. The first read after a write returns later by
// the one-way delay.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.lastWasWrite.Swap(false) {
		time.Sleep(c.oneWay)
	}
	return n, err
}

// SyscallConn returns the raw socket of the wrapped connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("delay: the wrapped connection gives no access to its socket")
	}
	return sc.SyscallConn()
}
