// Package roster lists the entry hosts of a deployment, the hosts that accept
// the requests of callers, and ranks them for a task, so that all hosts agree on
// the one that does it without exchanging messages.
//
// Hosts announce themselves in the store, and no single observer removes a host
// from the list: a host that doesn't answer, or answers with outdated data, is
// skipped for a while by the host that noticed. Two hosts that disagree on who
// does a task both do it; every task is safe to be done twice.
package roster

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Host is one entry host.
type Host struct {
	Name string `json:"name"`
	// Addr is the address for messages from other hosts.
	Addr          netip.AddrPort `json:"addr"`
	FailureDomain string         `json:"failure_domain"`
	// Strength is the host's share of a processor core.
	Strength float64 `json:"strength"`
}

const (
	// minSkip is how long a host is skipped after its first failure, maxSkip
	// the longest time; it doubles with each further failure.
	minSkip = time.Second
	maxSkip = 30 * time.Second
)

// Task is work that one host does for all.
type Task struct {
	// Kind groups tasks: a host that fails at one is skipped for all tasks of
	// its kind.
	Kind string
	// Name identifies the task within its kind.
	Name string
}

// taskHost identifies one kind of tasks at one host.
type taskHost struct{ kind, host string }

// skipState records the failures that this host has seen of another.
type skipState struct {
	skippedUntil time.Time
	failures     int
}

// Roster holds the entry hosts. It is safe for concurrent use.
type Roster struct {
	self Host

	mu    sync.Mutex
	hosts map[string]Host
	skips map[taskHost]*skipState
	// leavingUntil holds the hosts that announced that they are leaving, and
	// until when they are skipped.
	leavingUntil map[string]time.Time
	// rankings caches the ranking of all hosts by task since the last change of
	// hosts.
	rankings map[Task][]Host
}

// New returns a roster that contains only this host.
func New(self Host) *Roster {
	return &Roster{
		self: self, hosts: map[string]Host{self.Name: self}, skips: map[taskHost]*skipState{},
		leavingUntil: map[string]time.Time{}, rankings: map[Task][]Host{},
	}
}

// Self returns this host.
func (r *Roster) Self() Host { return r.self }

// SetHosts replaces the hosts with those that announced themselves; it returns
// true when that changed anything. This host always remains among them.
func (r *Roster) SetHosts(hosts []Host) bool {
	next := lo.KeyBy(hosts, func(h Host) string { return h.Name })
	next[r.self.Name] = r.self
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := len(next) != len(r.hosts)
	for name, h := range next {
		if r.hosts[name] != h {
			// A host whose announcement changed is another process.
			maps.DeleteFunc(r.skips, func(key taskHost, _ *skipState) bool { return key.host == name })
			delete(r.leavingUntil, name)
			changed = true
		}
	}
	r.hosts = next
	if changed {
		clear(r.rankings)
	}
	return changed
}

// HasAddr reports whether a host has announced an address.
func (r *Roster) HasAddr(addr netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lo.SomeBy(lo.Values(r.hosts), func(h Host) bool { return h.Addr == addr })
}

// Count returns the number of hosts that announced themselves, skipped ones
// included: shared limits are divided by it.
func (r *Roster) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.hosts)
}

// LiveHosts returns the names of all hosts, skipped ones included, sorted. It
// implements lb.Membership.
func (r *Roster) LiveHosts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.hosts))
}

// ShareDivisor is the number of hosts that a shared limit is divided by. It
// implements lb.Membership.
func (r *Roster) ShareDivisor() int { return r.Count() }

// MarkFailed records that a host failed at a task of a kind; this kind of tasks
// skips the host for a while.
func (r *Roster) MarkFailed(now time.Time, kind, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := taskHost{kind, host}
	s := r.skips[key]
	if s == nil {
		s = &skipState{}
		r.skips[key] = s
	}
	s.skippedUntil = now.Add(min(minSkip<<min(s.failures, 10), maxSkip))
	s.failures++
}

// SkipUntil skips a host for a kind of tasks until a time. Unlike MarkFailed, it does
// not count as a failure.
func (r *Roster) SkipUntil(until time.Time, kind, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := taskHost{kind, host}
	if s := r.skips[key]; s == nil {
		r.skips[key] = &skipState{skippedUntil: until}
	} else if until.After(s.skippedUntil) {
		s.skippedUntil = until
	}
}

// MarkLeaving skips a host in all tasks until a time, because it announced that
// it is leaving. This host itself is ranked last instead of skipped; an unknown
// host is ignored.
func (r *Roster) MarkLeaving(host string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.hosts[host]; known {
		r.leavingUntil[host] = until
	}
}

// Others returns all hosts but this one.
func (r *Roster) Others() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lo.Values(lo.OmitByKeys(r.hosts, []string{r.self.Name}))
}

// Find returns the host with a name.
func (r *Roster) Find(name string) (Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, found := r.hosts[name]
	return h, found
}

// MarkHealthy records that a host did a task of a kind; it is no longer
// skipped.
func (r *Roster) MarkHealthy(kind, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.skips, taskHost{kind, host})
}

// maxCachedRankings bounds the tasks whose ranking is cached: the pools of a
// deployment, each with a few partitions.
const maxCachedRankings = 4096

// Rank returns the hosts that are not skipped, the one that should do a task
// first. Strong hosts go before weak ones: where a few hosts have several times
// the strength of the others, work done for all hosts would take up a weak host
// completely.
func (r *Roster) Rank(now time.Time, task Task) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.ranking(task)
	selfLeaves := now.Before(r.leavingUntil[r.self.Name])
	candidates := lo.Filter(all, func(h Host, _ int) bool {
		if h.Name == r.self.Name {
			return !selfLeaves
		}
		return !r.skipped(now, task.Kind, h.Name) && !now.Before(r.leavingUntil[h.Name])
	})
	if selfLeaves {
		candidates = append(candidates, r.self)
	}
	return candidates
}

// Candidate returns the first host of Rank without listing the others.
func (r *Roster) Candidate(now time.Time, task Task) Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, found := lo.Find(r.ranking(task), func(h Host) bool {
		return !now.Before(r.leavingUntil[h.Name]) && (h.Name == r.self.Name || !r.skipped(now, task.Kind, h.Name))
	})
	return lo.Ternary(found, first, r.self)
}

// Skipped reports whether a kind of tasks skips a host because it failed.
func (r *Roster) Skipped(now time.Time, kind, host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.skipped(now, kind, host)
}

// skipped is Skipped for a caller that holds the lock.
func (r *Roster) skipped(now time.Time, kind, host string) bool {
	s := r.skips[taskHost{kind, host}]
	return s != nil && now.Before(s.skippedUntil)
}

// First returns the host that should do a task when no host fails: the first of
// those that are not leaving, skipped or not.
func (r *Roster) First(now time.Time, task Task) Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, found := lo.Find(r.ranking(task), func(h Host) bool { return !now.Before(r.leavingUntil[h.Name]) })
	return lo.Ternary(found, first, r.self)
}

// Preferred returns the first hosts for a task, up to limit of them, those that
// fail or leave included: all hosts with the same list agree on them.
func (r *Roster) Preferred(task Task, limit int) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.ranking(task)
	return slices.Clone(all[:min(limit, len(all))])
}

// ranking returns all hosts ranked for a task. The caller holds the lock and
// must not change the result.
func (r *Roster) ranking(task Task) []Host {
	all, cached := r.rankings[task]
	if !cached {
		if len(r.rankings) >= maxCachedRankings {
			clear(r.rankings)
		}
		all = rankHosts(lo.Values(r.hosts), task)
		r.rankings[task] = all
	}
	return all
}

// strongFraction is the fraction of the greatest strength from which a host
// counts as strong.
const strongFraction = 0.5

// rankHosts sorts hosts for a task: the strong ones first, and each group by
// rendezvous hashing weighted by strength, so that a host that joins or leaves
// moves only its own tasks.
func rankHosts(hosts []Host, task Task) []Host {
	maxStrength := lo.Max(lo.Map(hosts, func(h Host, _ int) float64 { return h.Strength }))
	weights := make(map[string]float64, len(hosts))
	for _, h := range hosts {
		weights[h.Name] = rendezvousWeight(task, h)
	}
	weak := func(h Host) int { return lo.Ternary(h.Strength < strongFraction*maxStrength, 1, 0) }
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(weak(a), weak(b)), cmp.Compare(weights[b.Name], weights[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return hosts
}

// rendezvousWeight is the rendezvous hashing weight of a host for a task: a
// host of twice the strength comes first twice as often.
func rendezvousWeight(task Task, h Host) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(h.Name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(task.Kind)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(task.Name)
	// u is uniform over (0, 1).
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -max(h.Strength, math.SmallestNonzeroFloat32) / math.Log(u)
}
