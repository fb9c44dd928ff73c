package table_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/table"
)

// drawTables draws small tables with entries of a few names, so that two of them often
// share some.
func drawTables(t *rapid.T, version uint64) *table.Tables {
	out := table.Empty()
	out.Version = version
	some := func(kind string) map[string]int {
		return rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.IntRange(0, 2), 0, 4).Draw(t, kind)
	}
	for name, n := range some("routes") {
		out.Routes[name] = table.Route{Name: name, Rank: n, Regions: []string{fmt.Sprint(n)}}
	}
	for name, n := range some("pools") {
		out.Pools[name] = table.Pool{Name: name, Slots: n}
	}
	if rapid.Bool().Draw(t, "keys") {
		out.Workspaces = map[string]table.Workspace{}
		for name, n := range some("workspaces") {
			out.Workspaces[name] = table.Workspace{Name: name, Rank: &n, Burst: float64(n)}
		}
	}
	out.Limits.HeaderBytes = rapid.IntRange(0, 1).Draw(t, "limit")
	return out
}

// Guards against changes that turn a host's tables into others than the sender has, also
// when they span several versions.
func TestChangesLeadToTheSameTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		first, second, third := drawTables(t, 1), drawTables(t, 2), drawTables(t, 3)
		names, later := table.ChangedNames(first, second), table.ChangedNames(second, third)
		base, err := table.Digest(first)
		g.Expect(err).NotTo(HaveOccurred())
		data, err := table.EncodeChanges(table.NewChanges(base, table.Names{
			Pools: append(names.Pools, later.Pools...), Routes: append(names.Routes, later.Routes...),
			Workspaces: append(names.Workspaces, later.Workspaces...),
		}, third))
		g.Expect(err).NotTo(HaveOccurred())
		c, err := table.DecodeChanges(data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.Base).To(Equal(base))
		got := c.Apply(first)
		g.Expect(got).To(Equal(third))
		g.Expect(table.Digest(got)).To(Equal(must(table.Digest(third))))
		g.Expect(table.UpdateDigest(base, first, second, names)).To(Equal(must(table.Digest(second))))
		g.Expect(must(table.Digest(first)) == base).To(BeTrue(), "the base is unchanged")
		g.Expect(table.UpdateDigest(base, first, got, c.Names())).To(Equal(must(table.Digest(third))), "by the names that the receiver knows")
		if table.ChangedNames(first, third).Count() > 0 {
			g.Expect(table.Digest(third)).NotTo(Equal(base))
		}
	})
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
