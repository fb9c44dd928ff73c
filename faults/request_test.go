package faults

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/discovery"
	"github.com/chestnutfield/chestnutfield/handoff"
	"github.com/chestnutfield/chestnutfield/ledger"
	"github.com/chestnutfield/chestnutfield/limit"
	"github.com/chestnutfield/chestnutfield/owner"
	"github.com/chestnutfield/chestnutfield/proxy"
	"github.com/chestnutfield/chestnutfield/retry"
	"github.com/chestnutfield/chestnutfield/table"
	"github.com/chestnutfield/chestnutfield/upstream"
)

const (
	hostCount   = 3
	targetCount = 4
	poolName    = "catalogue"
	// lookupTimeout, orderTimeout and batchTimeout are the deadlines of the
	// routes, and the bounds on the wait of each class.
	lookupTimeout = time.Second
	orderTimeout  = 2 * time.Second
	batchTimeout  = 5 * time.Second
	// faultDelay is the time from the first call to the faults.
	faultDelay = time.Second
	// callDuration is the time for which new calls are made.
	callDuration = 4 * time.Second
	// maxDrainDelay is the time after which no host may dispatch to a draining
	// target any longer, counted from the first notice of the drain.
	maxDrainDelay = 2 * time.Second
	// propagationDelay is the simulated time in which peers learn of a drain.
	propagationDelay = 100 * time.Millisecond
)

func targetAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i))
}

func failureDomain(i int) string { return string(rune('a' + i%3)) }

// targetFailureDomain returns the failure domain of a target. The third failure
// domain, and thus the last host, has no targets.
func targetFailureDomain(i int) string { return failureDomain(i % 2) }

// staticMembership is a membership that never detects a dead host.
type staticMembership []string

func (n staticMembership) LiveHosts() []string { return n }
func (n staticMembership) ShareDivisor() int   { return len(n) }

// lazyLedger holds a ledger that is created later, inside the synctest bubble.
type lazyLedger struct{ *ledger.Ledger }

// fixedTables provides tables that never change.
type fixedTables struct{ t *table.Tables }

func (o fixedTables) Current() *table.Tables { return o.t }

// proxyHost holds the components of the forwarding path of one host.
type proxyHost struct {
	name           string
	callers, peers *proxy.Server
	balancer       *balance.Balancer
	handoff        *handoff.Balancer
	direct, groups *limit.Admission
	meter          *handoff.Meter
	ledger         *lazyLedger
	resolver       *discovery.Resolver
	stop           context.CancelFunc
}

func (h *proxyHost) callersAddr() string { return h.name + ":80" }

// requestTestbed runs three hosts and four targets.
type requestTestbed struct {
	t           *testing.T
	c           faultCase
	network     *memNetwork
	store       *fake.Table
	list        *fake.HostList
	tables      fixedTables
	hosts       []*proxyHost
	targets     []*target
	log         *runLog
	ctx         context.Context
	began       time.Time
	background  sync.WaitGroup
	activeCalls sync.WaitGroup
}

func peerAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 2}), uint16(7000+i))
}

// runRequests creates the hosts outside of the synctest bubble, because the
// servers watch real sockets.
func runRequests(t *testing.T, c faultCase) {
	b := &requestTestbed{t: t, c: c, network: newMemNetwork(), store: fake.NewTable(), list: fake.NewHostList(), log: newRunLog()}
	pool := table.Pool{Name: poolName, Slots: 2, Connections: 250}
	if !c.has(ownerKilled, peersCut) && c.seed%2 == 0 {
		pool.Policy = balance.DefaultPolicy
	}
	for i := range targetCount {
		pool.Targets = append(pool.Targets, table.Target{Addr: targetAddr(i), FailureDomain: targetFailureDomain(i)})
	}
	if c.has(listStale) {
		pool.Targets, pool.Service = nil, poolName
	}
	b.tables = fixedTables{&table.Tables{Version: 1, Pools: map[string]table.Pool{poolName: pool}, Routes: routes()}}
	for i := range hostCount {
		b.hosts = append(b.hosts, b.newHost(i))
	}
	synctest.Test(t, func(t *testing.T) {
		b.t = t
		b.run()
	})
}

func routes() map[string]table.Route {
	return map[string]table.Route{
		"lookup": {Name: "lookup", PathPrefix: "/lookup/", Pool: poolName, Class: table.Lookup, Idempotent: true,
			Retries: 1, Timeout: lookupTimeout},
		"order": {Name: "order", PathPrefix: "/order/", Pool: poolName, Class: table.Order, Timeout: orderTimeout},
		"batch": {Name: "batch", PathPrefix: "/batch/", Pool: poolName, Class: table.Batch, Idempotent: true,
			Timeout: batchTimeout},
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func hostName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (b *requestTestbed) newHost(i int) *proxyHost {
	members := staticMembership(lo.Times(hostCount, hostName))
	h := &proxyHost{name: hostName(i), ledger: &lazyLedger{}}
	h.balancer = must(balance.New(balance.Options{
		Host: h.name, FailureDomain: failureDomain(i), Seed: b.c.seed, Membership: members,
		OnDrain: func(_ time.Time, target netip.AddrPort) { b.propagateDrain(h, target) },
	}))
	h.handoff = handoff.New(handoff.Options{Self: member(i), Direct: h.balancer, Seed: b.c.seed})
	h.direct = must(limit.New(limit.Options{Membership: members}))
	h.groups = must(limit.New(limit.Options{
		NewLimiter: func(_, _ float64) limit.Limiter { return limit.NewFixed() },
	}))
	h.meter = handoff.NewMeter(h.groups)
	h.resolver = must(discovery.New(discovery.Options{List: b.list, Tables: b.tables, Seed: b.c.seed}))
	up := upstream.Options{Dial: b.network.dialer(h.name)}
	h.callers = must(proxy.New(proxy.Options{
		Tables: b.tables, Balancer: h.handoff, Admission: h.handoff.Admission(h.direct), Membership: members,
		Retries: must(retry.New(retry.Options{Name: "retry", Membership: members})), Ledger: h.ledger, Upstream: up,
	}))
	h.peers = must(proxy.New(proxy.Options{
		Tables: b.tables, Balancer: h.balancer, Admission: h.meter, Membership: members, Upstream: up,
		PeerServer: &proxy.PeerServerOptions{Load: h.meter.GroupLoadHeader},
	}))
	return h
}

func member(i int) owner.Member {
	return owner.Member{Name: hostName(i), FailureDomain: failureDomain(i)}
}

// propagateDrain notifies the other hosts that a target is draining, as the peer
// exchange does.
func (b *requestTestbed) propagateDrain(from *proxyHost, target netip.AddrPort) {
	if b.c.has(peersCut) {
		return
	}
	b.background.Go(func() {
		time.Sleep(propagationDelay)
		for _, h := range b.hosts {
			if h != from {
				h.balancer.MarkDraining(time.Now(), target)
			}
		}
	})
}

// run injects the faults while calls are made and checks the invariants at the
// end.
func (b *requestTestbed) run() {
	ctx, cancel := context.WithCancel(context.Background())
	b.ctx = ctx
	for i := range targetCount {
		b.targets = append(b.targets, b.newTarget(i))
	}
	b.fillHostList()
	for i, h := range b.hosts {
		b.start(i, h)
	}
	time.Sleep(propagationDelay)
	b.began = time.Now()
	b.background.Go(b.injectFaults)
	b.issueCalls()
	b.activeCalls.Wait()
	b.log.checkInvariants(b)
	cancel()
	for _, h := range b.hosts {
		_ = h.callers.Shutdown(ctx)
		_ = h.peers.Shutdown(ctx)
	}
	b.network.close()
	b.background.Wait()
	time.Sleep(serverStopTime)
}

// loseAcks loses the acknowledgement of one write every 5 propagation delays.
func (b *requestTestbed) loseAcks() {
	for b.ctx.Err() == nil {
		b.store.LoseAcks(1)
		time.Sleep(5 * propagationDelay)
	}
}

// serverStopTime is the time after which the goroutines of a stopped HTTP server
// have ended.
const serverStopTime = 15 * time.Second

// start runs one host until its context ends.
func (b *requestTestbed) start(i int, h *proxyHost) {
	ctx, cancel := context.WithCancel(b.ctx)
	h.stop = cancel
	h.ledger.Ledger = must(ledger.New(ledger.Options{Table: b.store, Host: h.name}))
	callers, peers := b.network.listen(h.name, h.callersAddr()), b.network.listen(h.name, peerAddr(i).String())
	b.background.Go(func() { _ = h.ledger.Run(ctx) })
	b.background.Go(func() { _ = h.callers.Serve(callers) })
	b.background.Go(func() { _ = h.peers.Serve(peers) })
	if b.c.has(listStale) {
		b.background.Go(func() { _ = h.resolver.Run(ctx) })
		synctest.Wait()
	}
	b.reconcile(h)
	b.background.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(2 * propagationDelay)
			b.reconcile(h)
		}
	})
}

// reconcile updates the balancers and limiters of a host with the current targets.
func (b *requestTestbed) reconcile(h *proxyHost) {
	pool := b.tables.t.Pools[poolName]
	targets, drain := h.resolver.Targets(pool)
	specs := map[string]balance.PoolSpec{poolName: {Targets: targets, Drain: drain, Slots: pool.Slots}}
	usable := map[netip.AddrPort]bool{}
	for _, s := range h.balancer.States(time.Now(), poolName) {
		usable[s.Addr] = s.State != "leaving"
	}
	open := lo.Filter(targets, func(t table.Target, _ int) bool {
		taking, known := usable[t.Addr]
		return (taking || !known) && !lo.Contains(drain, t.Addr)
	})
	h.direct.Update(map[string]limit.Capacity{poolName: {Targets: len(open), Slots: pool.Slots}})
	if pool.UsesOwners() {
		groups, slots := map[string]limit.Capacity{}, map[string]int{}
		opened := owner.GroupByDomain(poolName, open)
		for g, all := range owner.GroupByDomain(poolName, targets) {
			specs[g.String()] = balance.PoolSpec{Targets: all, Drain: drain, Slots: pool.Slots}
			groups[g.String()] = limit.Capacity{Targets: len(opened[g]), Slots: pool.Slots}
			slots[g.String()] = len(opened[g]) * pool.Slots
		}
		h.groups.Update(groups)
		h.meter.SetSlots(slots)
		peers := lo.Times(hostCount, func(i int) handoff.Peer { return handoff.Peer{Member: member(i), Addr: peerAddr(i)} })
		h.handoff.Update(peers, map[string]handoff.PoolSpec{poolName: {Targets: open, Slots: pool.Slots}})
	}
	if err := h.balancer.Update(time.Now(), specs); err != nil {
		b.t.Error(err)
	}
}

// fillHostList sets the host list. It has one entry too many: a target that no
// longer exists.
func (b *requestTestbed) fillHostList() {
	b.list.Set(lo.Times(targetCount+1, func(i int) cloud.ListedHost {
		return cloud.ListedHost{Service: poolName, Addr: targetAddr(i), FailureDomain: targetFailureDomain(i)}
	})...)
}

// injectFaults starts the faults of the case. Faults of a target apply to the
// first one.
func (b *requestTestbed) injectFaults() {
	time.Sleep(faultDelay)
	b.targets[0].activateFaults()
	switch {
	case b.c.has(storeDown):
		b.store.SetDown(true)
	case b.c.has(storeSlow):
		b.store.SetDelay(300 * time.Millisecond)
	}
	if b.c.has(ackLost) {
		b.background.Go(b.loseAcks)
	}
	dead := map[string]bool{}
	if b.c.has(ownerKilled) {
		dead[b.hosts[0].name] = true
		b.hosts[0].stop()
	}
	if b.c.has(entryKilled) {
		dead[b.hosts[2].name] = true
		b.hosts[2].stop()
	}
	isHost := lo.SliceToMap(b.hosts, func(h *proxyHost) (string, bool) { return h.name, true })
	b.network.setPartition(func(from, to string) bool {
		return dead[from] || dead[to] || b.c.has(peersCut) && isHost[from] && isHost[to]
	})
}
