package host

import (
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/limit"
	"github.com/chestnutfield/chestnutfield/table"
)

func specTarget(i int) table.Target {
	return table.Target{
		Addr:          netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
		FailureDomain: string(rune('a' + i%3)),
	}
}

var _ = Describe("buildSpecs", func() {
	pool := table.Pool{
		Name: "p", Slots: 2, Drain: []netip.AddrPort{specTarget(0).Addr},
		Targets: []table.Target{specTarget(0), specTarget(1), specTarget(2), specTarget(3)},
	}
	build := func(p table.Pool, leaving map[netip.AddrPort]bool) specs {
		return buildSpecs(&table.Tables{Pools: map[string]table.Pool{"p": p}},
			func(p table.Pool) ([]table.Target, []netip.AddrPort) { return p.Targets, nil },
			func(string) map[netip.AddrPort]bool { return leaving })
	}

	It("counts the slots of targets that take new work, by group", func() {
		s := build(pool, map[netip.AddrPort]bool{specTarget(1).Addr: false, specTarget(2).Addr: true})
		Expect(s.slots).To(Equal(map[string]int{"p@a": 2, "p@b": 0, "p@c": 2}))
		Expect(s.groups["p@a"]).To(Equal(limit.Capacity{Targets: 1, Slots: 2}))
		Expect(s.pools["p"].Targets).To(ConsistOf(specTarget(2), specTarget(3)))
		Expect(s.targets["p@a"].Targets).To(HaveLen(2))
	})

	It("hands over the pools that are owned and no others", func() {
		direct := pool
		direct.Policy = balance.P2C
		s := build(direct, nil)
		Expect(s.pools).To(BeEmpty())
		Expect(s.targets["p"].Policy).To(Equal(balance.P2C))
		Expect(build(pool, nil).targets["p"].Policy).To(BeEmpty())
	})

	It("knows every policy that tables may name", func() {
		Expect(lo.Without(table.Policies, table.PolicyOwned)).To(ConsistOf(balance.PolicyNames()))
	})
})
