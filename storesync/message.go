package storesync

import (
	"net/netip"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/registry"
)

// kindSync is the message kind of sync requests and their responses.
const kindSync hostmsg.Kind = 20

// syncRequest asks what changed in the registry since the sender's version of
// it.
type syncRequest struct {
	_               struct{} `cbor:",toarray"`
	RegistryVersion uint64
}

// syncResponse is one part of the response to a syncRequest. Ages are in
// milliseconds.
type syncResponse struct {
	_ struct{} `cbor:",toarray"`
	// RegistryVersion is the version of the reader's last reading, RegistryAge
	// its age.
	RegistryVersion uint64
	RegistryAge     int64
	// ChangesIncluded is false when the changes since the requested version are
	// unknown, too many or too large.
	ChangesIncluded bool
	// Changed and Removed are the changes, split over Parts messages; this is the
	// one with index Part.
	Part, Parts int
	Changed     []entry
	Removed     []string
	// TablesVersion is the version in force, TablesAge the time since the store
	// confirmed it as the newest.
	TablesVersion uint64
	TablesAge     int64
	// HostsHash is a hash over the host list.
	HostsHash uint64
}

// entry is a registry.Entry as messages carry it. WarmupLeft is in
// milliseconds.
type entry struct {
	_             struct{} `cbor:",toarray"`
	ID            string
	StartedMillis int64
	Service       string
	Addr          netip.AddrPort
	FailureDomain string
	Slots         int
	Leaving       bool
	WarmupLeft    int64
	Sequence      int64
}

const (
	// maxChangesBytes is the room for changes in a message; the rest holds the other
	// fields of the response and the envelope, at most 90 bytes.
	maxChangesBytes = hostmsg.MaxBytes - 128
	// entryFieldBytes is the size of an entry without its texts, at most 80 bytes, and
	// textHeadBytes that of the head of a text.
	entryFieldBytes, textHeadBytes = 96, 3
	// maxParts bounds the messages of one response; the receiver has room for 16.
	maxParts = 12
)

// wireBytes returns an upper bound of the encoded size of e.
func wireBytes(e entry) int {
	return entryFieldBytes + len(e.ID) + len(e.Service) + len(e.FailureDomain) + len(e.Addr.Addr().Zone())
}

// split distributes changes over as many messages as they need, at least one; ok is
// false when they don't fit maxParts messages.
func (r syncResponse) split(changed []entry, removed []string) (parts []syncResponse, ok bool) {
	parts, ok = []syncResponse{r}, true
	room := maxChangesBytes
	// next returns the message with room for a change.
	next := func(bytes int) *syncResponse {
		if room -= bytes; room < 0 {
			parts, room = append(parts, r), maxChangesBytes-bytes
		}
		ok = ok && bytes <= maxChangesBytes
		return &parts[len(parts)-1]
	}
	for _, e := range changed {
		part := next(wireBytes(e))
		part.Changed = append(part.Changed, e)
	}
	for _, id := range removed {
		part := next(textHeadBytes + len(id))
		part.Removed = append(part.Removed, id)
	}
	for i := range parts {
		parts[i].Part, parts[i].Parts = i, len(parts)
	}
	return parts, ok && len(parts) <= maxParts
}

// responseParts collects the parts of a response to one sync request.
type responseParts struct {
	syncResponse
	seen map[int]bool
}

// add adds a part and returns true once all parts have arrived. A part of
// another reading discards those collected so far.
func (p *responseParts) add(part syncResponse) bool {
	if p.seen == nil || part.RegistryVersion != p.RegistryVersion || part.Parts != p.Parts {
		p.syncResponse, p.seen = part, map[int]bool{part.Part: true}
		return len(p.seen) >= part.Parts
	}
	if !p.seen[part.Part] {
		p.seen[part.Part] = true
		p.Changed = append(p.Changed, part.Changed...)
		p.Removed = append(p.Removed, part.Removed...)
	}
	return len(p.seen) >= p.Parts
}

func toWire(e registry.Entry, _ int) entry {
	return entry{
		ID: e.ID, StartedMillis: e.StartedMillis, Service: e.Service, Addr: e.Addr, FailureDomain: e.FailureDomain,
		Slots: e.Slots, Leaving: e.Leaving, WarmupLeft: e.WarmupLeft.Milliseconds(), Sequence: e.Sequence,
	}
}

func fromWire(e entry, _ int) registry.Entry {
	return registry.Entry{
		Instance: registry.Instance{ID: e.ID, StartedMillis: e.StartedMillis}, Service: e.Service, Addr: e.Addr,
		FailureDomain: e.FailureDomain, Slots: e.Slots, Leaving: e.Leaving,
		WarmupLeft: hostmsg.Milliseconds(e.WarmupLeft), Sequence: e.Sequence,
	}
}

func (r syncResponse) changed() []registry.Entry { return lo.Map(r.Changed, fromWire) }
