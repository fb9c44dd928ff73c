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

// Group is the part of a pool that stands in one failure domain.
type Group struct {
	Pool          string
	FailureDomain string
}

// String returns pool@failure-domain.
func (g Group) String() string { return g.Pool + "@" + g.FailureDomain }

// Split sorts the targets of a pool into groups, ordered by failure domain.
func Split(pool string, targets []table.Target) map[Group][]table.Target {
	return lo.GroupBy(targets, func(t table.Target) Group {
		return Group{Pool: pool, FailureDomain: t.FailureDomain}
	})
}

// Assign returns the owner of a group: the member with the highest hash of
// member and group among those of the group's failure domain, or among all
// members when that domain has none. ok is false without members. Hosts that
// see the same members agree; a member that comes or goes moves only the
// groups that it gains or loses.
func Assign(g Group, members []Member) (owner Member, ok bool) {
	near := lo.Filter(members, func(m Member, _ int) bool { return m.FailureDomain == g.FailureDomain })
	if len(near) == 0 {
		near = members
	}
	if len(near) == 0 {
		return Member{}, false
	}
	return slices.MaxFunc(near, func(a, b Member) int {
		if c := cmp.Compare(weight(g, a), weight(g, b)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	}), true
}

// weight is the rendezvous weight of a member for a group.
func weight(g Group, m Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{m.Name, g.Pool, g.FailureDomain} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
