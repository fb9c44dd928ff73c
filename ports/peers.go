package ports

import (
	"net/netip"
	"time"
)

// Figure is what one host knows of the load of one target.
type Figure struct {
	Target netip.AddrPort
	// InFlight is the number of this host's requests at the target.
	InFlight int
	// Reported is the in-flight number that the target last reported itself,
	// -1 when it has reported none.
	Reported int
	// Latency is the smoothed latency seen by this host.
	Latency time.Duration
	// Age is the time since Reported was learned.
	Age time.Duration
}

// FigureExchange is the side of load knowledge that peers exchange.
type FigureExchange interface {
	// Outgoing returns up to limit figures worth sending.
	Outgoing(now time.Time, limit int) []Figure
	// Incoming merges what a peer sent; at is when the peer sent it.
	Incoming(now time.Time, from string, figures []Figure)
}

// DrainNews spreads the news that a target is leaving.
type DrainNews interface {
	// Leaving records that a target takes no new work; it returns true when
	// this was news.
	Leaving(now time.Time, target netip.AddrPort) bool
}

// Membership answers questions about the live entry hosts.
type Membership interface {
	// Hosts returns the names of hosts believed live, this one included,
	// sorted.
	Hosts() []string
	// ShareCount is the number of hosts that a shared limit is divided by; it
	// errs on the high side, so that disagreement leads to less load.
	ShareCount() int
}

// Lease says whether this host may act on a share of a limit that must never
// be exceeded, such as the probe budget of a target.
type Lease interface {
	// Holds is asked right before each act; it turns false on its own when
	// the lease runs out, also while the process was paused.
	Holds() bool
}
