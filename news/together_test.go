package news_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/news"
	"github.com/chestnutfield/chestnutfield/roster"
)

var _ = Describe("hosts that act together", func() {
	var s *store
	BeforeEach(func() {
		s = newStore()
		s.put("t1", false)
		s.put("t2", false)
	})

	It("a host that lacks much takes it from the reader, not from the store", func() {
		hosts := fleet(s, 4)
		r := reader(hosts)
		rest := lo.Without(hosts, r)
		// Until the roster is the same everywhere, hosts may read themselves.
		time.Sleep(time.Second)
		ids := []string{"t1", "t2"}
		before := lo.SumBy(rest, func(h *host) int { return s.callsOf(h.name) })
		const rounds = 4
		for round := range rounds {
			for i := range 100 {
				id := fmt.Sprintf("u%d-%d", round, i)
				s.put(id, false)
				ids = append(ids, id)
			}
			s.configure(uint64(5 + round))
			slices.Sort(ids)
			all(hosts, (*host).open, ids)
			all(hosts, (*host).inForce, uint64(5+round))
		}
		// Each would read register and tables in each round; on a busy machine a
		// reader may be passed over now and then.
		Expect(lo.SumBy(rest, func(h *host) int { return s.callsOf(h.name) }) - before).To(BeNumerically("<", rounds*len(rest)))

		late := newHost(s, "late")
		Eventually(late.follower.Configured).WithTimeout(soon).Should(BeTrue())
		Eventually(late.open).WithTimeout(soon).Should(Equal(ids))
		Expect(late.inForce()).To(Equal(uint64(8)))
		Eventually(late.roster.Count).WithTimeout(soon).Should(Equal(5))
	})

	It("while the store is away, the reader tries for all", func() {
		hosts := fleet(s, 4)
		r := reader(hosts)
		time.Sleep(time.Second)
		before := lo.SliceToMap(hosts, func(h *host) (string, int) { return h.name, s.callsOf(h.name) })
		s.cut("", true)
		time.Sleep(4 * time.Second)
		for _, h := range lo.Without(hosts, r) {
			// One soon after the news are old, then one each two seconds.
			Expect(s.callsOf(h.name)-before[h.name]).To(BeNumerically("<=", 3), h.name)
		}
		s.cut("", false)
		s.put("t3", false)
		all(hosts, (*host).open, []string{"t1", "t2", "t3"})
	})

	It("a host that stops is asked by nobody any more, and the others go on at once", func() {
		hosts := fleet(s, 3)
		time.Sleep(time.Second)
		r := reader(hosts)
		rest := lo.Without(hosts, r)
		r.follower.Farewell(time.Minute)
		first := func(h *host) string { return h.roster.Order(time.Now(), roster.Task{Kind: "reader"})[0].Name }
		for _, h := range rest {
			Eventually(first).WithArguments(h).WithTimeout(soon).ShouldNot(Equal(r.name))
		}
		Expect(first(rest[0])).To(Equal(first(rest[1])))
		Expect(r.roster.Order(time.Now(), roster.Task{Kind: "reader"})).To(HaveLen(3))
		s.put("t1", true)
		all(hosts, (*host).open, []string{"t2"})
	})

	It("a host that was struck off by mistake makes itself known again", func() {
		hosts := fleet(s, 3)
		lost, ok := lo.Find(hosts, func(h *host) bool { return h != reader(hosts) })
		Expect(ok).To(BeTrue())
		time.Sleep(5 * time.Second)
		s.change(func() { delete(s.hosts, lost.name) })
		there := func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.hosts[lost.name] == lost.roster.Self()
		}
		Eventually(there).WithTimeout(soon).Should(BeTrue())
	})

	It("at the first start of all, hosts wait for the reader", func() {
		first := func(o *news.Options) { o.FirstStart = true }
		hosts := lo.Times(6, func(i int) *host { return newHost(s, fmt.Sprint("h", i), first) })
		for _, h := range hosts {
			Eventually(h.follower.Configured).WithTimeout(soon).Should(BeTrue())
			Eventually(h.roster.Count).WithTimeout(soon).Should(Equal(6))
		}
		all(hosts, (*host).open, []string{"t1", "t2"})
		// Each its own row and the hosts; register and tables are read by one. On a
		// busy machine a host or two may read themselves.
		others := lo.Without(hosts, reader(hosts))
		Expect(lo.SumBy(others, func(h *host) int { return s.callsOf(h.name) })).To(BeNumerically("<", 4*len(others)))
	})
})
