package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/table"
)

// Member is a live entry host.
type Member struct {
	Name          string
	FailureDomain string
}

// Group is the part of a pool that lies in one failure domain.
type Group struct {
	Pool          string
	FailureDomain string
}

// String returns the group's name, pool@failure-domain.
func (g Group) String() string { return g.Pool + "@" + g.FailureDomain }

// GroupByDomain groups the targets of a pool by failure domain. Each group
// keeps the order of its targets.
func GroupByDomain(pool string, targets []table.Target) map[Group][]table.Target {
	return lo.GroupBy(targets, func(t table.Target) Group {
		return Group{Pool: pool, FailureDomain: t.FailureDomain}
	})
}

// Assign returns the owner of a group: the member with the highest rendezvous
// weight among those in the group's failure domain, or among all members when
// that domain has none. ok is false when there are no members. Hosts that see the
// same members compute the same owner. A member that joins or leaves changes only
// the owners of the groups that it gains or loses.
func Assign(g Group, members []Member) (owner Member, ok bool) {
	candidates := lo.Filter(members, func(m Member, _ int) bool { return m.FailureDomain == g.FailureDomain })
	if len(candidates) == 0 {
		candidates = members
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	return slices.MaxFunc(candidates, func(a, b Member) int {
		if c := cmp.Compare(rendezvousWeight(g, a), rendezvousWeight(g, b)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	}), true
}

// rendezvousWeight returns the hash that ranks a member as owner of a group.
func rendezvousWeight(g Group, m Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{m.Name, g.Pool, g.FailureDomain} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
