package storesync

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/registry"
)

func entryOf(started int64, sequence int64, leaving bool) registry.Entry {
	return registry.Entry{Instance: registry.Instance{ID: "i-1", StartedMillis: started}, Sequence: sequence, Leaving: leaving}
}

// Guards against a target that gets requests after it has announced that it leaves,
// because its clock was set back between two starts.
func TestTargetWhoseClockWasSetBackLeaves(t *testing.T) {
	t.Parallel()
	g, now := NewWithT(t), time.Unix(1_700_000_000, 0)
	reader, other, tracker := newRegistryState(), newRegistryState(), registry.NewTargetTracker()
	version := uint64(0)
	read := func(entries ...registry.Entry) []registry.Change {
		version, now = version+1, now.Add(time.Second)
		reader.replace(version, now, entries)
		if changed, removed, ok := reader.since(other.version); ok {
			other.apply(reader.version, now, changed, removed)
		} else {
			other.replace(reader.version, now, reader.list())
		}
		g.Expect(other.list()).To(HaveLen(len(entries)))
		for i, e := range reader.list() {
			g.Expect(other.list()[i].Leaving).To(Equal(e.Leaving), "hosts that follow the reader know it as well")
		}
		return tracker.ApplyListing(now, reader.list())
	}
	g.Expect(read(entryOf(2400, 3, false))).To(HaveLen(1))
	for sequence := range int64(3) {
		g.Expect(read(entryOf(1500, sequence+1, false))).To(BeEmpty())
	}
	changes := read(entryOf(1500, 4, true))
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Kind).To(Equal(registry.Leaving))
	g.Expect(read(entryOf(1500, 5, true))).To(BeEmpty())
	changes = read()
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Kind).To(Equal(registry.Removed))
	changes = read(entryOf(900, 1, false))
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Kind).To(Equal(registry.Joined))
}

// Guards against a late write of a target's former process that keeps the target out of
// use, or brings one that leaves back into use.
func TestLateWriteOfAFormerProcessIsCorrected(t *testing.T) {
	t.Parallel()
	g, now := NewWithT(t), time.Unix(1_700_000_000, 0)
	s := newRegistryState()
	leaving := func(version uint64, e registry.Entry) bool {
		s.replace(version, now, []registry.Entry{e})
		return s.list()[0].Leaving
	}
	g.Expect(leaving(1, entryOf(2000, 1, false))).To(BeFalse())
	g.Expect(leaving(2, entryOf(1000, 50, true))).To(BeTrue(), "it may have started again")
	g.Expect(leaving(3, entryOf(2000, 2, false))).To(BeFalse(), "the living process has written")
	g.Expect(leaving(4, entryOf(2000, 3, true))).To(BeTrue())
	g.Expect(leaving(5, entryOf(1000, 51, false))).To(BeTrue(), "a single late write brings nothing back")
	g.Expect(leaving(6, entryOf(2000, 4, true))).To(BeTrue())
	g.Expect(leaving(7, entryOf(2000, 3, false))).To(BeTrue(), "an older write of the same process says nothing")
}

// Guards against a target that stays out of use although its process, which names an
// earlier start, goes on writing that it is ready.
func TestTargetThatStartedAgainComesBack(t *testing.T) {
	t.Parallel()
	g, now := NewWithT(t), time.Unix(1_700_000_000, 0)
	s := newRegistryState()
	for i, c := range []struct {
		entry   registry.Entry
		leaving bool
	}{
		{entryOf(3000, 1, false), false}, {entryOf(2000, 1, true), true}, {entryOf(1000, 1, false), true},
		{entryOf(1000, 2, false), false}, {entryOf(1000, 3, true), true},
	} {
		s.replace(uint64(i+1), now, []registry.Entry{c.entry})
		g.Expect(s.list()[0].Leaving).To(Equal(c.leaving), "reading %d", i+1)
	}
}
