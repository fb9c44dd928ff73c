package owner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/owner"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func members(n int) []owner.Member {
	ms := make([]owner.Member, n)
	for i := range ms {
		ms[i] = owner.Member{Name: fmt.Sprintf("entry-%d", i), FailureDomain: string(rune('a' + i%3))}
	}
	return ms
}

var _ = Describe("Assign", func() {
	It("prefers a member of the group's failure domain", func() {
		for _, domain := range []string{"a", "b", "c"} {
			m, ok := owner.Assign(owner.Group{Pool: "p", FailureDomain: domain}, members(18))
			Expect(ok).To(BeTrue())
			Expect(m.FailureDomain).To(Equal(domain))
		}
		_, ok := owner.Assign(owner.Group{Pool: "p", FailureDomain: "z"}, members(18))
		Expect(ok).To(BeTrue())
		_, ok = owner.Assign(owner.Group{Pool: "p", FailureDomain: "z"}, nil)
		Expect(ok).To(BeFalse())
	})
})

// TestAssignMovesOnlyWhatItMust checks that the order of the members does not
// matter and that a member that leaves changes the owner of no group but its own.
func TestAssignMovesOnlyWhatItMust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(2, 40).Draw(t, "members"))
		g := owner.Group{
			Pool:          rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "pool"),
			FailureDomain: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "domain"),
		}
		before, _ := owner.Assign(g, all)
		shuffled := rapid.Permutation(all).Draw(t, "order")
		if again, _ := owner.Assign(g, shuffled); again != before {
			t.Fatalf("order of members changed the owner: %v, %v", before, again)
		}
		left := rapid.SampledFrom(all).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(all), func(m owner.Member) bool { return m == left })
		after, _ := owner.Assign(g, rest)
		if left != before && after != before {
			t.Fatalf("%v left, but the owner moved from %v to %v", left, before, after)
		}
	})
}

var (
	near = owner.Group{Pool: "p", FailureDomain: "a"}
	far  = owner.Group{Pool: "p", FailureDomain: "b"}
)

func newChooser(distance time.Duration) *owner.Chooser {
	c := owner.NewChooser(1)
	c.Update([]owner.GroupSpec{{Group: near, Slots: 8}, {Group: far, Slots: 8, NetworkDelay: distance}})
	return c
}

func picks(c *owner.Chooser, now time.Time, n int) map[owner.Group]int {
	got := map[owner.Group]int{}
	for range n {
		g, ok := c.Pick(now, nil)
		Expect(ok).To(BeTrue())
		got[g]++
	}
	return got
}

var _ = Describe("Chooser", func() {
	It("prefers the near group while it has free slots, and spills over by expected time", func() {
		c := newChooser(1500 * time.Microsecond)
		got := picks(c, start, 30)
		Expect(got[near]).To(BeNumerically(">=", 8))
		Expect(got[far]).To(BeNumerically(">", 8))
	})

	It("does not overload the group with the lowest load in stale reports", func() {
		c := newChooser(0)
		service := 20 * time.Millisecond
		c.RecordLoad(start, near, owner.GroupLoad{Backlog: 8, Slots: 8, ServiceTime: service})
		c.RecordLoad(start, far, owner.GroupLoad{Backlog: 2, Slots: 8, ServiceTime: service})
		at := start.Add(50 * time.Millisecond)
		got := map[owner.Group]int{}
		for range 1000 {
			g, _ := c.Pick(at, nil)
			got[g]++
			c.Done(g)
			c.RecordLoad(start, near, owner.GroupLoad{Backlog: 8, Slots: 8, ServiceTime: service})
			c.RecordLoad(start, far, owner.GroupLoad{Backlog: 2, Slots: 8, ServiceTime: service})
		}
		Expect(got[far]).To(BeNumerically(">", got[near]))
		Expect(got[near]).To(BeNumerically(">", 330))
	})

	It("avoids the group that reports a long queue", func() {
		c := newChooser(0)
		Expect(c.RecordLoad(start, near, owner.GroupLoad{Backlog: 40, Slots: 8, ServiceTime: 10 * time.Millisecond})).To(BeTrue())
		Expect(c.RecordLoad(start, far, owner.GroupLoad{Backlog: 4, Slots: 8, ServiceTime: 10 * time.Millisecond})).To(BeTrue())
		Expect(picks(c, start, 20)[far]).To(Equal(20))
	})

	It("gives an old report less weight than its own requests", func() {
		c := newChooser(0)
		c.RecordLoad(start, near, owner.GroupLoad{Backlog: 0, Slots: 8, ServiceTime: 10 * time.Millisecond})
		got := picks(c, start.Add(time.Minute), 40)
		Expect(got[far]).To(BeNumerically(">=", 15))
		Expect(got[near]).To(BeNumerically(">=", 15))
	})

	It("sends less to a slower group, so that the waiting times are equal", func() {
		c := newChooser(0)
		report := func() {
			c.RecordLoad(start, near, owner.GroupLoad{Backlog: 8, Slots: 8, ServiceTime: 80 * time.Millisecond})
			c.RecordLoad(start, far, owner.GroupLoad{Backlog: 8, Slots: 8, ServiceTime: 20 * time.Millisecond})
		}
		report()
		got := map[owner.Group]int{}
		for range 200 {
			g, _ := c.Pick(start.Add(10*time.Millisecond), nil)
			got[g]++
			c.Done(g)
			report()
		}
		Expect(got[near]).To(BeNumerically("<", 20))
	})

	It("rejects invalid loads", func() {
		c := newChooser(0)
		Expect(c.RecordLoad(start, near, owner.GroupLoad{Backlog: -1, Slots: 8})).To(BeFalse())
		Expect(c.RecordLoad(start, near, owner.GroupLoad{Backlog: 1, Slots: 1 << 30})).To(BeFalse())
		Expect(c.RecordLoad(start, near, owner.GroupLoad{ServiceTime: 2 * time.Hour})).To(BeFalse())
	})

	It("skips a group whose owner is unreachable, then tries it again", func() {
		c := newChooser(0)
		c.MarkUnreachable(start, near)
		Expect(picks(c, start, 20)[near]).To(BeZero())
		c = newChooser(0)
		c.MarkUnreachable(start, near)
		Expect(picks(c, start.Add(2*time.Second), 20)[near]).To(BeNumerically(">", 0))
	})

	It("tries an unreachable owner with one request at a time until it responds", func() {
		c := newChooser(0)
		c.MarkUnreachable(start, near)
		later := start.Add(2 * time.Second)
		Expect(picks(c, later, 40)[near]).To(Equal(1))
		Expect(picks(c, later.Add(500*time.Millisecond), 40)[near]).To(BeZero())
		c.MarkReachable(near)
		Expect(picks(c, later.Add(500*time.Millisecond), 40)[near]).To(BeNumerically(">", 1))
	})

	It("is available while an owner can be reached", func() {
		c := newChooser(0)
		Expect(c.Available(start)).To(BeTrue())
		c.MarkUnreachable(start, near)
		Expect(c.Available(start)).To(BeTrue())
		c.MarkUnreachable(start, far)
		Expect(c.Available(start)).To(BeFalse())
		Expect(c.Available(start.Add(2 * time.Second))).To(BeTrue())
	})

	It("finds no group without groups, with all excluded, or without slots", func() {
		c := newChooser(0)
		_, ok := c.Pick(start, []owner.Group{near, far})
		Expect(ok).To(BeFalse())
		c.RecordLoad(start, near, owner.GroupLoad{Slots: 0})
		c.RecordLoad(start, far, owner.GroupLoad{Slots: 0})
		_, ok = c.Pick(start, nil)
		Expect(ok).To(BeFalse())
		c.Update(nil)
		_, ok = c.Pick(start, nil)
		Expect(ok).To(BeFalse())
	})

	It("keeps the state of groups that remain", func() {
		c := newChooser(0)
		c.RecordLoad(start, near, owner.GroupLoad{Backlog: 40, Slots: 8, ServiceTime: time.Millisecond})
		c.Update([]owner.GroupSpec{{Group: near, Slots: 8}, {Group: far, Slots: 8}})
		Expect(picks(c, start, 10)[far]).To(Equal(10))
	})
})
