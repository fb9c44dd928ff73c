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

	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/membership"
)

// Members is what a Node needs of the membership; membership.Service implements
// it.
type Members interface {
	Self() membership.Member
	Members() []membership.Member
	// Peers returns up to k other hosts to exchange messages with.
	Peers(k int) []membership.Member
	Digest(changes, heartbeats int) membership.Digest
	// HandlePeerUpdate merges a peer's message. It returns true when the
	// message brought news that should be sent to other peers at once.
	HandlePeerUpdate(u membership.PeerUpdate) bool
}

// TableSource is what a Node needs of the configuration.
type TableSource interface {
	// HandlePeerVersion records that a host reports a version of the tables as
	// in force.
	HandlePeerVersion(from string, version uint64)
	// EncodedTables returns the tables in force and their version. It is called
	// for every message and must be fast.
	EncodedTables() ([]byte, uint64)
}

// Options configures a Node.
type Options struct {
	Members Members
	// Loads, Drains, Rejections and Config are the sources and receivers of what a
	// Node exchanges besides the membership. Each may be nil.
	Loads      lb.LoadExchange
	Drains     lb.DrainRecorder
	Rejections lb.RejectionExchange
	Config     TableSource
	// Seeds returns the addresses to contact while no peer is known; it may be
	// nil.
	Seeds func() []netip.AddrPort
	// Token is sent to peers and expected from them. With "" none is sent and
	// any is accepted.
	Token string
	// ServerTLS and ClientTLS enable TLS; nil means plain HTTP.
	ServerTLS, ClientTLS *tls.Config
	// Dial opens connections; nil selects a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Interval is the time between two rounds; it defaults to 250 ms.
	Interval time.Duration
	// FanOut is the number of peers contacted in a round; it defaults to 1.
	FanOut int
	// PushFanOut is the number of peers that news is pushed to at once; it
	// defaults to 3.
	PushFanOut int
	// Timeout bounds one exchange; it defaults to 1 s.
	Timeout time.Duration
	// BytesPerSecond is the budget for the peer connections, both directions
	// together; it defaults to 15,000 bytes per second.
	BytesPerSecond int
	// LoadsPerMessage is the maximum number of loads in one message; it
	// defaults to 128.
	LoadsPerMessage int
	// Clock defaults to the system clock.
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Responses records the responses of peers that are not HTTP/1.1; it may be nil.
	Responses *http1.Monitor
	// Registerer registers the metrics; with nil they are not exported.
	Registerer prometheus.Registerer
}

func (o *Options) setDefaults() {
	const (
		interval        = 250 * time.Millisecond
		pushFanOut      = 3
		timeout         = time.Second
		bytesPerSecond  = 15_000
		loadsPerMessage = 128
	)
	o.Interval = cmp.Or(o.Interval, interval)
	o.FanOut = cmp.Or(o.FanOut, 1)
	o.PushFanOut = cmp.Or(o.PushFanOut, pushFanOut)
	o.Timeout = cmp.Or(o.Timeout, timeout)
	o.BytesPerSecond = cmp.Or(o.BytesPerSecond, bytesPerSecond)
	o.LoadsPerMessage = cmp.Or(o.LoadsPerMessage, loadsPerMessage)
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
		return errors.New("peer: Members is nil; a membership expected")
	case o.Interval < 0 || o.Timeout < 0:
		return errors.New("peer: Interval or Timeout is negative; a positive duration, or zero for the default, expected")
	case o.FanOut < 0 || o.PushFanOut < 0 || o.LoadsPerMessage < 0:
		return errors.New("peer: FanOut, PushFanOut or LoadsPerMessage is negative; a positive number, or zero for the default, expected")
	case o.BytesPerSecond < 0:
		return errors.New("peer: BytesPerSecond is negative; a positive number, or zero for the default, expected")
	default:
		return nil
	}
}
