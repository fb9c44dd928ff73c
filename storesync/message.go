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
	// unknown or too many.
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

// split distributes changes over as many messages as they need, at least one.
func (a syncResponse) split(changed []entry, removed []string) []syncResponse {
	entries, names := lo.Chunk(changed, changesPerMessage), lo.Chunk(removed, 2*changesPerMessage)
	parts := make([]syncResponse, 0, len(entries)+len(names)+1)
	for _, chunk := range entries {
		part := a
		part.Changed = chunk
		parts = append(parts, part)
	}
	for _, chunk := range names {
		part := a
		part.Removed = chunk
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		parts = append(parts, a)
	}
	for i := range parts {
		parts[i].Part, parts[i].Parts = i, len(parts)
	}
	return parts
}

// responseParts collects the parts of a response.
type responseParts struct {
	syncResponse
	seen map[int]bool
}

// add adds a part and returns true once all parts have arrived. A part of
// another reading discards those collected so far.
func (p *responseParts) add(a syncResponse) bool {
	if p.seen == nil || a.RegistryVersion != p.RegistryVersion || a.Parts != p.Parts {
		p.syncResponse, p.seen = a, map[int]bool{a.Part: true}
		return len(p.seen) >= a.Parts
	}
	if !p.seen[a.Part] {
		p.seen[a.Part] = true
		p.Changed = append(p.Changed, a.Changed...)
		p.Removed = append(p.Removed, a.Removed...)
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

func (a syncResponse) changed() []registry.Entry { return lo.Map(a.Changed, fromWire) }
