package config

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/table"
)

// propagationLimit is the specified time within which an accepted version must
// be installed.
const propagationLimit = 12 * time.Second

// maxSteps bounds the ticks of one runFor and the calls that end at one time;
// it catches a core that schedules work without end.
const maxSteps = 2000

var simulatedPeers = []string{"a", "b", "c"}

// simulation drives the core of one host with simulated sources, their versions
// and outages, and checks the invariants after every event.
type simulation struct {
	t         *rapid.T
	now       time.Time
	core      *core
	started   time.Time
	store     uint64
	storeUp   bool
	snapshot  uint64
	objectsUp bool
	peers     map[string]uint64
	peersUp   bool
	pending   []action
	installed uint64
	ready     bool
}

func newSimulation(t *rapid.T) *simulation {
	now := time.Unix(1_800_000_000, 0)
	seed := rapid.Uint64().Draw(t, "seed")
	s := &simulation{t: t, now: now, started: now, peers: map[string]uint64{}, storeUp: true, objectsUp: true, peersUp: true}
	s.core = newCore(coreOptions{discoveryTimeout: DefaultDiscoveryTimeout, catchUpTimeout: DefaultCatchUpTimeout}, now, rand.New(rand.NewPCG(seed, 1)))
	s.store = rapid.Uint64Range(0, 5).Draw(t, "store")
	s.snapshot = rapid.Uint64Range(0, s.store).Draw(t, "snapshot")
	for _, p := range simulatedPeers {
		s.peers[p] = rapid.Uint64Range(0, s.store).Draw(t, "peer")
	}
	return s
}

// record checks the actions of one event and keeps those that take time as
// pending.
func (s *simulation) record(acts []action) {
	for _, a := range acts {
		in, ok := a.(install)
		if !ok {
			s.pending = append(s.pending, a)
			continue
		}
		v := in.tables.Version
		if s.ready && v <= s.installed {
			s.t.Fatalf("version %d installed after %d", v, s.installed)
		}
		if !s.ready && v < s.core.sources.highest && s.now.Before(s.started.Add(DefaultCatchUpTimeout)) {
			s.t.Fatalf("started with %d while %d was learned of", v, s.core.sources.highest)
		}
		s.ready, s.installed = true, v
	}
	fetches := 0
	for _, a := range s.pending {
		if _, ok := a.(fetch); ok {
			fetches++
		}
	}
	if fetches > 1 {
		s.t.Fatalf("%d fetches at once", fetches)
	}
}

// complete ends one pending action with the current state of its source.
func (s *simulation) complete(i int) {
	a := s.pending[i]
	s.pending = append(s.pending[:i:i], s.pending[i+1:]...)
	switch a := a.(type) {
	case pollStore:
		s.record(s.core.handlePollResult(s.now, s.store, s.errIfDown(s.storeUp)))
	case locateSnapshot:
		s.record(s.core.handleSnapshotLocated(s.now, s.snapshot, s.errIfDown(s.objectsUp)))
	case fetch:
		version, up := s.sourceVersion(a.from)
		err := s.errIfDown(up)
		s.record(s.core.handleFetchResult(s.now, a.from, &table.Tables{Version: version}, nil, err))
	}
}

func (s *simulation) sourceVersion(src source) (version uint64, up bool) {
	switch src.kind {
	case fromStore:
		return s.store, s.storeUp
	case fromSnapshot:
		return s.snapshot, s.objectsUp
	default:
		return s.peers[src.peer], s.peersUp
	}
}

func (s *simulation) errIfDown(up bool) error {
	if up {
		return nil
	}
	return cloud.ErrUnavailable
}

// advancePeer raises one peer's version and announces it to the host if peers
// are up.
func (s *simulation) advancePeer() {
	p := rapid.SampledFrom(simulatedPeers).Draw(s.t, "peer")
	s.peers[p] = rapid.Uint64Range(s.peers[p], s.store).Draw(s.t, "caught up")
	if s.peersUp {
		s.record(s.core.handlePeerVersion(s.now, p, s.peers[p]))
	}
}

func (s *simulation) advanceClock(d time.Duration) {
	s.now = s.now.Add(d)
	if s.now.Before(s.core.nextTick()) {
		return
	}
	s.record(s.core.tick(s.now))
}

func (s *simulation) step() {
	switch rapid.IntRange(0, 7).Draw(s.t, "step") {
	case 0:
		s.store += rapid.Uint64Range(1, 2).Draw(s.t, "accepted")
	case 1:
		s.advancePeer()
	case 2:
		s.storeUp = rapid.Bool().Draw(s.t, "store up")
	case 3:
		s.objectsUp = rapid.Bool().Draw(s.t, "objects up")
		s.snapshot = rapid.Uint64Range(0, s.store).Draw(s.t, "snapshot")
	case 4:
		s.peersUp = rapid.Bool().Draw(s.t, "peers up")
	case 5:
		s.advanceClock(time.Duration(rapid.IntRange(0, int(8*time.Second)).Draw(s.t, "passes")))
	default:
		if len(s.pending) > 0 {
			s.complete(rapid.IntRange(0, len(s.pending)-1).Draw(s.t, "completes"))
		}
	}
}

// runFor lets d pass with a tick at each time that nextTick names; all calls
// end at once.
func (s *simulation) runFor(d time.Duration) {
	end := s.now.Add(d)
	for range maxSteps {
		for done := 0; len(s.pending) > 0; done++ {
			s.complete(0)
			if done > maxSteps {
				s.t.Fatalf("more than %d calls at one time", maxSteps)
			}
		}
		next := s.core.nextTick()
		if next.After(end) {
			s.now = end
			return
		}
		s.now = next
		s.record(s.core.tick(s.now))
	}
	s.t.Fatalf("more than %d decisions in %v", maxSteps, d)
}

// TestVersionsNeverFall checks over random orders of announcements, fetches and
// outages that the installed version only grows, that a starting host installs
// nothing older than the highest version it learned of, and that a host is up
// to date within propagationLimit once the table service alone is back.
func TestVersionsNeverFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.record(s.core.tick(s.now))
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			s.step()
		}
		s.storeUp, s.peersUp = true, false
		s.objectsUp = rapid.Bool().Draw(t, "objects up at the end")
		s.runFor(propagationLimit)
		if !s.ready || s.installed != s.store {
			t.Fatalf("installed version %d (ready %v), accepted %d", s.installed, s.ready, s.store)
		}
	})
}

// TestPeersAloneSuffice checks that with the table service and the object store
// down, a host installs the version that a reachable peer announces within
// propagationLimit.
func TestPeersAloneSuffice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.storeUp, s.objectsUp = false, false
		s.store = max(s.store, 1)
		s.record(s.core.tick(s.now))
		s.runFor(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "outage")))
		s.peers["a"] = s.store
		s.record(s.core.handlePeerVersion(s.now, "a", s.store))
		s.runFor(propagationLimit)
		if !s.ready || s.installed != s.store {
			t.Fatalf("installed version %d (ready %v), peer has %d", s.installed, s.ready, s.store)
		}
	})
}
