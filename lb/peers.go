package lb

import (
	"net/netip"
	"time"
)

// TargetLoad is what one host knows of the load of one target.
type TargetLoad struct {
	Target netip.AddrPort
	// InFlight is the number of this host's requests at the target.
	InFlight int
	// Reported is the number of requests in flight that the target itself last
	// reported, -1 when it has reported none.
	Reported int
	// Latency is the smoothed latency that this host has seen.
	Latency time.Duration
	// Age is the time since Reported was received.
	Age time.Duration
}

// LoadExchange is the part of load tracking that peers synchronize.
type LoadExchange interface {
	// Outgoing returns up to limit loads worth sending to a peer.
	Outgoing(now time.Time, limit int) []TargetLoad
	// Incoming merges the loads that the peer with the name from has sent; now is
	// the time of receipt, from which their ages count.
	Incoming(now time.Time, from string, loads []TargetLoad)
}

// TargetRejection is what hosts know of a target that rejects all requests of at least
// one of them. Ages count from the time of the message.
type TargetRejection struct {
	Target netip.AddrPort
	// SinceAge is the age of the first rejection since which all requests of the
	// reporting host were rejected, RenewedAge that of the last one.
	SinceAge, RenewedAge time.Duration
	// Served is true when a later request is known to have been served, which refutes
	// the report; ServedAge is the time since that request was sent.
	Served    bool
	ServedAge time.Duration
}

// RejectionExchange is the part of target health that peers synchronize.
type RejectionExchange interface {
	// OutgoingRejections returns what to tell any peer; mostly nothing.
	OutgoingRejections(now time.Time) []TargetRejection
	// IncomingRejections merges what the peer with the name from has sent. It returns
	// true when other peers should be told at once.
	IncomingRejections(now time.Time, from string, rejections []TargetRejection) bool
}

// DrainRecorder spreads the information that targets are draining.
type DrainRecorder interface {
	// MarkDraining records that a target takes no new work; it returns true
	// when this was not known before.
	MarkDraining(now time.Time, target netip.AddrPort) bool
}

// Membership lists the live entry hosts.
type Membership interface {
	// LiveHosts returns the names of the hosts believed live, this one
	// included, sorted.
	LiveHosts() []string
	// ShareDivisor is the number of hosts that a shared limit is divided by;
	// when in doubt it is too high, so that hosts that disagree send less load
	// in total.
	ShareDivisor() int
}

// Lease says whether this host may use its share of a limit that must never be
// exceeded, such as the probe budget of a target.
type Lease interface {
	// Held is called right before each use of the share; it turns false by
	// itself when the lease runs out, even while the process was paused.
	Held() bool
}
