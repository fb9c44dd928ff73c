package desk_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/desk"
	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/mesh"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

func TestDesk(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "desk")
}

// asker reports the load that a test sets.
type asker struct {
	mu      sync.Mutex
	reports map[string]load.Report
	asked   int
}

func (a *asker) Ask(_ context.Context, t registry.Target, _ string) (load.Report, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked++
	return a.reports[t.ID], nil
}

func (a *asker) set(id string, present int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reports[id] = load.Report{InFlight: present, Utilization: load.Absent, Slots: 2, Slowdown: 1}
}

func (a *asker) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asked
}

// host is an entry host with everything that places requests.
type host struct {
	name   string
	node   *mesh.Node
	roster *roster.Roster
	asker  *asker
	client *desk.Client
	server *desk.Server
	local  *placement.Balancer
}

// uses sets the targets that a host's own register allows.
func (h *host) uses(ids ...string) {
	targets := lo.Map(ids, func(id string, _ int) registry.Target { return target(id) })
	h.local.Update(map[string]placement.PoolSpec{"p": {HealthPath: "/h", Targets: targets}})
}

func newHost(name string) *host {
	node, err := mesh.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop(), nil)
	Expect(err).NotTo(HaveOccurred())
	h := &host{
		name: name, node: node, asker: &asker{reports: map[string]load.Report{}},
		roster: roster.New(roster.Host{Name: name, Addr: node.Addr(), Strength: 1}),
	}
	local, err := placement.New(placement.Options{Asker: h.asker, FailureDomain: "a", QuestionsPerSecond: 1000, Seed: 1})
	Expect(err).NotTo(HaveOccurred())
	h.local = local
	h.uses("t1", "t2")
	h.asker.set("t1", 0)
	h.asker.set("t2", 0)
	h.server = desk.Serve(node, local, clockwork.NewRealClock(), zap.NewNop())
	h.client, err = desk.NewClient(desk.Options{
		Node: node, Roster: h.roster, Local: local, FailureDomain: "a", Clock: clockwork.NewRealClock(), Logger: zap.NewNop(),
	})
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = node.Run() }()
	DeferCleanup(func() { _ = node.Close() })
	return h
}

func target(id string) registry.Target {
	return registry.Target{Entry: registry.Entry{
		Instance: registry.Instance{ID: id, Born: 1}, Service: "p", FailureDomain: "a", Slots: 2,
		Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(80+len(id)+int(id[1]))),
	}}
}

// fleet returns hosts that know each other; the first is the desk of pool p.
func fleet(n int) []*host {
	hosts := make([]*host, n)
	all := make([]roster.Host, n)
	for i := range n {
		hosts[i] = newHost(string(rune('a' + i)))
		all[i] = hosts[i].roster.Self()
	}
	for _, h := range hosts {
		h.roster.Set(all)
	}
	first := hosts[0].roster.Order(time.Now(), desk.Task("p", 1))[0].Name
	for i, h := range hosts {
		if h.name == first {
			hosts[0], hosts[i] = hosts[i], hosts[0]
		}
	}
	return hosts
}

func query(timeout time.Duration) ports.PlaceQuery {
	now := time.Now()
	return ports.PlaceQuery{
		Pool: "p", Route: &table.Route{Objective: timeout / 4}, Received: now, Deadline: now.Add(timeout), RequestID: "r1",
	}
}

var succeeded = ports.Feedback{Result: ports.Result{Verdict: ports.Succeeded, Latency: 10 * time.Millisecond}}

const timeout = 20 * time.Second

var _ = Describe("a desk", func() {
	It("places the requests of all hosts, and hears how they end", func(ctx SpecContext) {
		hosts := fleet(3)
		for _, h := range hosts[1:] {
			a, refusal := h.client.Place(ctx, query(timeout))
			Expect(refusal).To(BeNil())
			Expect(a.(ports.IdentifiedAttempt).Identity()).To(HavePrefix("t"))
			Expect(a.(ports.ReasonedAttempt).Basis().By).To(Equal(hosts[0].node.Addr().String()))
			Expect(hosts[0].server.Open()).To(Equal(1))
			a.Done(time.Now(), succeeded)
			a.Done(time.Now(), succeeded)
			Eventually(hosts[0].server.Open).WithTimeout(timeout).Should(BeZero())
			Expect(h.asker.count()).To(BeZero())
		}
		Expect(hosts[0].asker.count()).To(BeNumerically(">", 0))
	}, NodeTimeout(time.Minute))

	It("keeps a request waiting until there is room, and shows that it lives", func(ctx SpecContext) {
		hosts := fleet(2)
		hosts[0].asker.set("t1", 9)
		hosts[0].asker.set("t2", 9)
		go func() {
			defer GinkgoRecover()
			time.Sleep(300 * time.Millisecond)
			hosts[0].asker.set("t2", 0)
		}()
		a, refusal := hosts[1].client.Place(ctx, query(timeout))
		Expect(refusal).To(BeNil())
		Expect(a.(ports.IdentifiedAttempt).Identity()).To(Equal("t2"))
		Expect(hosts[1].asker.count()).To(BeZero())
	}, NodeTimeout(time.Minute))

	It("that gives no sign of life is passed over, and the host looks itself", func(ctx SpecContext) {
		hosts := fleet(2)
		Expect(hosts[0].node.Close()).To(Succeed())
		a, refusal := hosts[1].client.Place(ctx, query(timeout))
		Expect(refusal).To(BeNil())
		Expect(a.(ports.ReasonedAttempt).Basis().By).To(BeEmpty())
		Expect(hosts[1].asker.count()).To(BeNumerically(">", 0))
		Expect(hosts[1].roster.Order(time.Now(), desk.Task("p", 1))[0].Name).To(Equal(hosts[1].name))
	}, NodeTimeout(time.Minute))

	It("is not asked by a host that is cut off, until another host answers it", func(ctx SpecContext) {
		hosts := fleet(9)
		self, others := hosts[1], append(hosts[:1:1], hosts[2:]...)
		for _, h := range others {
			Expect(h.node.Close()).To(Succeed())
		}
		place := func() {
			a, refusal := self.client.Place(ctx, query(timeout))
			Expect(refusal).To(BeNil())
			Expect(a.(ports.ReasonedAttempt).Basis().By).To(BeEmpty())
			a.Done(time.Now(), succeeded)
		}
		// Two desks each; what they cost is over then.
		place()
		place()
		asked := len(self.roster.Order(time.Now(), desk.Task("p", 1)))
		Expect(asked).To(BeNumerically("<=", 5), "desks that gave no sign of life are passed over")
		for range 10 {
			place()
		}
		Expect(self.roster.Order(time.Now(), desk.Task("p", 1))).To(HaveLen(asked), "no further desk was asked")
	}, NodeTimeout(time.Minute))

	It("that is lost while a request waits there hands it to nobody: its host looks itself", func(ctx SpecContext) {
		hosts := fleet(2)
		hosts[0].asker.set("t1", 9)
		hosts[0].asker.set("t2", 9)
		go func() {
			time.Sleep(100 * time.Millisecond)
			_ = hosts[0].node.Close()
		}()
		a, refusal := hosts[1].client.Place(ctx, query(timeout))
		Expect(refusal).To(BeNil())
		Expect(a.(ports.ReasonedAttempt).Basis().By).To(BeEmpty())
	}, NodeTimeout(time.Minute))

	It("forgets a request whose caller has gone", func(ctx SpecContext) {
		hosts := fleet(2)
		hosts[0].asker.set("t1", 9)
		hosts[0].asker.set("t2", 9)
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, refusal := hosts[1].client.Place(short, query(timeout))
		Expect(refusal.Reason).To(Equal(outcome.DeadlinePassed))
		Eventually(hosts[0].server.Open).WithTimeout(timeout).Should(BeZero())
	}, NodeTimeout(time.Minute))

	It("forgets a placed request by itself when nobody tells of its end", func(ctx SpecContext) {
		hosts := fleet(2)
		_, refusal := hosts[1].client.Place(ctx, query(400*time.Millisecond))
		Expect(refusal).To(BeNil())
		Expect(hosts[0].server.Open()).To(Equal(1))
		Eventually(hosts[0].server.Open).WithTimeout(timeout).Should(BeZero())
	}, NodeTimeout(time.Minute))

	It("refuses at once what no target can serve in time, and says when to come back", func(ctx SpecContext) {
		hosts := fleet(2)
		hosts[0].asker.set("t1", 9)
		hosts[0].asker.set("t2", 9)
		began := time.Now()
		_, refusal := hosts[1].client.Place(ctx, query(300*time.Millisecond))
		Expect(refusal.Reason).To(Equal(outcome.QueueFull))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
	}, NodeTimeout(time.Minute))

	It("that does not know of a leaving target sends nobody there who does", func(ctx SpecContext) {
		hosts := fleet(2)
		hosts[1].uses("t2")
		for range 10 {
			a, refusal := hosts[1].client.Place(ctx, query(timeout))
			Expect(refusal).To(BeNil())
			Expect(a.(ports.IdentifiedAttempt).Identity()).To(Equal("t2"))
			a.Done(time.Now(), succeeded)
		}
		hosts[1].uses()
		_, refusal := hosts[1].client.Place(ctx, query(timeout))
		Expect(refusal.Reason).To(Equal(outcome.NoTarget))
		Eventually(hosts[0].server.Open).WithTimeout(timeout).Should(BeZero())
	}, NodeTimeout(time.Minute))

	It("that does not know of a pool's targets yet keeps nobody from them", func(ctx SpecContext) {
		hosts := fleet(2)
		hosts[0].uses()
		a, refusal := hosts[1].client.Place(ctx, query(timeout))
		Expect(refusal).To(BeNil())
		Expect(a.(ports.ReasonedAttempt).Basis().By).To(BeEmpty())
		Expect(hosts[1].roster.Order(time.Now(), desk.Task("p", 1))).To(HaveLen(2))
	}, NodeTimeout(time.Minute))

	It("passes a target over that failed for another host", func(ctx SpecContext) {
		hosts := fleet(3)
		failed := ports.Feedback{Result: ports.Result{Verdict: ports.Failed}, ConnectFailed: true}
		a, _ := hosts[1].client.Place(ctx, query(timeout))
		bad := a.(ports.IdentifiedAttempt).Identity()
		a.Done(time.Now(), failed)
		Eventually(hosts[0].server.Open).WithTimeout(timeout).Should(BeZero())
		for range 5 {
			a, refusal := hosts[2].client.Place(ctx, query(timeout))
			Expect(refusal).To(BeNil())
			Expect(a.(ports.IdentifiedAttempt).Identity()).NotTo(Equal(bad))
			a.Done(time.Now(), succeeded)
		}
	}, NodeTimeout(time.Minute))
})
