package storesync

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/table"
)

// Guards against a reader that started on a restored store and obeys, or spreads, the
// copy while the other hosts still know better.
func TestHostThatStartsOnARestoredStoreLearnsWhatTheOthersKnew(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	var e evacuations
	e.read(now, NewVersion(1, 5), EvacuationChange{Whole: true})
	g.Expect(e.inForce(now).domains).To(BeEmpty())
	e.learnPrevious(newEvacuationSet(NewVersion(0, 9), []string{"b", "a", "b"}))
	g.Expect(e.inForce(now).domains).To(Equal([]string{"a", "b"}))
	end, inGrace := e.graceEnd(now)
	g.Expect(inGrace).To(BeTrue())
	g.Expect(end.Sub(now)).To(Equal(2 * time.Second))
	g.Expect(e.inForce(end).domains).To(BeEmpty(), "then the store's set holds")
}

// Guards against an evacuation that a follower never sees withdrawn, because its
// reader started after the withdrawal and so never heard of it.
func TestReaderThatKnowsNoEvacuationIsToldAndOtherwisePassedOver(t *testing.T) {
	g := NewWithT(t)
	reader := newReaderStub(t)
	f, clock := newFollowerOf(t, reader, &failingSource{})
	f.tablesConfirmedAt = clock.Now()
	f.applyNotice(evacuationNotice{Version: 7, Domains: []string{"b"}}, "reader")
	g.Expect(f.Current().Evacuated).To(Equal([]string{"b"}))
	g.Expect(f.tablesConfirmed()).To(BeTrue())

	clock.Advance(noticeSilence + syncInterval)
	f.syncRegistry(t.Context(), f.newReadTracker("register"))
	var n evacuationNotice
	g.Eventually(reader.told).WithTimeout(20 * time.Second).Should(Receive(&n))
	g.Expect(n.Version).To(Equal(uint64(7)))
	g.Expect(n.Domains).To(Equal([]string{"b"}))

	f.tablesConfirmedAt = clock.Now()
	clock.Advance(maxEvacuationAge - noticeSilence)
	f.tablesConfirmedAt = clock.Now()
	g.Expect(f.tablesConfirmed()).To(BeFalse(), "the store is read")
}

// Guards against messages that older builds get although the deployment never had an
// evacuation, and against a notice that is lost because it doesn't fit a message.
func TestNoticesAreSentOnlyAfterAnEvacuationAndFitAMessage(t *testing.T) {
	g := NewWithT(t)
	f, _ := newFollowerOf(t, newReaderStub(t), &failingSource{})
	f.applyTables(TablesReading{Cursor: 3, Evacuations: EvacuationChange{Whole: true}})
	_, ok := f.evacuationNotice()
	g.Expect(ok).To(BeFalse())
	f.applyTables(TablesReading{Cursor: 4, Evacuations: EvacuationChange{Evacuated: []string{"a"}}})
	f.applyTables(TablesReading{Cursor: 5, Evacuations: EvacuationChange{Withdrawn: []string{"a"}}})
	n, ok := f.evacuationNotice()
	g.Expect(ok).To(BeTrue())
	g.Expect(n.Domains).To(BeEmpty())

	other, clock := newFollowerOf(t, newReaderStub(t), &failingSource{})
	many := lo.Times(200, func(i int) string { return fmt.Sprint("failure-domain-", i) })
	f.applyTables(TablesReading{Cursor: 6, Evacuations: EvacuationChange{Evacuated: many}})
	f.tellEvacuations(other.Roster.Self())
	g.Eventually(func() bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		return other.evacuations.unconfirmed(clock.Now())
	}).
		WithTimeout(20 * time.Second).Should(BeTrue())
}

// Guards against an evacuation in tables of the same version that does not reach the
// targets, the snapshots for hosts that start, or the tables of a later version.
func TestEvacuationsReachTargetsSnapshotsAndLaterTables(t *testing.T) {
	g := NewWithT(t)
	f, _ := newFollowerOf(t, newReaderStub(t), &failingSource{})
	var last *table.Tables
	f.OnChange = func(_ map[string][]registry.Target, all ...*table.Tables) { last = all[len(all)-1] }
	f.targets = map[string][]registry.Target{}
	tables := func(version uint64) *table.Tables { t := table.Empty(); t.Version = version; return t }
	f.applyTables(TablesReading{Cursor: 3, Tables: tables(1), Evacuations: EvacuationChange{Whole: true}})
	_, err := f.snapshot(peerVersions{})
	g.Expect(err).NotTo(HaveOccurred())
	f.applyTables(TablesReading{Cursor: 4, Evacuations: EvacuationChange{Evacuated: []string{"b"}}})
	g.Expect(last.Evacuated).To(Equal([]string{"b"}))
	f.applyTables(TablesReading{Cursor: 5, Tables: tables(2)})
	g.Expect(last.Evacuated).To(Equal([]string{"b"}))
	g.Expect(slices.Equal(f.Current().Evacuated, last.Evacuated)).To(BeTrue())
	f.applyTables(TablesReading{Cursor: 6, Evacuations: EvacuationChange{Evacuated: []string{"a"}}})

	body, err := f.snapshot(peerVersions{})
	g.Expect(err).NotTo(HaveOccurred())
	var s snapshot
	g.Expect(cbor.Unmarshal(body, &s)).To(Succeed())
	c, err := decodeContent(s.Content)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, _, err := c.tables(nil, 0)
	g.Expect(err).NotTo(HaveOccurred())
	started, _ := newFollowerOf(t, newReaderStub(t), &failingSource{})
	started.applySnapshot(started.Clock.Now(), peerVersions{}, s, c, decoded)
	g.Expect(started.Current().Evacuated).To(Equal([]string{"a", "b"}))
	g.Expect(started.evacuations.latest.version).To(Equal(uint64(6)))
}
