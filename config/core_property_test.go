package config

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/table"
)

// everywhereWithin is the stated time for a version to come into force.
const everywhereWithin = 12 * time.Second

// maxSettleSteps bounds the decisions of a host in a minute.
const maxSettleSteps = 2000

var worldPeers = []string{"a", "b", "c"}

// world is what surrounds one host: sources with their versions and outages.
// It drives a core and checks what must hold after every event.
type world struct {
	t        *rapid.T
	now      time.Time
	core     *core
	began    time.Time
	store    uint64
	storeUp  bool
	snapshot uint64
	snapUp   bool
	peers    map[string]uint64
	peersUp  bool
	pending  []action
	inForce  uint64
	ready    bool
}

func newWorld(t *rapid.T) *world {
	now := time.Unix(1_800_000_000, 0)
	seed := rapid.Uint64().Draw(t, "seed")
	w := &world{t: t, now: now, began: now, peers: map[string]uint64{}, storeUp: true, snapUp: true, peersUp: true}
	w.core = newCore(coreOptions{startWait: DefaultStartWait, giveUp: DefaultGiveUp}, now, rand.New(rand.NewPCG(seed, 1)))
	w.store = rapid.Uint64Range(0, 5).Draw(t, "store")
	w.snapshot = rapid.Uint64Range(0, w.store).Draw(t, "snapshot")
	for _, p := range worldPeers {
		w.peers[p] = rapid.Uint64Range(0, w.store).Draw(t, "peer")
	}
	return w
}

// take checks and records the actions of one event.
func (w *world) take(acts []action) {
	for _, a := range acts {
		in, ok := a.(install)
		if !ok {
			w.pending = append(w.pending, a)
			continue
		}
		v := in.tables.Version
		if w.ready && v <= w.inForce {
			w.t.Fatalf("version %d in force after %d", v, w.inForce)
		}
		if !w.ready && v < w.core.sources.highest && w.now.Before(w.began.Add(DefaultGiveUp)) {
			w.t.Fatalf("started with %d while %d was learned of", v, w.core.sources.highest)
		}
		w.ready, w.inForce = true, v
	}
	fetches := 0
	for _, a := range w.pending {
		if _, ok := a.(fetch); ok {
			fetches++
		}
	}
	if fetches > 1 {
		w.t.Fatalf("%d fetches at once", fetches)
	}
}

// complete ends one pending action as the world stands now.
func (w *world) complete(i int) {
	a := w.pending[i]
	w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	switch a := a.(type) {
	case pollStore:
		w.take(w.core.polled(w.now, w.store, w.err(w.storeUp)))
	case locateSnapshot:
		w.take(w.core.located(w.now, w.snapshot, w.err(w.snapUp)))
	case fetch:
		version, up := w.at(a.from)
		err := w.err(up)
		w.take(w.core.fetched(w.now, a.from, &table.Tables{Version: version}, nil, err))
	}
}

func (w *world) at(s source) (version uint64, up bool) {
	switch s.kind {
	case fromStore:
		return w.store, w.storeUp
	case fromSnapshot:
		return w.snapshot, w.snapUp
	default:
		return w.peers[s.peer], w.peersUp
	}
}

func (w *world) err(up bool) error {
	if up {
		return nil
	}
	return cloud.ErrUnavailable
}

// news lets one peer catch up, and tell this host when it can.
func (w *world) news() {
	p := rapid.SampledFrom(worldPeers).Draw(w.t, "peer")
	w.peers[p] = rapid.Uint64Range(w.peers[p], w.store).Draw(w.t, "caught up")
	if w.peersUp {
		w.take(w.core.heard(w.now, p, w.peers[p]))
	}
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	if w.now.Before(w.core.wake()) {
		return
	}
	w.take(w.core.tick(w.now))
}

func (w *world) step() {
	switch rapid.IntRange(0, 7).Draw(w.t, "step") {
	case 0:
		w.store += rapid.Uint64Range(1, 2).Draw(w.t, "accepted")
	case 1:
		w.news()
	case 2:
		w.storeUp = rapid.Bool().Draw(w.t, "store up")
	case 3:
		w.snapUp = rapid.Bool().Draw(w.t, "objects up")
		w.snapshot = rapid.Uint64Range(0, w.store).Draw(w.t, "snapshot")
	case 4:
		w.peersUp = rapid.Bool().Draw(w.t, "peers up")
	case 5:
		w.pass(time.Duration(rapid.IntRange(0, int(8*time.Second)).Draw(w.t, "passes")))
	default:
		if len(w.pending) > 0 {
			w.complete(rapid.IntRange(0, len(w.pending)-1).Draw(w.t, "completes"))
		}
	}
}

// settle ends all calls at once and lets time run to each wake.
func (w *world) settle(d time.Duration) {
	end := w.now.Add(d)
	for range maxSettleSteps {
		for done := 0; len(w.pending) > 0; done++ {
			w.complete(0)
			if done > maxSettleSteps {
				w.t.Fatalf("more than %d calls at one time", maxSettleSteps)
			}
		}
		next := w.core.wake()
		if next.After(end) {
			w.now = end
			return
		}
		w.now = next
		w.take(w.core.tick(w.now))
	}
	w.t.Fatalf("more than %d decisions in %v", maxSettleSteps, d)
}

// TestVersionsNeverFall: over any order of news, fetches and outages the
// version in force only grows, a start takes nothing older than what was
// learned of, and with the table service alone back a host is up to date
// within the stated time.
func TestVersionsNeverFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.take(w.core.tick(w.now))
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			w.step()
		}
		w.storeUp, w.peersUp = true, false
		w.snapUp = rapid.Bool().Draw(t, "objects up at the end")
		w.settle(everywhereWithin)
		if !w.ready || w.inForce != w.store {
			t.Fatalf("in force %d (ready %v), accepted %d", w.inForce, w.ready, w.store)
		}
	})
}

// TestPeersAloneSuffice: with both stores down a host that hears from one peer
// that it can reach comes to that peer's version within the stated time.
func TestPeersAloneSuffice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.storeUp, w.snapUp = false, false
		w.store = max(w.store, 1)
		w.take(w.core.tick(w.now))
		w.settle(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "outage")))
		w.peers["a"] = w.store
		w.take(w.core.heard(w.now, "a", w.store))
		w.settle(everywhereWithin)
		if !w.ready || w.inForce != w.store {
			t.Fatalf("in force %d (ready %v), peer has %d", w.inForce, w.ready, w.store)
		}
	})
}
