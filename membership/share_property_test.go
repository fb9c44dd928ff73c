package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"
)

// world is a few cores, the rows they share, and what is cut.
type world struct {
	now   time.Duration
	rows  map[string]Member
	hosts []*worldHost
	// joinsAlways lets hosts join also while the network is cut and the store
	// is out of reach for some.
	joinsAlways bool
}

type worldHost struct {
	core *Core
	// side is the part of the network that the host is in.
	side           int
	noStore        bool
	dead           bool
	pausedUntil    time.Duration
	pending        []func()
	loseNextAnswer bool
}

func (w *world) join() {
	self := hostNamed(len(w.hosts) + 1)
	self.Incarnation += uint64(w.now.Milliseconds())
	core := NewCore(CoreOptions{Self: self, Timing: DefaultTiming(), Seed: uint64(len(w.hosts)), AssumedHosts: 64}, at(w.now))
	w.hosts = append(w.hosts, &worldHost{core: core})
}

// step advances the world by a second.
func (w *world) step() {
	w.now += time.Second
	for _, h := range w.hosts {
		if h.dead || h.pausedUntil > w.now {
			continue
		}
		for _, done := range h.pending {
			done()
		}
		h.pending = nil
		for _, a := range h.core.Tick(at(w.now)) {
			w.perform(h, a)
		}
		w.exchange(h)
	}
}

// perform lets a call take effect now and answers it in the next step.
func (w *world) perform(h *worldHost, a Action) {
	sent := w.now
	fail := h.noStore
	switch a := a.(type) {
	case WriteHeartbeat:
		if !fail {
			w.rows[a.Member.Name] = a.Member
		}
		lost := h.loseNextAnswer
		h.loseNextAnswer = false
		h.pending = append(h.pending, func() {
			if fail || lost {
				h.core.RenewFailed(at(w.now))
				return
			}
			h.core.Renewed(at(sent), at(w.now))
		})
	case ReadRows:
		rows := lo.Values(w.rows)
		slices.SortFunc(rows, func(a, b Member) int { return compareNames(a.Name, b.Name) })
		h.pending = append(h.pending, func() {
			if fail {
				h.core.ReadFailed(at(w.now))
				return
			}
			h.core.RowsRead(at(sent), at(w.now), rows)
		})
	}
}

func (w *world) exchange(h *worldHost) {
	for _, m := range h.core.Peers(at(w.now), 1) {
		for _, p := range w.hosts {
			if p.core.Self().Name != m.Name || p.dead || p.pausedUntil > w.now || p.side != h.side {
				continue
			}
			p.core.Heard(at(w.now), time.Time{}, h.core.Members(), h.core.Beats(at(w.now), 100))
			h.core.Heard(at(w.now), at(w.now), p.core.Members(), p.core.Beats(at(w.now), 100))
		}
	}
}

// shares returns the sum of the shares of the hosts whose lease covers them,
// and of all hosts that run.
func (w *world) shares() (held, all float64) {
	for _, h := range w.hosts {
		if h.dead || h.core.Self().State != Live {
			continue
		}
		share := 1 / float64(h.core.ShareCount(at(w.now)))
		all += share
		// A paused host acts on nothing, and asks Holds when it wakes.
		if h.pausedUntil <= w.now && h.core.Holds(at(w.now)) {
			held += share
		}
	}
	return held, all
}

func (w *world) splitWithoutStore() bool {
	split, noStore := false, false
	for _, h := range w.hosts {
		split = split || h.side != w.hosts[0].side
		noStore = noStore || h.noStore
	}
	return split && noStore
}

func (w *world) disturb(t *rapid.T) string {
	h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
	kinds := []string{"nothing", "join", "kill", "pause", "store", "cut", "heal", "lost", "leave"}
	kind := rapid.SampledFrom(kinds).Draw(t, "kind")
	switch kind {
	case "join":
		if len(w.hosts) < 12 && (w.joinsAlways || !w.splitWithoutStore()) {
			w.join()
		}
	case "kill":
		h.dead = true
	case "pause":
		h.pausedUntil = w.now + time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds"))*time.Second
	case "store":
		h.noStore = !h.noStore
	case "cut":
		for _, h := range w.hosts {
			h.side = rapid.IntRange(0, 1).Draw(t, "side")
		}
	case "heal":
		for _, h := range w.hosts {
			h.side, h.noStore = 0, false
		}
	case "lost":
		h.loseNextAnswer = true
	case "leave":
		for _, a := range h.core.Leave(at(w.now), rapid.Bool().Draw(t, "gone")) {
			w.perform(h, a)
		}
	}
	return kind
}

// checkShares brings hosts to join, die, pause, leave and lose the store and
// each other.
func checkShares(t *rapid.T, joinsAlways bool, mostHeld, mostOfAll float64) {
	w := &world{rows: map[string]Member{}, joinsAlways: joinsAlways}
	for range rapid.IntRange(1, 5).Draw(t, "hosts") {
		w.join()
	}
	trace := ""
	for range rapid.IntRange(1, 12).Draw(t, "disturbances") {
		trace += fmt.Sprintf("%v %s; ", w.now, w.disturb(t))
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.step()
			held, all := w.shares()
			if held > mostHeld+1e-9 {
				t.Fatalf("%v: shares under leases sum to %.3f after %s", w.now, held, trace)
			}
			if all > mostOfAll {
				t.Fatalf("%v: all shares sum to %.3f after %s", w.now, all, trace)
			}
		}
	}
}

// What leases cover is never exceeded. What hosts do without a lease at most
// doubles, but for hosts that nobody knows yet.
func TestSharesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkShares(t, false, 1, 2+1.0/joinDivisor) })
}

// When hosts join while the network is cut and the store is out of reach for
// one side, both sides may hold leases: the budget at most doubles.
func TestSharesAtMostDoubleWhenHostsJoinASplitDeployment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkShares(t, true, 2, 2+1.0/joinDivisor) })
}
