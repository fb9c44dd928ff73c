package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"
)

// simulation is a few cores, the rows that they share, and the faults in force.
type simulation struct {
	now   time.Duration
	rows  map[string]Member
	hosts []*simulatedHost
	// joinWhileSplit lets hosts join while the network is split and the table
	// service is out of reach for some of them.
	joinWhileSplit bool
}

type simulatedHost struct {
	core *Core
	// networkSide is the side of the split network that the host is on.
	networkSide int
	storeDown   bool
	dead        bool
	pausedUntil time.Duration
	pending     []func()
	loseNextAck bool
}

func (s *simulation) join() {
	self := hostNamed(len(s.hosts) + 1)
	self.Incarnation += uint64(s.now.Milliseconds())
	core := NewCore(CoreOptions{Self: self, Timing: DefaultTiming(), Seed: uint64(len(s.hosts)), AssumedHosts: 64}, at(s.now))
	s.hosts = append(s.hosts, &simulatedHost{core: core})
}

// step advances the simulation by one second.
func (s *simulation) step() {
	s.now += time.Second
	for _, h := range s.hosts {
		if h.dead || h.pausedUntil > s.now {
			continue
		}
		for _, done := range h.pending {
			done()
		}
		h.pending = nil
		for _, a := range h.core.Tick(at(s.now)) {
			s.perform(h, a)
		}
		s.exchange(h)
	}
}

// perform applies a call at once and answers it in the next step.
func (s *simulation) perform(h *simulatedHost, a Action) {
	sent := s.now
	fail := h.storeDown
	switch a := a.(type) {
	case WriteHeartbeat:
		if !fail {
			s.rows[a.Member.Name] = a.Member
		}
		lost := h.loseNextAck
		h.loseNextAck = false
		h.pending = append(h.pending, func() {
			if fail || lost {
				h.core.HandleRenewalFailure(at(s.now))
				return
			}
			h.core.HandleRenewal(at(sent), at(s.now))
		})
	case ReadRows:
		rows := lo.Values(s.rows)
		slices.SortFunc(rows, func(a, b Member) int { return compareNames(a.Name, b.Name) })
		h.pending = append(h.pending, func() {
			if fail {
				h.core.HandleReadFailure(at(s.now))
				return
			}
			h.core.HandleRows(at(sent), at(s.now), rows)
		})
	}
}

func (s *simulation) exchange(h *simulatedHost) {
	for _, m := range h.core.Peers(at(s.now), 1) {
		for _, p := range s.hosts {
			if p.core.Self().Name != m.Name || p.dead || p.pausedUntil > s.now || p.networkSide != h.networkSide {
				continue
			}
			p.core.HandlePeerUpdate(at(s.now), time.Time{}, h.core.Members(), h.core.RecentHeartbeats(at(s.now), 100))
			h.core.HandlePeerUpdate(at(s.now), at(s.now), p.core.Members(), p.core.RecentHeartbeats(at(s.now), 100))
		}
	}
}

// shares returns the sum of the shares of the hosts that hold their leases, and
// of all hosts that run.
func (s *simulation) shares() (held, all float64) {
	for _, h := range s.hosts {
		if h.dead || h.core.Self().State != Live {
			continue
		}
		share := 1 / float64(h.core.ShareDivisor(at(s.now)))
		all += share
		// A paused host uses no share, and calls Held when it resumes.
		if h.pausedUntil <= s.now && h.core.Held(at(s.now)) {
			held += share
		}
	}
	return held, all
}

func (s *simulation) splitWhileStoreDown() bool {
	split, storeDown := false, false
	for _, h := range s.hosts {
		split = split || h.networkSide != s.hosts[0].networkSide
		storeDown = storeDown || h.storeDown
	}
	return split && storeDown
}

func (s *simulation) injectFault(t *rapid.T) string {
	h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
	kinds := []string{"nothing", "join", "kill", "pause", "store", "cut", "heal", "lost", "leave"}
	kind := rapid.SampledFrom(kinds).Draw(t, "kind")
	switch kind {
	case "join":
		if len(s.hosts) < 12 && (s.joinWhileSplit || !s.splitWhileStoreDown()) {
			s.join()
		}
	case "kill":
		h.dead = true
	case "pause":
		h.pausedUntil = s.now + time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds"))*time.Second
	case "store":
		h.storeDown = !h.storeDown
	case "cut":
		for _, h := range s.hosts {
			h.networkSide = rapid.IntRange(0, 1).Draw(t, "side")
		}
	case "heal":
		for _, h := range s.hosts {
			h.networkSide, h.storeDown = 0, false
		}
	case "lost":
		h.loseNextAck = true
	case "leave":
		for _, a := range h.core.Leave(at(s.now), rapid.Bool().Draw(t, "gone")) {
			s.perform(h, a)
		}
	}
	return kind
}

// checkShares checks the sums of shares while hosts join, crash, pause, leave,
// and lose contact with the table service and each other.
func checkShares(t *rapid.T, joinWhileSplit bool, maxHeld, maxAll float64) {
	s := &simulation{rows: map[string]Member{}, joinWhileSplit: joinWhileSplit}
	for range rapid.IntRange(1, 5).Draw(t, "hosts") {
		s.join()
	}
	trace := ""
	for range rapid.IntRange(1, 12).Draw(t, "disturbances") {
		trace += fmt.Sprintf("%v %s; ", s.now, s.injectFault(t))
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			s.step()
			held, all := s.shares()
			if held > maxHeld+1e-9 {
				t.Fatalf("%v: shares under leases sum to %.3f after %s", s.now, held, trace)
			}
			if all > maxAll {
				t.Fatalf("%v: all shares sum to %.3f after %s", s.now, all, trace)
			}
		}
	}
}

// The shares of hosts that hold their leases never sum to more than the limit.
// Those of all hosts sum to at most twice the limit, apart from the reduced
// share of a host that no other host knows yet.
func TestSharesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkShares(t, false, 1, 2+1.0/maxJoinFactor) })
}

// When hosts join while the network is split and the table service is out of
// reach for one side, both sides may hold leases, so that the shares sum to at
// most twice the limit.
func TestSharesAtMostDoubleWhenHostsJoinASplitDeployment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkShares(t, true, 2, 2+1.0/maxJoinFactor) })
}
