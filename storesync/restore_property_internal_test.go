package storesync

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// modelStore is a registry in a store that may be restored from a copy.
type modelStore struct {
	era, number uint64
	entries     map[string]registry.Entry
}

func (s *modelStore) reading() RegistryReading {
	return RegistryReading{Version: NewVersion(s.era, s.number), Entries: lo.Values(s.entries)}
}

// modelFleet is a few hosts, the first of which is the reader, and the targets as
// they really are.
type modelFleet struct {
	t       *rapid.T
	g       *WithT
	clock   *clockwork.FakeClock
	store   modelStore
	copied  modelStore
	alive   map[string]registry.Entry
	hosts   []*Follower
	started int
	// left holds the targets that a host knows to leave or to be gone, by host.
	left map[*Follower]map[registry.Instance]bool
}

func (m *modelFleet) newHost() *Follower {
	f := &Follower{
		Options:  Options{Clock: m.clock, Logger: zap.NewNop(), OnChange: func(map[string][]registry.Target, ...*table.Tables) {}},
		registry: newRegistryState(), tracker: registry.NewTargetTracker(),
	}
	f.tables.Store(table.Empty())
	m.left[f] = map[registry.Instance]bool{}
	return f
}

// write writes a target's entry, as it does with each heartbeat.
func (m *modelFleet) write(id string) {
	e := m.alive[id]
	e.Sequence++
	m.alive[id] = e
	m.store.number++
	m.store.entries[id] = e
}

func (m *modelFleet) read(f *Follower) { f.applyReading(m.store.reading(), m.clock.Now()) }

// sync brings a host up to date from the reader as the messages between them do.
func (m *modelFleet) sync(f *Follower) {
	reader := m.hosts[0]
	if f == reader {
		m.read(f)
		return
	}
	var whole responseParts
	for _, part := range reader.changesSince(f.registry.version) {
		whole.add(part)
	}
	if f.applyResponse(roster.Host{}, m.clock.Now(), whole.syncResponse) != needsSnapshot {
		return
	}
	has := peerVersions{registry: f.registry.version}
	body, err := reader.snapshot(has)
	m.g.Expect(err).NotTo(HaveOccurred())
	var s snapshot
	m.g.Expect(cbor.Unmarshal(body, &s)).To(Succeed())
	c, err := decodeContent(s.Content)
	m.g.Expect(err).NotTo(HaveOccurred())
	f.applySnapshot(m.clock.Now(), has, s, c, nil)
}

// check checks that no host uses a target that it knows to have left.
func (m *modelFleet) check() {
	for _, f := range m.hosts {
		used := map[registry.Instance]bool{}
		for _, t := range f.targets["s"] {
			used[t.Instance] = true
			m.g.Expect(m.left[f][t.Instance]).To(BeFalse(), "%v is in use again", t.Instance)
		}
		for id, e := range f.registry.entries {
			if e.Leaving && !used[e.Instance] {
				m.left[f][m.store.entries[id].Instance] = m.store.entries[id].Instance == e.Instance
			}
		}
	}
}

func (m *modelFleet) anyAlive() string {
	return rapid.SampledFrom(slices.Sorted(maps.Keys(m.alive))).Draw(m.t, "target")
}

func (m *modelFleet) step() {
	switch rapid.SampledFrom([]string{"write", "join", "leave", "restart target", "copy", "restore", "read", "sync", "sync", "sync", "restart host", "time"}).Draw(m.t, "event") {
	case "write":
		m.write(m.anyAlive())
	case "join":
		m.started++
		id := fmt.Sprint("t", m.started)
		m.alive[id] = registry.Entry{Instance: registry.Instance{ID: id, StartedMillis: 1}, Service: "s"}
		m.write(id)
	case "leave":
		if id := m.anyAlive(); len(m.alive) > 1 {
			e := m.alive[id]
			e.Leaving = true
			m.alive[id] = e
			m.write(id)
			for _, f := range m.hosts {
				m.sync(f)
				m.left[f][e.Instance] = true
			}
			delete(m.alive, id)
			delete(m.store.entries, id)
			m.store.number++
		}
	case "restart target":
		id := m.anyAlive()
		e := m.alive[id]
		e.StartedMillis, e.Sequence = e.StartedMillis+1, 0
		m.alive[id] = e
		m.write(id)
	case "copy":
		m.copied = modelStore{number: m.store.number, entries: maps.Clone(m.store.entries)}
	case "restore":
		m.store = modelStore{era: m.store.era + 1, number: m.copied.number, entries: maps.Clone(m.copied.entries)}
	case "read":
		m.read(m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "host")])
	case "sync":
		m.sync(m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "host")])
	case "restart host":
		i := rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "host")
		m.hosts[i] = m.newHost()
		m.sync(m.hosts[i])
	case "time":
		m.clock.Advance(time.Duration(rapid.IntRange(1, 600).Draw(m.t, "ms")) * time.Millisecond)
	}
}

// settle lets the targets write again, removes what has gone from the store, and
// brings all hosts up to date.
func (m *modelFleet) settle() {
	for range 8 {
		for id := range m.alive {
			m.write(id)
		}
		m.store.entries = lo.PickBy(m.store.entries, func(id string, _ registry.Entry) bool {
			_, alive := m.alive[id]
			return alive
		})
		m.store.number++
		m.clock.Advance(registryReadInterval)
		for _, f := range m.hosts {
			m.sync(f)
		}
	}
}

// TestHostsAgreeAfterRestores guards against a target that has left and is used
// again, and against hosts that never agree again, through drawn sequences of
// writes, copies, restores, readings and restarts.
func TestHostsAgreeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &modelFleet{
			t: t, g: NewWithT(t), clock: clockwork.NewFakeClock(), alive: map[string]registry.Entry{},
			store: modelStore{number: 1, entries: map[string]registry.Entry{}}, left: map[*Follower]map[registry.Instance]bool{},
		}
		for _, id := range []string{"a", "b"} {
			m.alive[id] = registry.Entry{Instance: registry.Instance{ID: id, StartedMillis: 1}, Service: "s"}
			m.write(id)
		}
		m.copied = modelStore{number: m.store.number, entries: maps.Clone(m.store.entries)}
		m.hosts = lo.Times(3, func(int) *Follower { return m.newHost() })
		for _, f := range m.hosts {
			m.sync(f)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.step()
			m.check()
		}
		m.settle()
		m.check()
		for i, f := range m.hosts {
			ids := lo.Map(f.targets["s"], func(t registry.Target, _ int) string { return t.ID })
			m.g.Expect(ids).To(Equal(slices.Sorted(maps.Keys(m.alive))), "host %d", i)
		}
	})
}
