package membership

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the lifecycle state of a host. Within one incarnation it only
// advances.
type State uint8

// The lifecycle states, in order.
const (
	// Live means that the host accepts requests.
	Live State = iota + 1
	// Leaving means that the host finishes the requests in flight and still
	// uses its share of the limits.
	Leaving
	// Gone means that the host has stopped.
	Gone
)

// String returns the state as it appears in logs and metrics.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	default:
		return "invalid"
	}
}

// MaxNameBytes bounds the names of hosts and failure domains, which hosts pass on in
// messages.
const MaxNameBytes = 128

// Member is the entry that a host publishes about itself.
type Member struct {
	Name          string         `json:"name"`
	Addr          netip.AddrPort `json:"addr"`
	FailureDomain string         `json:"failure_domain"`
	// Incarnation is the start of the process in milliseconds since 1970; a
	// host has a higher one after a restart.
	Incarnation uint64 `json:"incarnation"`
	// Heartbeat is a counter that grows while the process runs.
	Heartbeat uint64 `json:"heartbeat"`
	State     State  `json:"state"`
}

// HeartbeatUpdate is a host's heartbeat without the rest of its entry.
type HeartbeatUpdate struct {
	// ID is the Member.ID of the host.
	ID        uint32
	Heartbeat uint64
}

// ID returns a 32-bit hash of the name and incarnation. When two members have
// the same ID, heartbeat updates are applied to neither; their rows and full
// entries still are.
func (m Member) ID() uint32 {
	return uint32(m.hash())
}

func (m Member) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.Name)
	var inc [8]byte
	binary.BigEndian.PutUint64(inc[:], m.Incarnation)
	_, _ = d.Write(inc[:])
	return d.Sum64()
}

// stateHash returns a hash of the name, incarnation and state.
func (m Member) stateHash() uint64 {
	const stateMultiplier = 0x9e3779b97f4a7c15
	return m.hash() ^ uint64(m.State)*stateMultiplier
}

// newer reports whether m has a later incarnation than old, or a later state of
// the same incarnation.
func (m Member) newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// PeerUpdate is the membership content of a peer's message.
type PeerUpdate struct {
	// RequestSentAt is when this host sent the request that the message
	// answers; zero when the message is itself a request.
	RequestSentAt time.Time
	Members       []Member
	Heartbeats    []HeartbeatUpdate
}
