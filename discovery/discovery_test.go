package discovery

import (
	"context"
	"errors"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/table"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i))
}

// listing returns a list of n hosts of which the last ones are leaving.
func listing(n, leaving int) []cloud.ListedHost {
	hosts := make([]cloud.ListedHost, n)
	for i := range hosts {
		hosts[i] = cloud.ListedHost{Service: "s", Addr: addr(i), FailureDomain: "a", Leaving: i >= n-leaving}
	}
	return hosts
}

var _ = Describe("catalog", func() {
	var c *catalog
	BeforeEach(func() {
		c = newCatalog()
		Expect(c.update(start, "s", listing(6, 0))).To(BeTrue())
	})
	after := func(d time.Duration, listed []cloud.ListedHost) (active int) {
		c.update(start.Add(d), "s", listed)
		all, draining := c.targets("s")
		return len(all) - len(draining)
	}

	It("drains targets that are marked as leaving or unlisted at once, and removes unlisted ones later", func() {
		Expect(after(2*time.Second, listing(6, 1))).To(Equal(5))
		Expect(after(4*time.Second, listing(4, 0))).To(Equal(4))
		all, _ := c.targets("s")
		Expect(all).To(HaveLen(6))
		after(2*time.Minute, listing(4, 0))
		all, _ = c.targets("s")
		Expect(all).To(HaveLen(4))
	})

	It("uses a target again when it is listed again", func() {
		after(2*time.Second, listing(5, 0))
		Expect(after(4*time.Second, listing(6, 0))).To(Equal(6))
	})

	It("keeps the targets when the list is empty or lost most of them, until the reads agree for massRemovalDelay", func() {
		Expect(after(2*time.Second, nil)).To(Equal(6))
		Expect(after(20*time.Second, listing(2, 0))).To(Equal(6))
		Expect(after(31*time.Second, listing(2, 0))).To(Equal(6))
		Expect(after(33*time.Second, listing(2, 0))).To(Equal(2))
	})

	It("restarts massRemovalDelay after a complete list", func() {
		after(2*time.Second, nil)
		after(20*time.Second, listing(6, 0))
		Expect(after(40*time.Second, nil)).To(Equal(6))
	})

	It("adds new targets from a list whose removals are delayed", func() {
		moved := []cloud.ListedHost{{Service: "s", Addr: addr(99), FailureDomain: "a"}}
		Expect(after(2*time.Second, moved)).To(Equal(7))
	})

	It("reports no change when nothing changed, and removes services that no pool names", func() {
		Expect(c.update(start.Add(time.Second), "s", listing(6, 0))).To(BeFalse())
		c.retain(nil)
		all, _ := c.targets("s")
		Expect(all).To(BeEmpty())
	})
})

type fixedTables struct{ t *table.Tables }

func (f fixedTables) Current() *table.Tables { return f.t }

type scriptedList struct {
	hosts []cloud.ListedHost
	err   error
}

func (l *scriptedList) List(context.Context, string) ([]cloud.ListedHost, error) {
	return l.hosts, l.err
}

var _ = Describe("Resolver", func() {
	pool := table.Pool{Name: "p", Service: "s"}

	It("keeps the targets while the list can't be read, and counts changes", func() {
		list := &scriptedList{hosts: listing(3, 1)}
		r, err := New(Options{
			List: list, Tables: fixedTables{&table.Tables{Pools: map[string]table.Pool{"p": pool}}},
		})
		Expect(err).NotTo(HaveOccurred())
		r.readAll(context.Background())
		list.err = errors.New("down")
		r.readAll(context.Background())
		all, draining := r.Targets(pool)
		Expect(all).To(HaveLen(3))
		Expect(draining).To(Equal([]netip.AddrPort{addr(2)}))
		Expect(r.Generation()).To(BeEquivalentTo(1))
	})

	It("reads a large list less often, within readBytesPerSecond", func() {
		r, err := New(Options{List: &scriptedList{}, Tables: fixedTables{&table.Tables{}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.interval(12)).To(BeNumerically(">=", minInterval))
		Expect(r.interval(1200)).To(BeNumerically(">=", 1200*entryBytes/readBytesPerSecond*time.Second))
	})

	It("returns the targets of a pool that lists them", func() {
		r, err := New(Options{List: &scriptedList{}, Tables: fixedTables{&table.Tables{}}})
		Expect(err).NotTo(HaveOccurred())
		fixed := table.Pool{Targets: []table.Target{{Addr: addr(1), FailureDomain: "a"}}}
		all, draining := r.Targets(fixed)
		Expect(all).To(Equal(fixed.Targets))
		Expect(draining).To(BeEmpty())
	})
})
