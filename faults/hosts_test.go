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
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/peer"
	"github.com/chestnutfield/chestnutfield/probe"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	memberCount = 4
	lastMember  = memberCount - 1
	probeBudget = 8.0
	// convergenceTime is enough for the hosts to discover each other and to
	// acquire their leases.
	convergenceTime = 60 * time.Second
	// pauseDuration is longer than a lease and than the time after which the
	// others remove a host.
	pauseDuration = 100 * time.Second
	// observationTime is the time observed after the configuration change or,
	// if a host is paused, after it resumes.
	observationTime = 30 * time.Second
	// maxInstallDelay is the maximum time until an accepted version is in force
	// on a host that can obtain it.
	maxInstallDelay = 12 * time.Second
	pickInterval    = 100 * time.Millisecond
	clockStep       = 20 * time.Millisecond
	// drainDelay and changeDelay are the times from the faults to the drain of
	// a target and to the change of the configuration.
	drainDelay  = 3 * time.Second
	changeDelay = 10 * time.Second
)

// clusterTestbed runs four hosts that exchange membership, load and
// configuration.
type clusterTestbed struct {
	t          *testing.T
	c          faultCase
	network    *memNetwork
	store      *fake.Table
	objects    *fake.ObjectStore
	hosts      []*clusterHost
	background sync.WaitGroup
	ctx        context.Context
	monitor    *monitor
	// inactive holds the hosts that are killed or paused. peersUnreachable means
	// that no host can reach another.
	mu               sync.Mutex
	inactive         map[string]bool
	peersUnreachable bool
}

// clusterHost is one host with the components that communicate with others.
type clusterHost struct {
	b        *clusterTestbed
	name     string
	clock    clockwork.Clock
	members  *membership.Service
	node     *peer.Node
	balancer *balance.Balancer
	prober   *probe.Prober
	syncer   *config.Syncer
	operator *command.Handler
	stop     context.CancelFunc
}

// Versions and FetchTables implement the Peers option of the syncer.
func (h *clusterHost) Versions() []config.PeerVersion {
	return lo.Map(h.node.Versions(), func(v peer.HostVersion, _ int) config.PeerVersion {
		return config.PeerVersion{Host: v.Host, Version: v.Version}
	})
}

func (h *clusterHost) FetchTables(ctx context.Context, from string, atLeast uint64) ([]byte, uint64, error) {
	return h.node.FetchTables(ctx, from, atLeast)
}

// accepted notifies the syncer of an accepted version. With racing operators it
// does so late, when another version is in force.
func (h *clusterHost) accepted(t *table.Tables, packed []byte) {
	if !h.b.c.has(operatorsRace) || !h.b.monitor.faultsActive() {
		h.syncer.InstallAccepted(t, packed)
		return
	}
	h.b.background.Go(func() {
		time.Sleep(changeDelay)
		h.syncer.InstallAccepted(t, packed)
	})
}

func runCluster(t *testing.T, c faultCase) {
	synctest.Test(t, func(t *testing.T) {
		b := &clusterTestbed{t: t, c: c, network: newMemNetwork(), store: fake.NewTable(), objects: fake.NewObjectStore(), inactive: map[string]bool{}}
		ctx, cancel := context.WithCancel(context.Background())
		b.ctx, b.monitor = ctx, newMonitor(b)
		for i := range memberCount {
			b.hosts = append(b.hosts, b.newHost(i))
		}
		for i, h := range b.hosts {
			h.start(i)
		}
		time.Sleep(convergenceTime)
		b.applyChange(0, "before")
		time.Sleep(pickInterval)
		b.injectFaults()
		b.monitor.checkInvariants()
		cancel()
		for _, h := range b.hosts {
			h.stop()
			_ = h.node.Shutdown(ctx)
		}
		b.network.close()
		b.background.Wait()
	})
}

func (b *clusterTestbed) newHost(i int) *clusterHost {
	h := &clusterHost{b: b, name: hostName(i), clock: clockwork.NewRealClock()}
	if i == lastMember && b.c.has(leaseLapsed) {
		h.clock = clockwork.NewFakeClockAt(time.Now())
	}
	h.members = must(membership.New(membership.Options{
		Self:  membership.Member{Name: h.name, Addr: peerAddr(i), FailureDomain: failureDomain(i)},
		Table: b.store, Clock: h.clock, Seed: b.c.seed,
	}))
	h.balancer = must(balance.New(balance.Options{
		Host: h.name, FailureDomain: failureDomain(i), Seed: b.c.seed, Membership: h.members,
		OnDrain: func(_ time.Time, target netip.AddrPort) { h.node.AnnounceDrain(target) },
	}))
	h.syncer = config.New(config.Options{
		Host: h.name, Store: b.store, Objects: b.objects, Peers: h, Hosts: h.members.ShareDivisor, Clock: h.clock,
	})
	h.operator = command.New(command.Options{Store: b.store, OnAccepted: h.accepted, Clock: h.clock})
	h.node = must(peer.NewNode(peer.Options{
		Members: h.members, Loads: h.balancer, Drains: h.balancer, Config: h.syncer, Clock: h.clock,
		Dial: b.network.dialer(h.name), Seeds: func() []netip.AddrPort { return []netip.AddrPort{peerAddr(0)} },
	}))
	h.prober = must(probe.New(probe.Options{
		Host: h.name, Membership: h.members, Lease: h.members, Source: h.balancer, Transport: h, Clock: h.clock,
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

func (h *clusterHost) start(i int) {
	b := h.b
	ctx, cancel := context.WithCancel(b.ctx)
	h.stop = cancel
	ln := b.network.listen(h.name, peerAddr(i).String())
	b.background.Go(func() { _ = h.node.Serve(ln) })
	b.background.Go(func() { _ = h.members.Run(ctx) })
	b.background.Go(func() { _ = h.node.Run(ctx) })
	b.background.Go(func() { _ = h.syncer.Run(ctx) })
	b.background.Go(func() { h.prober.Run(ctx) })
	b.background.Go(func() { h.dispatch(ctx) })
	if clock, ok := h.clock.(*clockwork.FakeClock); ok {
		b.background.Go(func() { h.runClock(ctx, clock) })
	}
}

// runClock advances the clock of a host except while the host is paused. After a
// pause the clock jumps to the current time.
func (h *clusterHost) runClock(ctx context.Context, clock *clockwork.FakeClock) {
	for ctx.Err() == nil {
		time.Sleep(clockStep)
		if !h.b.isInactive(h.name) {
			clock.Advance(time.Since(clock.Now()))
		}
	}
}

// dispatch sends requests through the balancer while the host is active and records
// the results and the configuration version.
func (h *clusterHost) dispatch(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(pickInterval)
		if h.b.isInactive(h.name) || h != h.b.hosts[0] && h.b.monitor.holdsDispatch() {
			continue
		}
		now := h.clock.Now()
		if a, ok := h.balancer.Pick(lb.PickQuery{Pool: poolName, Class: table.Lookup, Now: now}); ok {
			draining := h.b.monitor.recordDispatch(h, a.Target())
			result := lb.Result{Verdict: lo.Ternary(draining, lb.Shed, lb.Succeeded), Latency: serviceTime}
			a.Done(now, lb.Feedback{Result: result, Draining: draining})
		}
		h.b.monitor.recordVersion(h)
	}
}

// Probe implements probe.Transport. Targets report no load, so that only the
// budget limits the probes, and health probes don't show that a target is
// draining.
func (h *clusterHost) Probe(ctx context.Context, addr netip.AddrPort, _ string) probe.Result {
	h.b.monitor.recordProbe(addr)
	if h.b.c.has(targetSilent) && h.b.monitor.faultsActive() && addr == targetAddr(1) {
		<-ctx.Done()
		return probe.Result{Failed: true}
	}
	return probe.Result{}
}

func (b *clusterTestbed) isInactive(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inactive[name]
}

// setInactive disconnects a host from the network or reconnects it.
func (b *clusterTestbed) setInactive(name string, inactive bool) {
	b.mu.Lock()
	b.inactive[name] = inactive
	inactiveHosts, peersUnreachable := map[string]bool{}, b.peersUnreachable
	for n, g := range b.inactive {
		inactiveHosts[n] = g
	}
	b.mu.Unlock()
	b.network.setPartition(func(from, to string) bool { return peersUnreachable || inactiveHosts[from] || inactiveHosts[to] })
}

// injectFaults starts the faults, applies configuration changes meanwhile, and
// returns after the observation time.
func (b *clusterTestbed) injectFaults() {
	b.monitor.recordFaultStart()
	b.peersUnreachable = b.c.has(peersCut)
	b.setInactive("", false)
	b.store.SetDown(b.c.has(storeDown))
	if b.c.has(storeSlow) {
		b.store.SetDelay(400 * time.Millisecond)
	}
	if b.c.has(ackLost) {
		b.background.Go(func() {
			for b.ctx.Err() == nil {
				b.store.LoseAcks(1)
				time.Sleep(5 * pickInterval)
			}
		})
	}
	if b.c.has(entryKilled) {
		b.hosts[2].stop()
		b.setInactive(b.hosts[2].name, true)
	}
	if b.c.has(leaseLapsed) {
		b.setInactive(b.hosts[lastMember].name, true)
	}
	time.Sleep(changeDelay)
	var operators sync.WaitGroup
	for i := range lo.Ternary(b.c.has(operatorsRace), 2, 1) {
		operators.Go(func() { b.applyChange(i, "during") })
	}
	operators.Wait()
	if b.c.has(leaseLapsed) {
		time.Sleep(pauseDuration - changeDelay)
		b.setInactive(b.hosts[lastMember].name, false)
		b.monitor.recordResume()
	}
	time.Sleep(observationTime)
}

// applyChange applies a change of the configuration tables through host i and
// retries after a conflict with another change.
func (b *clusterTestbed) applyChange(i int, id string) {
	for b.tryApplyChange(i, id) == command.Conflict {
		time.Sleep(time.Second)
	}
}

func (b *clusterTestbed) tryApplyChange(i int, id string) command.State {
	name := fmt.Sprintf("pool-%s-%d", id, i)
	res := b.hosts[i].operator.Do(b.ctx, command.Request{
		Table: schema.Pools, Operation: schema.Apply, File: "pools.ini", ChangeID: "change-" + name, Author: "operator",
		Data: fmt.Appendf(nil, "[%s]\nservice = %s\n", name, name),
	})
	if res.State == command.Accepted {
		b.monitor.recordAccepted(res.Version)
	}
	return res.State
}
