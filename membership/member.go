package membership

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the stage of life of a member. States only advance within one
// incarnation.
type State uint8

// The states.
const (
	// Live: the host takes requests.
	Live State = iota + 1
	// Leaving: the host finishes what is in flight; its share is still in use.
	Leaving
	// Gone: the host has stopped.
	Gone
)

// String returns the state as logs and metrics spell it.
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

// Member is what one host says of itself.
type Member struct {
	Name          string         `json:"name"`
	Addr          netip.AddrPort `json:"addr"`
	FailureDomain string         `json:"failure_domain"`
	// Incarnation is the start of the process in milliseconds since 1970; a
	// restarted host has a higher one.
	Incarnation uint64 `json:"incarnation"`
	// Heartbeat grows while the process runs.
	Heartbeat uint64 `json:"heartbeat"`
	State     State  `json:"state"`
}

// Beat is a heartbeat in short form.
type Beat struct {
	// ID is Member.ID of the host.
	ID        uint32
	Heartbeat uint64
}

// ID identifies name and incarnation in 32 bits. Two members of equal ID are
// refreshed by their rows and full entries alone.
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

// stateHash covers what full entries carry besides the heartbeat.
func (m Member) stateHash() uint64 {
	const stateMultiplier = 0x9e3779b97f4a7c15
	return m.hash() ^ uint64(m.State)*stateMultiplier
}

// newer reports whether m carries a later life or state than old.
func (m Member) newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// Hearing is what a peer's message told of the membership.
type Hearing struct {
	// Since is when this host sent the request that the message answers, zero
	// when the message is the peer's own request.
	Since   time.Time
	Members []Member
	Beats   []Beat
}
