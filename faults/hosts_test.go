package faults

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/rows"
	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/peer"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/probe"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	memberCount = 4
	lastMember  = memberCount - 1
	probeBudget = 8.0
	// settleTime lets the hosts find each other and hold their leases.
	settleTime = 60 * time.Second
	// pausedFor is longer than a lease and than it takes to drop a host.
	pausedFor = 100 * time.Second
	// faultyFor is the time that is watched otherwise.
	faultyFor   = 30 * time.Second
	inForceIn   = 12 * time.Second
	pickEvery   = 100 * time.Millisecond
	clockStep   = 20 * time.Millisecond
	drainAfter  = 3 * time.Second
	changeAfter = 10 * time.Second
)

// hostsBed is four hosts that share what they know.
type hostsBed struct {
	t       *testing.T
	c       faultCase
	mesh    *mesh
	store   *fake.Table
	objects *fake.Objects
	hosts   []*sharingHost
	work    sync.WaitGroup
	ctx     context.Context
	watch   *watch
	// gone says which hosts do not act; cutOff that peers can't be reached.
	mu     sync.Mutex
	gone   map[string]bool
	cutOff bool
}

// sharingHost is what one host shares with the others.
type sharingHost struct {
	b        *hostsBed
	name     string
	clock    clockwork.Clock
	members  *membership.Service
	node     *peer.Node
	balancer *balance.Balancer
	prober   *probe.Prober
	keeper   *config.Keeper
	operator *command.Commander
	stop     context.CancelFunc
}

// Versions and FetchTables give the peers to the keeper.
func (h *sharingHost) Versions() []config.PeerVersion {
	return lo.Map(h.node.Versions(), func(v peer.HostVersion, _ int) config.PeerVersion {
		return config.PeerVersion{Host: v.Host, Version: v.Version}
	})
}

func (h *sharingHost) FetchTables(ctx context.Context, from string, atLeast uint64) ([]byte, uint64, error) {
	return h.node.FetchTables(ctx, from, atLeast)
}

// accepted tells the keeper of a version; while operators race it is told late,
// when another version is in force.
func (h *sharingHost) accepted(t *table.Tables, packed []byte) {
	if !h.b.c.has(operatorsRace) || !h.b.watch.faulty() {
		h.keeper.Accepted(t, packed)
		return
	}
	h.b.work.Go(func() {
		time.Sleep(changeAfter)
		h.keeper.Accepted(t, packed)
	})
}

func runHosts(t *testing.T, c faultCase) {
	synctest.Test(t, func(t *testing.T) {
		b := &hostsBed{t: t, c: c, mesh: newMesh(), store: fake.NewTable(), objects: fake.NewObjects(), gone: map[string]bool{}}
		ctx, cancel := context.WithCancel(context.Background())
		b.ctx, b.watch = ctx, newWatch(b)
		for i := range memberCount {
			b.hosts = append(b.hosts, b.newHost(i))
		}
		for i, h := range b.hosts {
			h.start(i)
		}
		time.Sleep(settleTime)
		b.change(0, "before")
		time.Sleep(pickEvery)
		b.bringAbout()
		b.watch.judge()
		cancel()
		for _, h := range b.hosts {
			h.stop()
			_ = h.node.Shutdown(ctx)
		}
		b.mesh.close()
		b.work.Wait()
	})
}

func (b *hostsBed) newHost(i int) *sharingHost {
	h := &sharingHost{b: b, name: hostName(i), clock: clockwork.NewRealClock()}
	if i == lastMember && b.c.has(leaseLapsed) {
		h.clock = clockwork.NewFakeClockAt(time.Now())
	}
	h.members = must(membership.New(membership.Options{
		Self:  membership.Member{Name: h.name, Addr: peerAddr(i), FailureDomain: zone(i)},
		Table: b.store, Clock: h.clock, Seed: b.c.seed,
	}))
	h.balancer = must(balance.New(balance.Options{
		Host: h.name, FailureDomain: zone(i), Seed: b.c.seed, Membership: h.members,
		OnDrain: func(_ time.Time, target netip.AddrPort) { h.node.AnnounceDrain(target) },
	}))
	h.keeper = config.New(config.Options{
		Host: h.name, Store: b.store, Objects: b.objects, Peers: h, Hosts: h.members.ShareCount, Clock: h.clock,
	})
	h.operator = command.New(command.Options{Store: b.store, Accepted: h.accepted, Clock: h.clock})
	h.node = must(peer.NewNode(peer.Options{
		Members: h.members, Figures: h.balancer, Drains: h.balancer, Config: h.keeper, Clock: h.clock,
		Dial: b.mesh.dialer(h.name), Seeds: func() []netip.AddrPort { return []netip.AddrPort{peerAddr(0)} },
	}))
	h.prober = must(probe.New(probe.Options{
		Host: h.name, Membership: h.members, Lease: h.members, Source: h.balancer, Asker: h, Clock: h.clock,
	}))
	targets := lo.Times(targetCount, func(i int) table.Target { return table.Target{Addr: targetAddr(i)} })
	if err := h.balancer.Update(h.clock.Now(), map[string]balance.PoolSpec{poolName: {Targets: targets}}); err != nil {
		b.t.Error(err)
	}
	h.prober.Update(lo.Map(targets, func(t table.Target, _ int) probe.Target {
		return probe.Target{Pool: poolName, Addr: t.Addr, Budget: probeBudget, LoadPath: "/load", HealthPath: "/health"}
	}))
	return h
}

func (h *sharingHost) start(i int) {
	b := h.b
	ctx, cancel := context.WithCancel(b.ctx)
	h.stop = cancel
	ln := b.mesh.listen(h.name, peerAddr(i).String())
	b.work.Go(func() { _ = h.node.Serve(ln) })
	b.work.Go(func() { _ = h.members.Run(ctx) })
	b.work.Go(func() { _ = h.node.Run(ctx) })
	b.work.Go(func() { _ = h.keeper.Run(ctx) })
	b.work.Go(func() { h.prober.Run(ctx) })
	b.work.Go(func() { h.dispatch(ctx) })
	if clock, ok := h.clock.(*clockwork.FakeClock); ok {
		b.work.Go(func() { h.drive(ctx, clock) })
	}
}

// drive lets the clock of a host go on while the host is not paused; then it
// jumps.
func (h *sharingHost) drive(ctx context.Context, clock *clockwork.FakeClock) {
	for ctx.Err() == nil {
		time.Sleep(clockStep)
		if !h.b.isGone(h.name) {
			clock.Advance(time.Since(clock.Now()))
		}
	}
}

// dispatch sends requests while the host acts, and notes what it saw.
func (h *sharingHost) dispatch(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(pickEvery)
		if h.b.isGone(h.name) || h != h.b.hosts[0] && h.b.watch.quiet() {
			continue
		}
		now := h.clock.Now()
		if a, ok := h.balancer.Pick(ports.PickQuery{Pool: poolName, Class: table.Lookup, Now: now}); ok {
			leaves := h.b.watch.dispatched(h, a.Target())
			result := ports.Result{Verdict: lo.Ternary(leaves, ports.Shed, ports.Succeeded), Latency: serviceTime}
			a.Done(now, ports.Feedback{Result: result, Draining: leaves})
		}
		h.b.watch.inForce(h)
	}
}

// Ask implements probe.Asker. Targets report no load, so that the budget alone
// bounds the probes, and their health doesn't tell that they leave.
func (h *sharingHost) Ask(ctx context.Context, addr netip.AddrPort, _ string) probe.Answer {
	h.b.watch.probed(addr)
	if h.b.c.has(targetSilent) && h.b.watch.faulty() && addr == targetAddr(1) {
		<-ctx.Done()
		return probe.Answer{Failed: true}
	}
	return probe.Answer{}
}

func (b *hostsBed) isGone(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gone[name]
}

// setGone takes hosts out of the network or lets them back.
func (b *hostsBed) setGone(name string, gone bool) {
	b.mu.Lock()
	b.gone[name] = gone
	out, cutOff := map[string]bool{}, b.cutOff
	for n, g := range b.gone {
		out[n] = g
	}
	b.mu.Unlock()
	b.mesh.setCut(func(from, to string) bool { return cutOff || out[from] || out[to] })
}

// bringAbout starts the faults, makes changes meanwhile, and returns when they
// have been watched.
func (b *hostsBed) bringAbout() {
	b.watch.begin()
	b.cutOff = b.c.has(peersCut)
	b.setGone("", false)
	b.store.SetDown(b.c.has(storeDown))
	if b.c.has(storeSlow) {
		b.store.SetDelay(400 * time.Millisecond)
	}
	if b.c.has(ackLost) {
		b.work.Go(func() {
			for b.ctx.Err() == nil {
				b.store.LoseAcks(1)
				time.Sleep(5 * pickEvery)
			}
		})
	}
	if b.c.has(entryKilled) {
		b.hosts[2].stop()
		b.setGone(b.hosts[2].name, true)
	}
	if b.c.has(leaseLapsed) {
		b.setGone(b.hosts[lastMember].name, true)
	}
	time.Sleep(changeAfter)
	var operators sync.WaitGroup
	for i := range lo.Ternary(b.c.has(operatorsRace), 2, 1) {
		operators.Go(func() { b.change(i, "during") })
	}
	operators.Wait()
	if b.c.has(leaseLapsed) {
		time.Sleep(pausedFor - changeAfter)
		b.setGone(b.hosts[lastMember].name, false)
		b.watch.woke()
	}
	time.Sleep(faultyFor)
}

// change asks a host for a change of the tables, and again after one that came
// first.
func (b *hostsBed) change(i int, id string) {
	for b.tryChange(i, id) == command.Conflict {
		time.Sleep(time.Second)
	}
}

func (b *hostsBed) tryChange(i int, id string) command.State {
	name := fmt.Sprintf("pool-%s-%d", id, i)
	res := b.hosts[i].operator.Do(b.ctx, command.Request{
		Table: rows.Pools, Operation: rows.Apply, File: "pools.ini", ChangeID: "change-" + name, Author: "operator",
		Data: fmt.Appendf(nil, "[%s]\nservice = %s\n", name, name),
	})
	if res.State == command.Accepted {
		b.watch.accepted(res.Version)
	}
	return res.State
}
