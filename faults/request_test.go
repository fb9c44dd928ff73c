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
	"github.com/chestnutfield/chestnutfield/handoff"
	"github.com/chestnutfield/chestnutfield/ledger"
	"github.com/chestnutfield/chestnutfield/limit"
	"github.com/chestnutfield/chestnutfield/owner"
	"github.com/chestnutfield/chestnutfield/proxy"
	"github.com/chestnutfield/chestnutfield/resolve"
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
	faultAt       = time.Second
	callsFor      = 4 * time.Second
	drainWithin   = 2 * time.Second
	newsDelay     = 100 * time.Millisecond
)

func targetAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i))
}

func zone(i int) string { return string(rune('a' + i%3)) }

// targetZone leaves the third zone, and so the last host, without targets.
func targetZone(i int) string { return zone(i % 2) }

// names is a membership that never notices that a host died.
type names []string

func (n names) Hosts() []string { return n }
func (n names) ShareCount() int { return len(n) }

// lateLedger stands for a ledger that is made inside the bubble.
type lateLedger struct{ *ledger.Ledger }

// oneTable is the version in force.
type oneTable struct{ t *table.Tables }

func (o oneTable) Current() *table.Tables { return o.t }

// entryHost is the forwarding path of one host.
type entryHost struct {
	name           string
	callers, peers *proxy.Server
	balancer       *balance.Balancer
	handoff        *handoff.Balancer
	direct, groups *limit.Admission
	meter          *handoff.Meter
	ledger         *lateLedger
	resolver       *resolve.Resolver
	stop           context.CancelFunc
}

func (h *entryHost) callersAddr() string { return h.name + ":80" }

// requestBed is three hosts and four targets.
type requestBed struct {
	t       *testing.T
	c       faultCase
	mesh    *mesh
	store   *fake.Table
	list    *fake.HostList
	tables  oneTable
	hosts   []*entryHost
	targets []*target
	log     *runLog
	ctx     context.Context
	began   time.Time
	work    sync.WaitGroup
	calls   sync.WaitGroup
}

func peerAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 2}), uint16(7000+i))
}

// runRequests is made outside of the bubble, for servers watch sockets.
func runRequests(t *testing.T, c faultCase) {
	b := &requestBed{t: t, c: c, mesh: newMesh(), store: fake.NewTable(), list: fake.NewHostList(), log: newRunLog()}
	pool := table.Pool{Name: poolName, Slots: 2, Connections: 250}
	if !c.has(ownerKilled, peersCut) && c.seed%2 == 0 {
		pool.Policy = balance.DefaultPolicy
	}
	for i := range targetCount {
		pool.Targets = append(pool.Targets, table.Target{Addr: targetAddr(i), FailureDomain: targetZone(i)})
	}
	if c.has(listStale) {
		pool.Targets, pool.Service = nil, poolName
	}
	b.tables = oneTable{&table.Tables{Version: 1, Pools: map[string]table.Pool{poolName: pool}, Routes: routes()}}
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

func (b *requestBed) newHost(i int) *entryHost {
	members := names(lo.Times(hostCount, hostName))
	h := &entryHost{name: hostName(i), ledger: &lateLedger{}}
	h.balancer = must(balance.New(balance.Options{
		Host: h.name, FailureDomain: zone(i), Seed: b.c.seed, Membership: members,
		OnDrain: func(_ time.Time, target netip.AddrPort) { b.spread(h, target) },
	}))
	h.handoff = handoff.New(handoff.Options{Self: member(i), Direct: h.balancer, Seed: b.c.seed})
	h.direct = must(limit.New(limit.Options{Membership: members}))
	h.groups = must(limit.New(limit.Options{
		NewLimiter: func(_, _ float64) limit.Limiter { return limit.NewFixed() },
	}))
	h.meter = handoff.NewMeter(h.groups)
	h.resolver = must(resolve.New(resolve.Options{List: b.list, Tables: b.tables, Seed: b.c.seed}))
	up := upstream.Options{Dial: b.mesh.dialer(h.name)}
	h.callers = must(proxy.New(proxy.Options{
		Tables: b.tables, Balancer: h.handoff, Admission: h.handoff.Admission(h.direct), Membership: members,
		Retries: must(retry.New(retry.Options{Name: "retry", Membership: members})), Ledger: h.ledger, Upstream: up,
	}))
	h.peers = must(proxy.New(proxy.Options{
		Tables: b.tables, Balancer: h.balancer, Admission: h.meter, Membership: members, Upstream: up,
		PeerSide: &proxy.PeerSide{Load: h.meter.Text},
	}))
	return h
}

func member(i int) owner.Member { return owner.Member{Name: hostName(i), FailureDomain: zone(i)} }

// spread passes on that a target leaves, as peers do.
func (b *requestBed) spread(from *entryHost, target netip.AddrPort) {
	if b.c.has(peersCut) {
		return
	}
	b.work.Go(func() {
		time.Sleep(newsDelay)
		for _, h := range b.hosts {
			if h != from {
				h.balancer.Leaving(time.Now(), target)
			}
		}
	})
}

// run brings the faults about while calls are made, and judges at the end.
func (b *requestBed) run() {
	ctx, cancel := context.WithCancel(context.Background())
	b.ctx = ctx
	for i := range targetCount {
		b.targets = append(b.targets, b.newTarget(i))
	}
	b.listTargets()
	for i, h := range b.hosts {
		b.start(i, h)
	}
	time.Sleep(newsDelay)
	b.began = time.Now()
	b.work.Go(b.bringAbout)
	b.makeCalls()
	b.calls.Wait()
	b.log.judge(b)
	cancel()
	for _, h := range b.hosts {
		_ = h.callers.Shutdown(ctx)
		_ = h.peers.Shutdown(ctx)
	}
	b.mesh.close()
	b.work.Wait()
	time.Sleep(serverNap)
}

// loseAcks loses an acknowledgement now and then.
func (b *requestBed) loseAcks() {
	for b.ctx.Err() == nil {
		b.store.LoseAcks(1)
		time.Sleep(5 * newsDelay)
	}
}

// serverNap is how long a stopped HTTP server sleeps before it is gone.
const serverNap = 15 * time.Second

// start runs one host until its context ends.
func (b *requestBed) start(i int, h *entryHost) {
	ctx, cancel := context.WithCancel(b.ctx)
	h.stop = cancel
	h.ledger.Ledger = must(ledger.New(ledger.Options{Table: b.store, Host: h.name}))
	callers, peers := b.mesh.listen(h.name, h.callersAddr()), b.mesh.listen(h.name, peerAddr(i).String())
	b.work.Go(func() { _ = h.ledger.Run(ctx) })
	b.work.Go(func() { _ = h.callers.Serve(callers) })
	b.work.Go(func() { _ = h.peers.Serve(peers) })
	if b.c.has(listStale) {
		b.work.Go(func() { _ = h.resolver.Run(ctx) })
		synctest.Wait()
	}
	b.reconcile(h)
	b.work.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(2 * newsDelay)
			b.reconcile(h)
		}
	})
}

// reconcile hands the targets on to the parts that decide.
func (b *requestBed) reconcile(h *entryHost) {
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
	if pool.Owned() {
		groups, slots := map[string]limit.Capacity{}, map[string]int{}
		opened := owner.Split(poolName, open)
		for g, all := range owner.Split(poolName, targets) {
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

// listTargets fills the host list; a stale one holds a target that is gone.
func (b *requestBed) listTargets() {
	b.list.Set(lo.Times(targetCount+1, func(i int) cloud.ListedHost {
		return cloud.ListedHost{Service: poolName, Addr: targetAddr(i), FailureDomain: targetZone(i)}
	})...)
}

// bringAbout starts the faults of the case. Those of a target befall the first.
func (b *requestBed) bringAbout() {
	time.Sleep(faultAt)
	b.targets[0].begin()
	switch {
	case b.c.has(storeDown):
		b.store.SetDown(true)
	case b.c.has(storeSlow):
		b.store.SetDelay(300 * time.Millisecond)
	}
	if b.c.has(ackLost) {
		b.work.Go(b.loseAcks)
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
	isHost := lo.SliceToMap(b.hosts, func(h *entryHost) (string, bool) { return h.name, true })
	b.mesh.setCut(func(from, to string) bool {
		return dead[from] || dead[to] || b.c.has(peersCut) && isHost[from] && isHost[to]
	})
}
