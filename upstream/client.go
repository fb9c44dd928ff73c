package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// The ways in which no connection is had. Nothing was sent in either case.
var (
	// ErrConnect: the connection could not be opened.
	ErrConnect = errors.New("upstream connection could not be opened")
	// ErrConnectionLimit: this host's share of the target's connections is
	// in use.
	ErrConnectionLimit = errors.New("upstream connection limit reached")
)

// Defaults of Options.
const (
	DefaultConnectTimeout = 500 * time.Millisecond
	DefaultIdleTimeout    = 30 * time.Second
	DefaultFreshIdle      = time.Second
	DefaultHeaderBytes    = 16 << 10
)

// Options configures a Client. Zero values select the defaults.
type Options struct {
	// ConnectTimeout bounds the opening of one connection.
	ConnectTimeout time.Duration
	// IdleTimeout is how long a kept connection stays open without use.
	IdleTimeout time.Duration
	// FreshIdle is how long a kept connection may have been idle to be used
	// for a request that is not idempotent; a negative value opens a new one
	// for each.
	FreshIdle time.Duration
	// HeaderBytes bounds the header of an answer.
	HeaderBytes int
	// PeerTLS is the configuration of connections to peers; nil is plain TCP.
	// Peers must send no session tickets: any record that arrives unasked
	// makes a kept connection unfit.
	PeerTLS *tls.Config
	Clock   clockwork.Clock
	// Dial opens connections in place of a net.Dialer; nil selects one. A
	// connection that it returns implements syscall.Conn.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = DefaultConnectTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.FreshIdle == 0 {
		o.FreshIdle = DefaultFreshIdle
	}
	if o.HeaderBytes <= 0 {
		o.HeaderBytes = DefaultHeaderBytes
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return o
}

const shardCount = 32

// Client holds the connections to all targets. It is safe for concurrent use.
type Client struct {
	opts   Options
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	targets map[netip.AddrPort]*target
}

// New returns a client without connections.
func New(opts Options) *Client {
	c := &Client{opts: opts.withDefaults()}
	for i := range c.shards {
		c.shards[i].targets = make(map[netip.AddrPort]*target)
	}
	return c
}

// OpenQuery describes the connection that an exchange needs.
type OpenQuery struct {
	Target netip.AddrPort
	// Limit is this host's share of the target's connections, at least 1.
	Limit int
	// Deadline ends the exchange, on the real clock of the sockets.
	Deadline time.Time
	// Idempotent allows a kept connection of any permitted idle time.
	Idempotent bool
	// Peer is true when the target is another entry host.
	Peer bool
}

// Open takes a kept connection that is live or opens one. The error matches
// ErrConnect or ErrConnectionLimit; nothing was sent then.
func (c *Client) Open(ctx context.Context, q OpenQuery) (*Exchange, error) {
	t := c.target(q.Target)
	now := c.opts.Clock.Now()
	maxIdle := c.opts.IdleTimeout
	if !q.Idempotent {
		maxIdle = min(maxIdle, c.opts.FreshIdle)
	}
	cn, ok := t.take(now, maxIdle, max(1, q.Limit))
	if !ok {
		return nil, ErrConnectionLimit
	}
	if cn == nil {
		var err error
		if cn, err = c.dial(ctx, t, q); err != nil {
			t.forget()
			return nil, err
		}
	}
	if err := cn.nc.SetDeadline(q.Deadline); err != nil {
		cn.discard()
		return nil, errors.Wrap(ErrConnect, err.Error())
	}
	return newExchange(c, cn), nil
}

func (c *Client) dial(ctx context.Context, t *target, q OpenQuery) (*conn, error) {
	nc, err := c.open(ctx, t.addr.String(), q.Deadline)
	if err != nil {
		return nil, errors.Wrap(ErrConnect, err.Error())
	}
	cn := newConn(nc, t, c.opts.HeaderBytes)
	if q.Peer && c.opts.PeerTLS != nil {
		if err := cn.secure(ctx, c.opts.PeerTLS, c.opts.ConnectTimeout); err != nil {
			nc.Close()
			return nil, errors.Wrap(ErrConnect, err.Error())
		}
	}
	if !cn.live() {
		nc.Close()
		return nil, errors.Wrap(ErrConnect, "the target sent before it was asked")
	}
	return cn, nil
}

// open opens a connection within ConnectTimeout and the deadline.
func (c *Client) open(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
	if c.opts.Dial == nil {
		d := net.Dialer{Timeout: c.opts.ConnectTimeout, Deadline: deadline, KeepAlive: -1}
		return d.DialContext(ctx, "tcp", address)
	}
	if latest := time.Now().Add(c.opts.ConnectTimeout); latest.Before(deadline) {
		deadline = latest
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return c.opts.Dial(ctx, "tcp", address)
}

func (c *Client) target(addr netip.AddrPort) *target {
	ip := addr.Addr().As16()
	s := &c.shards[(int(ip[15])+int(addr.Port()))%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[addr]
	if !ok {
		t = &target{addr: addr}
		s.targets[addr] = t
	}
	return t
}

// CloseIdle closes connections that were idle for longer than the limit, or
// all idle ones when all is true, and returns their number. A shell calls it
// now and then.
func (c *Client) CloseIdle(all bool) int {
	now := c.opts.Clock.Now()
	closed := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		targets := make([]*target, 0, len(s.targets))
		for addr, t := range s.targets {
			targets = append(targets, t)
			if t.unused() {
				delete(s.targets, addr)
			}
		}
		s.mu.Unlock()
		for _, t := range targets {
			maxIdle := c.opts.IdleTimeout
			if all {
				maxIdle = -1
			}
			closed += t.closeIdle(now, maxIdle)
		}
	}
	return closed
}
