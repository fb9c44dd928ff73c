package balance

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"
)

func testAddrs(n int) []netip.AddrPort {
	return lo.Times(n, func(i int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 9000+i)) })
}

// TestSubsetsBalanced checks that targets are shared evenly, that every host has
// some, and that few assignments change when a host leaves.
func TestSubsetsBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := lo.Times(rapid.IntRange(2, 30).Draw(t, "hosts"), func(i int) string { return fmt.Sprintf("entry-%02d", i) })
		targets := testAddrs(rapid.IntRange(1, 20).Draw(t, "targets"))
		size, shared, moved := subsetSize(len(targets)), map[int]int{}, 0
		for _, h := range hosts {
			mine := hostSubset(hosts, targets, h)
			if len(mine) == 0 || len(mine) > size {
				t.Fatalf("%s has %d targets, want 1 to %d", h, len(mine), size)
			}
			for _, i := range mine {
				shared[i]++
			}
			if h != hosts[0] {
				_, gone := lo.Difference(hostSubset(hosts[1:], targets, h), mine)
				moved += len(gone)
			}
		}
		bound := (len(hosts)*size + len(targets) - 1) / len(targets)
		if n := slices.Max(lo.Values(shared)); n > bound {
			t.Fatalf("a target is shared by %d hosts, bound %d", n, bound)
		}
		if moved > len(hosts)*size/2+size {
			t.Fatalf("%d of %d moved when one host left", moved, len(hosts)*size)
		}
	})
}

func TestSubsetOfUnlistedHostIsAll(t *testing.T) {
	if got := hostSubset([]string{"entry-1"}, testAddrs(6), "entry-2"); got != nil {
		t.Fatalf("got %v, want nil, which means all targets", got)
	}
}
