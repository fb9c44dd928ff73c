package news

import (
	"net/netip"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/mesh"
	"github.com/chestnutfield/chestnutfield/registry"
)

// kindSync is the question for news.
const kindSync mesh.Kind = 20

// question asks what changed since the versions that the asker has.
type question struct {
	_        struct{} `cbor:",toarray"`
	Register uint64
}

// answer tells it. Ages are in milliseconds.
type answer struct {
	_ struct{} `cbor:",toarray"`
	// Register is the version of the reading, RegisterAge its age.
	Register    uint64
	RegisterAge int64
	// Known is false when the changes since the asker's version are not known
	// or too many.
	Known bool
	// Changed and Dropped are the changes, divided over Parts answers; this is
	// one of them.
	Part, Parts int
	Changed     []entry
	Dropped     []string
	// Tables is the version in force, TablesAge the time since the store
	// confirmed it.
	Tables    uint64
	TablesAge int64
	// Hosts is a hash over the hosts known.
	Hosts uint64
}

// entry is a registry.Entry in a message.
type entry struct {
	_             struct{} `cbor:",toarray"`
	ID            string
	Born          int64
	Service       string
	Addr          netip.AddrPort
	FailureDomain string
	Slots         int
	Leaving       bool
	ColdFor       int64
	Sequence      int64
}

// divide spreads changes over as many answers as they need.
func (a answer) divide(changed []entry, dropped []string) []answer {
	entries, names := lo.Chunk(changed, changesInAnswer), lo.Chunk(dropped, 2*changesInAnswer)
	parts := make([]answer, 0, len(entries)+len(names)+1)
	for _, chunk := range entries {
		part := a
		part.Changed = chunk
		parts = append(parts, part)
	}
	for _, chunk := range names {
		part := a
		part.Dropped = chunk
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

// joined collects the parts of an answer.
type joined struct {
	answer
	seen map[int]bool
}

// add takes a part; it returns true once all are there. Parts of different
// readings don't belong together: the newer one begins anew.
func (j *joined) add(a answer) bool {
	if j.seen == nil || a.Register != j.Register || a.Parts != j.Parts {
		j.answer, j.seen = a, map[int]bool{a.Part: true}
		return len(j.seen) >= a.Parts
	}
	if !j.seen[a.Part] {
		j.seen[a.Part] = true
		j.Changed = append(j.Changed, a.Changed...)
		j.Dropped = append(j.Dropped, a.Dropped...)
	}
	return len(j.seen) >= j.Parts
}

func toWire(e registry.Entry, _ int) entry {
	return entry{
		ID: e.ID, Born: e.Born, Service: e.Service, Addr: e.Addr, FailureDomain: e.FailureDomain,
		Slots: e.Slots, Leaving: e.Leaving, ColdFor: e.ColdFor.Milliseconds(), Sequence: e.Sequence,
	}
}

func fromWire(e entry, _ int) registry.Entry {
	return registry.Entry{
		Instance: registry.Instance{ID: e.ID, Born: e.Born}, Service: e.Service, Addr: e.Addr,
		FailureDomain: e.FailureDomain, Slots: e.Slots, Leaving: e.Leaving,
		ColdFor: mesh.Millis(e.ColdFor), Sequence: e.Sequence,
	}
}

func (a answer) changed() []registry.Entry { return lo.Map(a.Changed, fromWire) }
