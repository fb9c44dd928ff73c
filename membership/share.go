package membership

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// maxJoinFactor is the factor by which a host's share is reduced at first, while
// the other hosts may not know it yet.
const maxJoinFactor = 8

// hostCount returns the number of hosts that may use a share of the limits,
// this one included.
func (c *Core) hostCount() int { return len(c.peers) + 1 }

// ShareDivisor returns the number by which a shared limit is divided: the number
// of hosts that may still use a share, or a multiple of it while other hosts may
// not know this one. Before anything is known of other hosts, it is at least
// AssumedHosts.
func (c *Core) ShareDivisor(now time.Time) int {
	n := c.hostCount() * c.joinFactor(now)
	if !c.informed {
		return max(n, c.opt.AssumedHosts)
	}
	return n
}

// Informed reports whether a row read has succeeded or a peer's message has arrived, so
// that a list without other hosts means that there are none.
func (c *Core) Informed() bool { return c.informed }

// settledAfter is the time without a new host after which a host that could not read
// the rows takes the hosts that it has learned of from peers for all: at four
// exchanges a second, a host that one peer knows reaches a few hundred others in
// less.
const settledAfter = 2 * time.Second

// HostsKnown reports whether the counted hosts are all hosts, as far as this one can
// tell: it has read rows, or peers have named no new host for settledAfter. Rows are
// only believed to be all of them if there is one, since the first hosts of a
// deployment read none. It is false when another process runs under this host's name.
func (c *Core) HostsKnown(now time.Time) bool {
	if c.superseded {
		return false
	}
	return c.listed || len(c.peers) > 0 && now.Sub(c.grownAt) >= settledAfter
}

// joinFactor returns the factor by which ShareDivisor exceeds the number of
// hosts. It falls from maxJoinFactor to 1 in steps once this host has joined.
func (c *Core) joinFactor(now time.Time) int {
	if c.superseded || !c.lease.joined() {
		return maxJoinFactor
	}
	const stepsPerDelay = 4
	step := c.opt.Timing.JoinDelay(c.hostCount()) / stepsPerDelay
	steps := int(now.Sub(c.lease.joinedAt) / step)
	return max(maxJoinFactor>>min(steps+1, stepsPerDelay), 1)
}

// LiveHosts returns the names of the live hosts whose heartbeat grew within the
// last lease period, this one included, sorted.
func (c *Core) LiveHosts(now time.Time) []string {
	names := []string{}
	if c.self.State == Live {
		names = append(names, c.self.Name)
	}
	for _, e := range c.peers {
		if e.State == Live && !c.silent(e, now) {
			names = append(names, e.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Members returns every counted host, this one included, sorted by name.
func (c *Core) Members() []Member {
	out := lo.MapToSlice(c.peers, func(_ string, e *peerRecord) Member { return e.Member })
	out = append(out, c.self)
	slices.SortFunc(out, func(a, b Member) int { return compareNames(a.Name, b.Name) })
	return out
}

func compareNames(a, b string) int {
	if a < b {
		return -1
	}
	return lo.Ternary(a > b, 1, 0)
}

// silent reports whether the host's heartbeat has not grown for a lease.
func (c *Core) silent(e *peerRecord, now time.Time) bool {
	return elapsed(e.advancedAt, now) > c.opt.Timing.Lease
}

// Peers returns up to k random hosts to exchange messages with. One call in
// eight includes a silent host, if there is one, so that a repaired network is
// detected.
func (c *Core) Peers(now time.Time, k int) []Member {
	var heard, silent []Member
	for _, name := range lo.Keys(c.peers) {
		e := c.peers[name]
		if c.silent(e, now) {
			silent = append(silent, e.Member)
		} else {
			heard = append(heard, e.Member)
		}
	}
	byName := func(a, b Member) int { return compareNames(a.Name, b.Name) }
	slices.SortFunc(heard, byName)
	slices.SortFunc(silent, byName)
	c.rng.Shuffle(len(heard), func(i, j int) { heard[i], heard[j] = heard[j], heard[i] })
	c.rng.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	const silentOneIn = 8
	if len(silent) > 0 && (len(heard) == 0 || c.rng.IntN(silentOneIn) == 0) {
		heard = append([]Member{silent[0]}, heard...)
	}
	return heard[:min(k, len(heard))]
}
