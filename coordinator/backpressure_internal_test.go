package coordinator

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
)

// startWitness returns the fleet part of a host that serves no requests.
func startWitness(t *testing.T, g *WithT, name string, strength float64) *fleet {
	node, err := hostmsg.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = node.Close() })
	local, err := placement.New(placement.Options{LoadQuerier: placement.HTTPLoadQuerier{}})
	g.Expect(err).NotTo(HaveOccurred())
	f := newFleet(Options{
		Node: node, Roster: roster.New(roster.Host{Name: name, Addr: node.Addr(), Strength: strength}), Local: local,
		Clock: clockwork.NewRealClock(), Logger: zap.NewNop(),
	})
	go func() { _ = node.Run() }()
	return f
}

// TestDeadWitnessDelaysNoLease guards against the loss of leases of many partitions
// because one witness does not respond.
func TestDeadWitnessDelaysNoLease(t *testing.T) {
	g := NewWithT(t)
	holder, live, dead := startWitness(t, g, "holder", 1), startWitness(t, g, "live", 0.1), startWitness(t, g, "dead", 0.1)
	g.Expect(dead.Node.Close()).To(Succeed())
	holder.Roster.SetHosts([]roster.Host{holder.Roster.Self(), live.Roster.Self(), dead.Roster.Self()})
	pools := lo.Times(12, func(i int) string { return fmt.Sprint("p", i) })
	holder.Local.Update(lo.SliceToMap(pools, func(pool string) (string, placement.PoolSpec) {
		return pool, placement.PoolSpec{Targets: []registry.Target{{Entry: registry.Entry{Instance: registry.Instance{ID: "in-" + pool}}}}}
	}))
	for _, pool := range pools {
		holder.Local.RecordObservation(registry.Instance{ID: "in-" + pool}, backpressure.Observation{Limited: true, PerSecond: 1, SentAt: time.Now(), HeardAt: time.Now()}, "")
	}
	time.Sleep(leaseDuration)
	holder.renew(t.Context())
	for _, pool := range pools {
		g.Expect(holder.Role(pool, 1).HeldSince.IsZero()).To(BeFalse(), pool)
	}
}
