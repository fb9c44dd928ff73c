package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/ports"
)

// Members is the membership as a Node uses it; membership.Service provides it.
type Members interface {
	Self() membership.Member
	Members() []membership.Member
	// Peers chooses up to k other hosts.
	Peers(k int) []membership.Member
	Digest(changes, beats int) membership.Digest
	// Heard returns true when the message brought news to pass on at once.
	HandlePeerUpdate(u membership.PeerUpdate) bool
}

// Config is the keeper of the tables as a Node uses it.
type Config interface {
	// Heard tells that a host has a version in force.
	Heard(from string, version uint64)
	// Encoded returns the tables in force and their version. It is called for
	// every message and must be cheap.
	Encoded() ([]byte, uint64)
}

// Options configures a Node.
type Options struct {
	Members Members
	// Figures, Drains and Config may be nil.
	Figures ports.FigureExchange
	Drains  ports.DrainNews
	Config  Config
	// Seeds returns addresses to try while no peer is known; may be nil.
	Seeds func() []netip.AddrPort
	// Token is sent to peers and expected from them; "" asks for none.
	Token string
	// ServerTLS and ClientTLS switch TLS on; nil means plain HTTP.
	ServerTLS, ClientTLS *tls.Config
	// Dial opens connections in place of a net.Dialer; nil selects one.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Interval is the time between two rounds.
	Interval time.Duration
	// FanOut is the number of peers met in a round.
	FanOut int
	// PushFanOut is the number of peers that news is passed on to at once.
	PushFanOut int
	// Timeout bounds one exchange.
	Timeout time.Duration
	// BytesPerSecond bounds what the peer connections carry, both ways.
	BytesPerSecond int
	// FiguresPerMessage bounds the figures in one message.
	FiguresPerMessage int
	// Clock defaults to the real one.
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Registerer takes the metrics; nil leaves them out.
	Registerer prometheus.Registerer
}

func (o *Options) setDefaults() {
	const (
		interval          = 250 * time.Millisecond
		pushFanOut        = 3
		timeout           = time.Second
		bytesPerSecond    = 15_000
		figuresPerMessage = 128
	)
	o.Interval = cmp.Or(o.Interval, interval)
	o.FanOut = cmp.Or(o.FanOut, 1)
	o.PushFanOut = cmp.Or(o.PushFanOut, pushFanOut)
	o.Timeout = cmp.Or(o.Timeout, timeout)
	o.BytesPerSecond = cmp.Or(o.BytesPerSecond, bytesPerSecond)
	o.FiguresPerMessage = cmp.Or(o.FiguresPerMessage, figuresPerMessage)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}

func (o *Options) validate() error {
	switch {
	case o.Members == nil:
		return errors.New("peer: Members is nil")
	case o.Interval < 0 || o.Timeout < 0:
		return errors.New("peer: Interval and Timeout must be positive")
	case o.FanOut < 0 || o.PushFanOut < 0 || o.FiguresPerMessage < 0:
		return errors.New("peer: FanOut, PushFanOut and FiguresPerMessage must be positive")
	case o.BytesPerSecond < 0:
		return errors.New("peer: BytesPerSecond must be positive")
	default:
		return nil
	}
}
