package faults

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// watch notes what the hosts do and judges it.
type watch struct {
	b  *hostsBed
	mu sync.Mutex
	// began is when the faults began and wokeAt when a paused host woke.
	began, wokeAt time.Time
	probes        map[netip.AddrPort][]time.Time
	// learnedAt is when each host learned that the first target leaves.
	learnedAt map[string]time.Time
	// accepts is when versions were accepted.
	accepts  map[uint64]time.Time
	versions map[string]uint64
	// reached is when a host first had a version or a later one.
	reached  map[string]map[uint64]time.Time
	problems []string
}

func newWatch(b *hostsBed) *watch {
	return &watch{b: b, probes: map[netip.AddrPort][]time.Time{}, learnedAt: map[string]time.Time{},
		accepts: map[uint64]time.Time{}, versions: map[string]uint64{}, reached: map[string]map[uint64]time.Time{}}
}

func (w *watch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.began = time.Now()
}

func (w *watch) woke() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wokeAt = time.Now()
}

func (w *watch) faulty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.began.IsZero()
}

// leaves reports whether a target says that it leaves.
func (w *watch) leaves(addr netip.AddrPort) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.c.has(targetDrains) && addr == targetAddr(0) && !w.began.IsZero() && time.Since(w.began) > drainAfter
}

// quiet reports whether the hosts but the first have nothing to dispatch: from
// when a target leaves until all of them have to know.
func (w *watch) quiet() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	since := time.Since(w.began) - drainAfter
	return w.b.c.has(targetDrains) && !w.began.IsZero() && since > -pickEvery && since < drainWithin+time.Second
}

func (w *watch) learned(h *sharingHost) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.learnedAt[h.name]; !ok {
		w.learnedAt[h.name] = time.Now()
	}
}

// probed notes a probe.
func (w *watch) probed(addr netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probes[addr] = append(w.probes[addr], time.Now())
}

// dispatched notes new work for a target; it returns whether that leaves.
func (w *watch) dispatched(h *sharingHost, addr netip.AddrPort) (leaves bool) {
	if leaves = w.leaves(addr); !leaves {
		return false
	}
	w.mu.Lock()
	now := time.Now()
	if first, ok := w.firstLearned(h, now); ok && now.Sub(first) > drainWithin {
		w.problems = append(w.problems, fmt.Sprintf("%s sent work to a leaving target %v after it was known", h.name, now.Sub(first)))
	}
	w.mu.Unlock()
	w.learned(h)
	return true
}

// firstLearned is when the first host learned that could tell this one. A host
// that was paused for longer than news goes round learns by itself.
func (w *watch) firstLearned(h *sharingHost, now time.Time) (first time.Time, ok bool) {
	paused := h == w.b.hosts[lastMember] && w.b.c.has(leaseLapsed)
	for name, at := range w.learnedAt {
		if name != h.name && (w.b.c.has(peersCut) || paused) {
			continue
		}
		if !ok || at.Before(first) {
			first, ok = at, true
		}
	}
	return first, ok && !first.After(now)
}

func (w *watch) accepted(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, twice := w.accepts[version]; twice {
		w.problems = append(w.problems, fmt.Sprintf("version %d was accepted twice", version))
	}
	w.accepts[version] = time.Now()
}

// inForce notes the version that a host has in force.
func (w *watch) inForce(h *sharingHost) {
	version := h.keeper.Current().Version
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.versions[h.name] {
		w.problems = append(w.problems, fmt.Sprintf("%s fell from version %d to %d", h.name, w.versions[h.name], version))
	}
	if w.reached[h.name] == nil {
		w.reached[h.name] = map[uint64]time.Time{}
	}
	for v := w.versions[h.name] + 1; v <= version; v++ {
		w.reached[h.name][v] = time.Now()
	}
	w.versions[h.name] = version
}

// judge asserts the invariants.
func (w *watch) judge() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.judgeProbes()
	w.judgeVersions()
	for _, p := range w.problems {
		w.b.t.Errorf("%s, seed %d: %s", w.b.c.name(), w.b.c.seed, p)
	}
	sent := 0
	for _, at := range w.probes {
		sent += len(at)
	}
	w.b.t.Logf("%s, seed %d: %d probes, versions %v, accepted %d", w.b.c.name(), w.b.c.seed, sent, w.versions, len(w.accepts))
}

// judgeProbes checks the budget of all hosts together in every second.
func (w *watch) judgeProbes() {
	for addr, sent := range w.probes {
		first := 0
		for i, at := range sent {
			for at.Sub(sent[first]) >= time.Second {
				first++
			}
			if n := i - first + 1; n > int(probeBudget) {
				w.problems = append(w.problems, fmt.Sprintf("%d probes of %s in the second to %v after the fault", n, addr, at.Sub(w.began)))
				break
			}
		}
	}
}

// judgeVersions checks that accepted versions came into force in time on hosts
// that had a way to them.
func (w *watch) judgeVersions() {
	noWay := w.b.c.has(storeDown) && w.b.c.has(peersCut)
	for version, at := range w.accepts {
		for i, h := range w.b.hosts {
			due := at
			switch {
			case noWay && at.After(w.began.Add(-inForceIn)), w.b.gone[h.name]:
				continue
			case i == lastMember && w.wokeAt.After(at):
				due = w.wokeAt
			}
			reached, ok := w.reached[h.name][version]
			if !ok || reached.Sub(due) > inForceIn {
				w.problems = append(w.problems, fmt.Sprintf("version %d was not in force on %s within %v", version, h.name, inForceIn))
			}
		}
	}
}
