package peer

import (
	"encoding/binary"
	"net/netip"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/peer/peerpb"
)

func encodeMember(m membership.Member) *peerpb.Member {
	return &peerpb.Member{
		Name: m.Name, Addr: encodeAddr(m.Addr), FailureDomain: m.FailureDomain,
		Incarnation: m.Incarnation, Heartbeat: m.Heartbeat, State: uint32(m.State),
	}
}

func encodeAddr(a netip.AddrPort) []byte {
	return binary.BigEndian.AppendUint16(a.Addr().Unmap().AsSlice(), a.Port())
}

func decodeMembers(in []*peerpb.Member) ([]membership.Member, error) {
	if len(in) > maxEntries {
		return nil, errors.Errorf("%d members, at most %d expected", len(in), maxEntries)
	}
	out := make([]membership.Member, 0, len(in))
	for _, e := range in {
		m, err := decodeMember(e)
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}

func decodeMember(in *peerpb.Member) (membership.Member, error) {
	if in == nil {
		return membership.Member{}, errors.New("member missing")
	}
	if err := checkName("member name", in.Name); err != nil {
		return membership.Member{}, err
	}
	if in.FailureDomain != "" {
		if err := checkName("member failure domain", in.FailureDomain); err != nil {
			return membership.Member{}, err
		}
	}
	addr, err := decodeAddr(in.Addr)
	if err != nil {
		return membership.Member{}, errors.Wrapf(err, "member %q", in.Name)
	}
	if in.State < uint32(membership.Live) || in.State > uint32(membership.Gone) {
		return membership.Member{}, errors.Errorf("member %q: unknown state %d", in.Name, in.State)
	}
	return membership.Member{
		Name: in.Name, Addr: addr, FailureDomain: in.FailureDomain,
		Incarnation: in.Incarnation, Heartbeat: in.Heartbeat, State: membership.State(in.State),
	}, nil
}

// decodeAddr decodes 4 or 16 address bytes followed by the port, big endian.
func decodeAddr(b []byte) (netip.AddrPort, error) {
	const ipv4AddrPortBytes = 6
	if len(b) != ipv4AddrPortBytes && len(b) != ipv6AddrPortBytes {
		return netip.AddrPort{}, errors.Errorf("address of %d bytes", len(b))
	}
	host, port := b[:len(b)-2], b[len(b)-2:]
	addr, _ := netip.AddrFromSlice(host)
	return netip.AddrPortFrom(addr.Unmap(), binary.BigEndian.Uint16(port)), nil
}

// checkName checks a name from a peer; what says in errors which name it is.
func checkName(what, name string) error {
	if name == "" || len(name) > maxNameBytes || !utf8.ValidString(name) {
		return errors.Errorf("%s: 1 to %d bytes of UTF-8 expected, got %d bytes", what, maxNameBytes, len(name))
	}
	for _, r := range name {
		if !unicode.IsPrint(r) {
			return errors.Errorf("%s: printable characters expected", what)
		}
	}
	return nil
}
