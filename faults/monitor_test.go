package faults

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// monitor records what the hosts do and checks it against the invariants.
type monitor struct {
	b  *clusterTestbed
	mu sync.Mutex
	// faultsBegan is the time when the faults were injected, resumedAt the time
	// when a paused host resumed.
	faultsBegan, resumedAt time.Time
	probes                 map[netip.AddrPort][]time.Time
	// learnedAt holds, by host, the time when it learned that the first target
	// is draining.
	learnedAt map[string]time.Time
	// acceptedAt holds the time when each configuration version was accepted.
	acceptedAt map[uint64]time.Time
	versions   map[string]uint64
	// reachedAt holds, by host, the time when it first had a version or a later
	// one in force.
	reachedAt  map[string]map[uint64]time.Time
	violations []string
}

func newMonitor(b *clusterTestbed) *monitor {
	return &monitor{b: b, probes: map[netip.AddrPort][]time.Time{}, learnedAt: map[string]time.Time{},
		acceptedAt: map[uint64]time.Time{}, versions: map[string]uint64{}, reachedAt: map[string]map[uint64]time.Time{}}
}

func (m *monitor) recordFaultStart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faultsBegan = time.Now()
}

func (m *monitor) recordResume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resumedAt = time.Now()
}

func (m *monitor) faultsActive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.faultsBegan.IsZero()
}

// isDraining reports whether a target says in its responses that it is draining.
func (m *monitor) isDraining(addr netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.b.c.has(targetDrains) && addr == targetAddr(0) && !m.faultsBegan.IsZero() && time.Since(m.faultsBegan) > drainDelay
}

// holdsDispatch reports whether only the first host may dispatch: from shortly
// before a target starts to drain until all hosts have to know of it.
func (m *monitor) holdsDispatch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	since := time.Since(m.faultsBegan) - drainDelay
	return m.b.c.has(targetDrains) && !m.faultsBegan.IsZero() && since > -pickInterval && since < maxDrainDelay+time.Second
}

func (m *monitor) recordDrainLearned(h *clusterHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.learnedAt[h.name]; !ok {
		m.learnedAt[h.name] = time.Now()
	}
}

// recordProbe records a probe of a target.
func (m *monitor) recordProbe(addr netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probes[addr] = append(m.probes[addr], time.Now())
}

// recordDispatch records a request dispatched to a target and returns whether the
// target is draining.
func (m *monitor) recordDispatch(h *clusterHost, addr netip.AddrPort) (draining bool) {
	if draining = m.isDraining(addr); !draining {
		return false
	}
	m.mu.Lock()
	now := time.Now()
	if first, ok := m.earliestNotice(h, now); ok && now.Sub(first) > maxDrainDelay {
		m.violations = append(m.violations, fmt.Sprintf("%s sent a request to a draining target %v after the drain was known", h.name, now.Sub(first)))
	}
	m.mu.Unlock()
	m.recordDrainLearned(h)
	return true
}

// earliestNotice returns the time when h, or the first host that could notify h,
// learned of the drain. A host that was paused for longer than the peers repeat
// the notice has to learn of it itself.
func (m *monitor) earliestNotice(h *clusterHost, now time.Time) (first time.Time, ok bool) {
	paused := h == m.b.hosts[lastMember] && m.b.c.has(leaseLapsed)
	for name, at := range m.learnedAt {
		if name != h.name && (m.b.c.has(peersCut) || paused) {
			continue
		}
		if !ok || at.Before(first) {
			first, ok = at, true
		}
	}
	return first, ok && !first.After(now)
}

func (m *monitor) recordAccepted(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, twice := m.acceptedAt[version]; twice {
		m.violations = append(m.violations, fmt.Sprintf("version %d was accepted twice", version))
	}
	m.acceptedAt[version] = time.Now()
}

// recordVersion records the configuration version that a host has in force.
func (m *monitor) recordVersion(h *clusterHost) {
	version := h.syncer.Current().Version
	m.mu.Lock()
	defer m.mu.Unlock()
	if version < m.versions[h.name] {
		m.violations = append(m.violations, fmt.Sprintf("%s went back from version %d to %d", h.name, m.versions[h.name], version))
	}
	if m.reachedAt[h.name] == nil {
		m.reachedAt[h.name] = map[uint64]time.Time{}
	}
	for v := m.versions[h.name] + 1; v <= version; v++ {
		m.reachedAt[h.name][v] = time.Now()
	}
	m.versions[h.name] = version
}

// checkInvariants fails the test for each violated invariant.
func (m *monitor) checkInvariants() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkProbeBudget()
	m.checkVersions()
	for _, p := range m.violations {
		m.b.t.Errorf("%s, seed %d: %s", m.b.c.name(), m.b.c.seed, p)
	}
	sent := 0
	for _, at := range m.probes {
		sent += len(at)
	}
	m.b.t.Logf("%s, seed %d: %d probes, versions %v, accepted %d", m.b.c.name(), m.b.c.seed, sent, m.versions, len(m.acceptedAt))
}

// checkProbeBudget checks that all hosts together stay within the probe budget of
// a target in every window of one second.
func (m *monitor) checkProbeBudget() {
	for addr, sent := range m.probes {
		first := 0
		for i, at := range sent {
			for at.Sub(sent[first]) >= time.Second {
				first++
			}
			if n := i - first + 1; n > int(probeBudget) {
				m.violations = append(m.violations, fmt.Sprintf("%d probes of %s in the second to %v after the fault", n, addr, at.Sub(m.faultsBegan)))
				break
			}
		}
	}
}

// checkVersions checks that accepted versions were in force within
// maxInstallDelay on each host that could obtain them.
func (m *monitor) checkVersions() {
	unreachable := m.b.c.has(storeDown) && m.b.c.has(peersCut)
	for version, at := range m.acceptedAt {
		for i, h := range m.b.hosts {
			due := at
			switch {
			case unreachable && at.After(m.faultsBegan.Add(-maxInstallDelay)), m.b.inactive[h.name]:
				continue
			case i == lastMember && m.resumedAt.After(at):
				due = m.resumedAt
			}
			reached, ok := m.reachedAt[h.name][version]
			if !ok || reached.Sub(due) > maxInstallDelay {
				m.violations = append(m.violations, fmt.Sprintf("version %d was not in force on %s within %v", version, h.name, maxInstallDelay))
			}
		}
	}
}
