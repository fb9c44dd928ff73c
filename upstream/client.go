package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/http1"
)

// Errors of Client.Open. Nothing was sent in either case.
var (
	// ErrConnect: the connection could not be opened.
	ErrConnect = errors.New("could not open a connection to the target, nothing was sent")
	// ErrConnectionLimit: all of this host's share of the target's
	// connections is in use.
	ErrConnectionLimit = errors.New("this host's connections to the target are all in use, nothing was sent")
)

// Default values of Options.
const (
	DefaultConnectTimeout           = 500 * time.Millisecond
	DefaultIdleTimeout              = 30 * time.Second
	DefaultNonIdempotentPeerMaxIdle = time.Second
	DefaultHeaderBytes              = 16 << 10
	DefaultQuietReuses              = 5
)

// Options configures a Client. Zero values select the defaults.
type Options struct {
	// ConnectTimeout bounds the opening of one connection.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection stays open.
	IdleTimeout time.Duration
	// NonIdempotentPeerMaxIdle is how long a connection to a peer may have been
	// idle and still be reused for a request that is not idempotent. A negative
	// value opens a new connection for each such request, as requests to targets
	// always do.
	NonIdempotentPeerMaxIdle time.Duration
	// HeaderBytes bounds the header of a response.
	HeaderBytes int
	// QuietReuses is the number of connections of a target that have to stay silent
	// for quietPeriod after a response before its connections are reused sooner
	// than that; 0 reuses them at once. Needed where responses don't name their
	// request.
	QuietReuses int
	// Responses counts and logs the responses that are not HTTP/1.1; nil does
	// neither.
	Responses *http1.Monitor
	// PeerTLS is the TLS configuration of connections to peers; nil selects
	// plain TCP. Peers must not send session tickets: a connection that
	// receives any record while idle is not reused.
	PeerTLS *tls.Config
	Clock   clockwork.Clock
	// Dial opens connections; nil selects a net.Dialer. The connections that
	// it returns must implement syscall.Conn.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = DefaultConnectTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.NonIdempotentPeerMaxIdle == 0 {
		o.NonIdempotentPeerMaxIdle = DefaultNonIdempotentPeerMaxIdle
	}
	if o.HeaderBytes <= 0 {
		o.HeaderBytes = DefaultHeaderBytes
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return o
}

// shardCount is the number of shards of targets, each with its own lock.
const shardCount = 32

// Client is a connection pool for all targets. It is safe for concurrent use.
type Client struct {
	opts   Options
	shards [shardCount]shard

	contactObserver atomic.Pointer[func(target netip.AddrPort, err error)]
}

type shard struct {
	mu      sync.Mutex
	targets map[netip.AddrPort]*target
}

// New returns a Client without connections.
func New(opts Options) *Client {
	c := &Client{opts: opts.withDefaults()}
	for i := range c.shards {
		c.shards[i].targets = make(map[netip.AddrPort]*target)
	}
	return c
}

// OpenOptions describes the connection that an exchange needs.
type OpenOptions struct {
	Target netip.AddrPort
	// Limit is this host's share of the target's connections, at least 1.
	Limit int
	// Deadline ends the exchange, on the real clock that sockets use.
	Deadline time.Time
	// Idempotent allows the reuse of a connection that was idle for up to
	// IdleTimeout. Without it, the exchange gets a new connection to a target, and
	// one to a peer that was idle for up to NonIdempotentPeerMaxIdle.
	Idempotent bool
	// Peer is true when the target is another host of the load balancer.
	Peer bool
	// New opens a new connection in any case.
	New bool
}

// Open reuses an idle connection or opens a new one. The error matches
// ErrConnect or ErrConnectionLimit; nothing was sent then.
func (c *Client) Open(ctx context.Context, o OpenOptions) (*Exchange, error) {
	t := c.target(o.Target)
	now := c.opts.Clock.Now()
	cn, ok := t.acquire(now, c.reuseRules(o))
	if !ok {
		return nil, ErrConnectionLimit
	}
	if cn == nil {
		var err error
		if cn, err = c.dial(ctx, t, o); err != nil {
			t.uncount()
			return nil, err
		}
	}
	cn.surplus = !o.Idempotent && !o.Peer
	if err := cn.nc.SetDeadline(o.Deadline); err != nil {
		cn.discard()
		return nil, errors.Wrap(ErrConnect, err.Error())
	}
	return newExchange(c, cn), nil
}

// reuseRules returns the rules for the connection of an exchange.
func (c *Client) reuseRules(o OpenOptions) reuseRules {
	r := reuseRules{maxIdle: c.opts.IdleTimeout, limit: max(1, o.Limit), quietReuses: c.opts.QuietReuses}
	if o.Peer {
		r.quietReuses = 0
	}
	switch {
	case o.New, !o.Idempotent && !o.Peer:
		r.maxIdle = newConnection
	case !o.Idempotent:
		r.maxIdle = min(r.maxIdle, c.opts.NonIdempotentPeerMaxIdle)
	}
	return r
}

// SetContactObserver sets a function that is told whether new connections to targets,
// not to peers, work: with nil when the first response on one arrives, with an error
// when one can't be opened. It must not block.
func (c *Client) SetContactObserver(observe func(target netip.AddrPort, err error)) {
	c.contactObserver.Store(&observe)
}

// observeFailedDial tells the observer that a connection could not be opened, unless
// the caller of Open gave it up.
func (c *Client) observeFailedDial(ctx context.Context, o OpenOptions, err error) {
	if observe := c.contactObserver.Load(); observe != nil && !o.Peer && !errors.Is(ctx.Err(), context.Canceled) {
		(*observe)(o.Target, err)
	}
}

// observeResponse tells the observer of a response on a new connection.
func (c *Client) observeResponse(cn *conn) {
	if observe := c.contactObserver.Load(); observe != nil && !cn.peer && !cn.reused {
		(*observe)(cn.target.addr, nil)
	}
}

func (c *Client) dial(ctx context.Context, t *target, o OpenOptions) (*conn, error) {
	nc, err := c.open(ctx, t.addr.String(), o.Deadline)
	if err != nil {
		c.observeFailedDial(ctx, o, err)
		return nil, errors.Wrap(ErrConnect, err.Error())
	}
	source := http1.Target
	if o.Peer {
		source = http1.Host
	}
	cn := newConn(nc, t, c.opts.HeaderBytes, c.opts.Responses.Observer(source, t.addr.String()))
	cn.peer = o.Peer
	if o.Peer && c.opts.PeerTLS != nil {
		if err := cn.startTLS(ctx, c.opts.PeerTLS, c.opts.ConnectTimeout); err != nil {
			nc.Close()
			return nil, errors.Wrap(ErrConnect, err.Error())
		}
	}
	if !cn.isUsable() {
		nc.Close()
		return nil, errors.Wrap(ErrConnect, "target sent data or closed the connection before the request; connection closed")
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

// CloseIdle closes connections that were idle for longer than their limit, or
// all idle ones when all is true, and returns their number. The owner of the
// Client calls it periodically.
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
