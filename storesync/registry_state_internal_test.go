package storesync

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// TestRegistryStateReportsChangesSinceAVersion checks that a host which applies
// the changes since its version, or takes the complete list when they are not
// known, ends with the reader's registry, whatever both held before.
func TestRegistryStateReportsChangesSinceAVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, other := newRegistryState(), newRegistryState()
		now := time.Unix(1_700_000_000, 0)
		state := map[string]registry.Entry{}
		for version := uint64(1); version < 40; version++ {
			id := rapid.StringMatching(`[a-f]`).Draw(t, "id")
			if rapid.Bool().Draw(t, "drop") {
				delete(state, id)
			} else {
				state[id] = registry.Entry{
					Instance: registry.Instance{ID: id, StartedMillis: int64(version)}, Sequence: 1, Leaving: rapid.Bool().Draw(t, "leaving"),
				}
			}
			if rapid.Bool().Draw(t, "read") {
				reader.replace(version, now, lo.Values(state))
			}
			if !rapid.Bool().Draw(t, "ask") || reader.firstVersion == 0 {
				continue
			}
			if changed, removed, ok := reader.since(other.version); ok {
				other.apply(reader.version, now, changed, removed)
			} else {
				other.replace(reader.version, now, reader.list())
			}
			if other.version == reader.version {
				NewWithT(t).Expect(other.list()).To(Equal(reader.list()))
			}
		}
	})
}

// TestRegistryStateTellsOfWarmups guards against a target that becomes cold again and
// gets its usual share from the hosts that follow the reader.
func TestRegistryStateTellsOfWarmups(t *testing.T) {
	g := NewWithT(t)
	s, now := newRegistryState(), time.Unix(1_700_000_000, 0)
	read := func(version uint64, sequence int64, left time.Duration) {
		now = now.Add(time.Second)
		s.replace(version, now, []registry.Entry{{Instance: registry.Instance{ID: "a"}, Sequence: sequence, WarmupLeft: left}})
	}
	told := func(version uint64) int {
		changed, _, ok := s.since(version)
		g.Expect(ok).To(BeTrue())
		return len(changed)
	}
	read(1, 1, 0)
	read(2, 2, 6*time.Second)
	g.Expect(told(1)).To(Equal(1), "it became cold")
	read(3, 3, 5*time.Second)
	read(4, 3, 5*time.Second)
	g.Expect(told(2)).To(BeZero(), "the same warm-up")
	read(5, 4, 0)
	g.Expect(told(4)).To(Equal(1), "it became warm early")
}

func TestRegistryStateIgnoresOlderEntries(t *testing.T) {
	g := NewWithT(t)
	s := newRegistryState()
	now := time.Unix(1_700_000_000, 0)
	e := registry.Entry{Instance: registry.Instance{ID: "a", StartedMillis: 2}, Sequence: 5, Leaving: true}
	s.replace(1, now, []registry.Entry{e})
	old := e
	old.Sequence, old.Leaving = 4, false
	s.replace(2, now, []registry.Entry{old})
	g.Expect(s.list()).To(Equal([]registry.Entry{e}))
	s.replace(1, now, nil)
	g.Expect(s.list()).To(Equal([]registry.Entry{e}), "a reading older than the last one")
}

// TestSnapshotHoldsOnlyWhatIsMissing checks that a host gets no more than it
// lacks, and that its registry then equals the reader's.
func TestSnapshotHoldsOnlyWhatIsMissing(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	reader := &Follower{registry: newRegistryState(), hostsHash: 7}
	entries := lo.Times(1000, func(i int) registry.Entry {
		return registry.Entry{Instance: registry.Instance{ID: fmt.Sprint("t", i), StartedMillis: 1}, Service: "s", Sequence: 1}
	})
	reader.registry.replace(10, now, entries)
	reader.registry.replace(20, now, append(entries[100:], registry.Entry{Instance: registry.Instance{ID: "new", StartedMillis: 1}, Sequence: 1}))
	var archive tablesArchive
	_, _, err := archive.refresh(func() *table.Tables { return manyRoutes(3, 1) }, nil, nil)
	g.Expect(err).NotTo(HaveOccurred())
	tables, err := archive.encode(now, peerVersions{})
	g.Expect(err).NotTo(HaveOccurred())

	whole := reader.missingContent(peerVersions{}, tables)
	g.Expect(whole.Whole).To(BeTrue())
	g.Expect(whole.Entries).To(HaveLen(901))
	parts, err := encodeContent(whole, tables.whole)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := decodeContent(slices.Concat(parts...))
	g.Expect(err).NotTo(HaveOccurred())
	got, _, err := decoded.tables(nil, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(manyRoutes(3, 1)))
	decoded.EncodedTables = nil
	g.Expect(decoded).To(Equal(whole))

	tables, err = archive.encode(now, peerVersions{tables: 3})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tables.whole).To(BeNil())
	rest := reader.missingContent(peerVersions{registry: 10, tables: 3, hostsHash: 7}, tables)
	g.Expect(rest.Whole).To(BeFalse())
	g.Expect(rest.Entries).To(HaveLen(1))
	g.Expect(rest.Removed).To(HaveLen(100))
	g.Expect(rest.EncodedTables).To(BeEmpty())
	g.Expect(rest.Hosts).To(BeEmpty())
	other := newRegistryState()
	other.replace(10, now, entries)
	other.apply(rest.RegistryVersion, now, lo.Map(rest.Entries, fromWire), rest.Removed)
	g.Expect(other.list()).To(Equal(reader.registry.list()))
}

// TestSnapshotOfAHostWithoutData checks that a host that has just started
// serves a snapshot too.
func TestSnapshotOfAHostWithoutData(t *testing.T) {
	g := NewWithT(t)
	f := &Follower{Options: Options{Clock: clockwork.NewFakeClock()}, registry: newRegistryState()}
	f.tables.Store(table.Empty())
	for range 2 {
		body, err := f.snapshot(peerVersions{})
		g.Expect(err).NotTo(HaveOccurred())
		var s snapshot
		g.Expect(cbor.Unmarshal(body, &s)).To(Succeed())
		g.Expect(s.RegistryAge).To(Equal(ageNeverRead))
	}
}

// Guards against snapshots that are not served or fetched over HTTP: the hosts of the
// specs use MemoryNetwork, and would read the store instead.
func TestSnapshotIsFetchedOverHTTP(t *testing.T) {
	g := NewWithT(t)
	server, clock := newFollowerOf(t, newReaderStub(t), &failingSource{})
	tables := table.Empty()
	tables.Version = 5
	server.applyTables(TablesReading{Cursor: 7, Tables: tables})
	server.applyReading(RegistryReading{Version: 7, Entries: lo.Times(1000, func(i int) registry.Entry {
		return registry.Entry{Instance: registry.Instance{ID: fmt.Sprint("t", i), StartedMillis: 1}, Service: "s", Sequence: 1}
	})}, clock.Now())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(ln) }()
	from := roster.Host{Name: "server", Addr: ln.Addr().(*net.TCPAddr).AddrPort()}

	client, _ := newFollowerOf(t, newReaderStub(t), &failingSource{})
	g.Eventually(func() bool { return client.fetchSnapshot(from) }).WithTimeout(20 * time.Second).Should(BeTrue())
	g.Expect(client.registry.list()).To(Equal(server.registry.list()))
	g.Expect(client.registry.version).To(Equal(uint64(7)))
	g.Expect(client.Current().Version).To(Equal(uint64(5)))

	g.Expect(server.Shutdown()).To(Succeed())
	g.Eventually(func() error {
		_, err := client.requestSnapshot(from.Addr, peerVersions{})
		return err
	}).WithTimeout(20 * time.Second).Should(MatchError(errHostUnreachable))
}
