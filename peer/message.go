package peer

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/peer/peerpb"
)

// Limits on the content of a message.
const (
	maxEntries        = 4096
	maxNameBytes      = membership.MaxNameBytes
	maxInFlight       = 1 << 20
	maxLatency        = 10 * time.Minute
	maxLoadAge        = 10 * time.Minute
	maxDrainAge       = time.Minute
	portBits          = 16
	ipv6AddrPortBytes = 18
)

// drain says that a target accepts no new requests.
type drain struct {
	target netip.AddrPort
	// age is the time since any host first learned of it.
	age time.Duration
}

// message is the decoded content of the request or response of an exchange.
type message struct {
	from        string
	version     uint64
	membersHash uint64
	members     []membership.Member
	heartbeats  []membership.HeartbeatUpdate
	loads       []lb.TargetLoad
	drains      []drain
	// loadsWanted is how many loads the sender accepts in the response.
	loadsWanted int
}

// encode returns the wire form. It sorts loads and drains by target.
func (m *message) encode() *peerpb.SyncMessage {
	out := &peerpb.SyncMessage{
		From: m.from, ConfigVersion: m.version, MembersHash: m.membersHash,
		FiguresWanted: uint32(m.loadsWanted),
	}
	for _, member := range m.members {
		out.Members = append(out.Members, encodeMember(member))
	}
	for _, h := range m.heartbeats {
		out.HeartbeatIds = append(out.HeartbeatIds, h.ID)
		out.Heartbeats = append(out.Heartbeats, h.Heartbeat)
	}
	if len(m.loads) > 0 {
		out.Figures = encodeLoads(m.loads)
	}
	if len(m.drains) > 0 {
		out.Drains = encodeDrains(m.drains)
	}
	return out
}

func encodeLoads(loads []lb.TargetLoad) *peerpb.Figures {
	slices.SortFunc(loads, func(a, b lb.TargetLoad) int { return compareTargets(a.Target, b.Target) })
	out := &peerpb.Figures{}
	var c targetColumns
	for _, l := range loads {
		c.add(l.Target)
		out.InFlight = append(out.InFlight, uint32(min(max(l.InFlight, 0), maxInFlight)))
		out.ReportedPlusOne = append(out.ReportedPlusOne, uint32(min(max(l.Reported, -1), maxInFlight)+1))
		out.LatencyUs = append(out.LatencyUs, uint32(clamp(l.Latency, maxLatency)/time.Microsecond))
		out.AgeMs = append(out.AgeMs, uint32(clamp(l.Age, maxLoadAge)/time.Millisecond))
	}
	out.TargetDeltas, out.WideTargets = c.deltas, c.wide
	return out
}

func encodeDrains(drains []drain) *peerpb.Drains {
	slices.SortFunc(drains, func(a, b drain) int { return compareTargets(a.target, b.target) })
	out := &peerpb.Drains{}
	var c targetColumns
	for _, d := range drains {
		c.add(d.target)
		out.AgeMs = append(out.AgeMs, uint32(clamp(d.age, maxDrainAge)/time.Millisecond))
	}
	out.TargetDeltas, out.WideTargets = c.deltas, c.wide
	return out
}

func clamp(d, most time.Duration) time.Duration { return min(max(d, 0), most) }

// decode validates a message and returns its content.
func decode(in *peerpb.SyncMessage) (message, error) {
	if err := checkName("from", in.From); err != nil {
		return message{}, err
	}
	m := message{
		from: in.From, version: in.ConfigVersion, membersHash: in.MembersHash,
		loadsWanted: int(min(in.FiguresWanted, maxEntries)),
	}
	var err error
	if m.members, err = decodeMembers(in.Members); err != nil {
		return message{}, err
	}
	if m.heartbeats, err = decodeHeartbeats(in); err != nil {
		return message{}, err
	}
	if m.loads, err = decodeLoads(in.Figures); err != nil {
		return message{}, err
	}
	m.drains, err = decodeDrains(in.Drains)
	return m, err
}

func decodeHeartbeats(in *peerpb.SyncMessage) ([]membership.HeartbeatUpdate, error) {
	if len(in.HeartbeatIds) != len(in.Heartbeats) || len(in.Heartbeats) > maxEntries {
		return nil, errors.Errorf("heartbeats: %d identifiers and %d numbers, at most %d of each expected",
			len(in.HeartbeatIds), len(in.Heartbeats), maxEntries)
	}
	heartbeats := make([]membership.HeartbeatUpdate, 0, len(in.Heartbeats))
	for i, id := range in.HeartbeatIds {
		heartbeats = append(heartbeats, membership.HeartbeatUpdate{ID: id, Heartbeat: in.Heartbeats[i]})
	}
	return heartbeats, nil
}

func decodeLoads(in *peerpb.Figures) ([]lb.TargetLoad, error) {
	if in == nil {
		return nil, nil
	}
	targets, err := decodeTargets(in.TargetDeltas, in.WideTargets)
	if err != nil {
		return nil, errors.Wrap(err, "loads")
	}
	n := len(targets)
	if len(in.InFlight) != n || len(in.ReportedPlusOne) != n || len(in.LatencyUs) != n || len(in.AgeMs) != n {
		return nil, errors.New("loads: columns differ in length")
	}
	out := make([]lb.TargetLoad, 0, n)
	for i, t := range targets {
		l := lb.TargetLoad{
			Target: t, InFlight: int(in.InFlight[i]), Reported: int(in.ReportedPlusOne[i]) - 1,
			Latency: time.Duration(in.LatencyUs[i]) * time.Microsecond,
			Age:     time.Duration(in.AgeMs[i]) * time.Millisecond,
		}
		if l.InFlight > maxInFlight || l.Reported > maxInFlight || l.Latency > maxLatency || l.Age > maxLoadAge {
			return nil, errors.Errorf("loads: value out of range for target %s", t)
		}
		out = append(out, l)
	}
	return out, nil
}

func decodeDrains(in *peerpb.Drains) ([]drain, error) {
	if in == nil {
		return nil, nil
	}
	targets, err := decodeTargets(in.TargetDeltas, in.WideTargets)
	if err != nil {
		return nil, errors.Wrap(err, "drains")
	}
	if len(in.AgeMs) != len(targets) {
		return nil, errors.New("drains: columns differ in length")
	}
	out := make([]drain, 0, len(targets))
	for i, t := range targets {
		d := drain{target: t, age: time.Duration(in.AgeMs[i]) * time.Millisecond}
		if d.age > maxDrainAge {
			return nil, errors.Errorf("drains: age out of range for target %s", t)
		}
		out = append(out, d)
	}
	return out, nil
}

// targetColumns builds the wire form of sorted targets. An IPv4 target is a
// 48-bit number, the address followed by the port; deltas holds the differences
// between successive ones. wide holds the IPv6 targets as 18 bytes each.
type targetColumns struct {
	last   uint64
	deltas []uint64
	wide   [][]byte
}

func (c *targetColumns) add(t netip.AddrPort) {
	if !t.Addr().Is4() {
		wide := t.Addr().As16()
		c.wide = append(c.wide, binary.BigEndian.AppendUint16(wide[:], t.Port()))
		return
	}
	v4 := t.Addr().As4()
	v := uint64(binary.BigEndian.Uint32(v4[:]))<<portBits | uint64(t.Port())
	c.deltas = append(c.deltas, v-c.last)
	c.last = v
}

func decodeTargets(deltas []uint64, wide [][]byte) ([]netip.AddrPort, error) {
	if len(deltas)+len(wide) > maxEntries {
		return nil, errors.Errorf("%d targets, at most %d expected", len(deltas)+len(wide), maxEntries)
	}
	out := make([]netip.AddrPort, 0, len(deltas)+len(wide))
	const limit = 1 << (32 + portBits)
	var v uint64
	for _, d := range deltas {
		if d >= limit-v {
			return nil, errors.New("target out of range")
		}
		v += d
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], uint32(v>>portBits))
		out = append(out, netip.AddrPortFrom(netip.AddrFrom4(b), uint16(v)))
	}
	for _, w := range wide {
		t, err := decodeAddr(w)
		if err != nil {
			return nil, err
		}
		out = append(out, t)
	}
	return out, nil
}

// compareTargets orders IPv4 before IPv6, then by address and port.
func compareTargets(a, b netip.AddrPort) int {
	if a.Addr().Is4() != b.Addr().Is4() {
		if a.Addr().Is4() {
			return -1
		}
		return 1
	}
	return a.Compare(b)
}
