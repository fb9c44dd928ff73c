package news

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/table"
)

// TestJournalTellsWhatChanged: a host that applies the changes since its
// version, or reads the store when they are not known, has the register of the
// reader, whatever both had seen before.
func TestJournalTellsWhatChanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, other := newJournal(), newJournal()
		now := time.Unix(1_700_000_000, 0)
		state := map[string]registry.Entry{}
		for version := uint64(1); version < 40; version++ {
			id := rapid.StringMatching(`[a-f]`).Draw(t, "id")
			if rapid.Bool().Draw(t, "drop") {
				delete(state, id)
			} else {
				state[id] = registry.Entry{
					Instance: registry.Instance{ID: id, Born: int64(version)}, Sequence: 1, Leaving: rapid.Bool().Draw(t, "leaving"),
				}
			}
			if rapid.Bool().Draw(t, "read") {
				reader.take(version, now, lo.Values(state))
			}
			if !rapid.Bool().Draw(t, "ask") || reader.first == 0 {
				continue
			}
			if changed, dropped, ok := reader.since(other.version); ok {
				other.apply(reader.version, now, changed, dropped)
			} else {
				other.take(reader.version, now, reader.list())
			}
			if other.version == reader.version {
				NewWithT(t).Expect(other.list()).To(Equal(reader.list()))
			}
		}
	})
}

func TestJournalIgnoresEntriesThatAreOlder(t *testing.T) {
	g := NewWithT(t)
	j := newJournal()
	now := time.Unix(1_700_000_000, 0)
	e := registry.Entry{Instance: registry.Instance{ID: "a", Born: 2}, Sequence: 5, Leaving: true}
	j.take(1, now, []registry.Entry{e})
	old := e
	old.Sequence, old.Leaving = 4, false
	j.take(2, now, []registry.Entry{old})
	g.Expect(j.list()).To(Equal([]registry.Entry{e}))
	j.take(1, now, nil)
	g.Expect(j.list()).To(Equal([]registry.Entry{e}), "a reading older than the last one")
}

// TestSnapshotsHoldWhatIsLacking: an asker that has something gets no more than
// the rest, and the journal that results is the reader's.
func TestSnapshotsHoldWhatIsLacking(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	reader := &Follower{journal: newJournal(), hosts: 7}
	entries := lo.Times(1000, func(i int) registry.Entry {
		return registry.Entry{Instance: registry.Instance{ID: fmt.Sprint("t", i), Born: 1}, Service: "s", Sequence: 1}
	})
	reader.journal.take(10, now, entries)
	reader.journal.take(20, now, append(entries[100:], registry.Entry{Instance: registry.Instance{ID: "new", Born: 1}, Sequence: 1}))
	tables := packedTables{version: 3, packed: []byte("tables")}

	whole := reader.contentFor(having{}, tables)
	g.Expect(whole.Whole).To(BeTrue())
	g.Expect(whole.Entries).To(HaveLen(901))
	g.Expect(whole.Packed).To(Equal(tables.packed))
	body, err := pack(whole)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(unpack(body)).To(Equal(whole))

	rest := reader.contentFor(having{register: 10, tables: 3, hosts: 7}, tables)
	g.Expect(rest.Whole).To(BeFalse())
	g.Expect(rest.Entries).To(HaveLen(1))
	g.Expect(rest.Dropped).To(HaveLen(100))
	g.Expect(rest.Packed).To(BeEmpty())
	g.Expect(rest.Hosts).To(BeEmpty())
	other := newJournal()
	other.take(10, now, entries)
	other.apply(rest.Register, now, lo.Map(rest.Entries, fromWire), rest.Dropped)
	g.Expect(other.list()).To(Equal(reader.journal.list()))
}

// TestSnapshotOfAHostThatKnowsNothing: one that has just started is asked too.
func TestSnapshotOfAHostThatKnowsNothing(t *testing.T) {
	g := NewWithT(t)
	f := &Follower{Options: Options{Clock: clockwork.NewFakeClock()}, journal: newJournal()}
	f.tables.Store(table.Empty())
	for range 2 {
		body, err := f.snapshot(having{})
		g.Expect(err).NotTo(HaveOccurred())
		var s snapshot
		g.Expect(cbor.Unmarshal(body, &s)).To(Succeed())
		g.Expect(s.RegisterAge).To(Equal(never))
	}
}
