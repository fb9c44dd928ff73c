package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/platform/fakestore"
	"github.com/chestnutfield/chestnutfield/platform/fakeupstream"
)

const (
	routeHost     = "orders.example"
	lookupPrefix  = "/spec/"
	orderPrefix   = "/order/"
	lookupService = "specs"
	orderService  = "orders"
	slots         = 2
	serviceTime   = 20 * time.Millisecond
	// minStall is the shortest delay of a timer that counts as a stall of the
	// machine, which affects every host.
	minStall = 150 * time.Millisecond
	// restartTime is the time that a process takes to end and to start again.
	restartTime = restartAfter + 700*time.Millisecond
	// faultShare is the share of requests that a faulty upstream mishandles.
	faultShare = 0.3
	// slowFactor multiplies the service time of a slow upstream.
	slowFactor = 10
)

// Impact is a period in which an event may have affected requests.
type Impact struct {
	Kind Kind
	// Host is the affected host, "" if none or all are.
	Host string
	// Upstreams is true if requests in flight at upstreams may be lost.
	Upstreams bool
	From, To  time.Time
}

// acceptedConfig is a configuration that the store accepted. Each adds a route
// with a prefix of its own.
type acceptedConfig struct {
	version uint64
	prefix  string
	at      time.Time
}

// gracefulStop records a graceful stop of a host.
type gracefulStop struct {
	Impact
	incarnation int
	// timedOut is true if the process was killed after bounds.stopGrace.
	timedOut bool
}

// namedLimit is a rate limit that an upstream named.
type namedLimit struct {
	upstream  string
	startedAt time.Time
	perSecond float64
	from, to  time.Time
}

// retiredState is what the registry has of an upstream that is taken out of
// service.
type retiredState uint8

const (
	retiredReady retiredState = iota + 1
	retiredDraining
	retiredGone
)

// relayedUpstream is a fake upstream and the relay in front of it.
type relayedUpstream struct {
	server *fakeupstream.Server
	relay  *Relay
}

// Deployment is a deployment under test, with everything observed of it.
type Deployment struct {
	store     *fakestore.Server
	record    *fakeupstream.Record
	hosts     []*host
	startedAt time.Time
	seed      uint64
	length    time.Duration
	// owners finds the host of a connection to an upstream.
	owners socketOwners

	mu               sync.Mutex
	upstreams        []*relayedUpstream
	upstreamsStarted int
	version          uint64
	configs          []acceptedConfig
	impacts          []Impact
	// leftAt is when the store accepted that an upstream is draining or removed,
	// by the upstream's ID.
	leftAt map[string]time.Time
	// retired holds the upstreams that are taken out of service, limits the rate
	// limits that upstreams named.
	retired       map[*relayedUpstream]retiredState
	limits        []namedLimit
	gracefulStops []gracefulStop
	results       []RequestResult
	routeChecks   []RequestResult
	violations    []string
	// cuts are the cuts of hosts from all upstreams, ends the ends of upstreams under
	// crashing requests, and crashResults the results of those requests.
	cuts         []*hostCut
	ends         []upstreamEnd
	crashResults []RequestResult
	// colds are the times in which upstreams were cold.
	colds       []coldPeriod
	evacuations []*evacuation
	// workspaces is empty if requests need no keys. keys are all keys that were ever
	// issued, withdrawn those that were withdrawn, in order.
	workspaces []*workspace
	keys       map[string]*issuedKey
	withdrawn  []string
	// delays are the times in which the machine may have kept hosts from answering each
	// other within quotaTimeout.
	delays []Impact
}

// NewDeployment starts the fake store, the fake upstreams and the host processes.
func NewDeployment(o Options) (*Deployment, error) {
	d := &Deployment{store: fakestore.New(), record: &fakeupstream.Record{}, leftAt: map[string]time.Time{}, retired: map[*relayedUpstream]retiredState{}, startedAt: time.Now(), seed: o.Seed, length: o.Length}
	d.createWorkspaces()
	if err := d.startAll(o); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startAll(o Options) error {
	d.writeConfiguration()
	for i := range o.Upstreams {
		if err := d.addUpstream(lo.Ternary(i%2 == 0, lookupService, orderService), ""); err != nil {
			return err
		}
	}
	for i := range o.Hosts {
		relay, err := NewRelay(d.store.Addr().String())
		if err != nil {
			return err
		}
		h, err := newHost(fmt.Sprint("entry-", i), domainName(i), o.Dir, o.Binary, relay)
		if err != nil {
			return err
		}
		h.onUnexpectedExit = func(state string) { d.recordViolation("process: %s ended by itself: %s", h.name, state) }
		if err := h.supervise(); err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
	}
	return nil
}

// Close stops everything that the deployment started.
func (d *Deployment) Close() {
	for _, h := range d.hosts {
		h.close()
		h.storeRelay.Close()
	}
	d.store.Close()
	for _, u := range d.upstreams {
		u.server.Close()
		u.relay.Close()
	}
}

// writeConfiguration writes the next configuration, which removes the route that
// the previous one added and adds a new one.
func (d *Deployment) writeConfiguration() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 1 + uint64(len(d.configs)%3)
	next := acceptedConfig{d.version, fmt.Sprintf("/added-%d/", d.version), time.Now()}
	d.configure(next)
	d.configs = append(d.configs, next)
	d.recordKeys()
}

// configure writes a configuration to the store. The caller holds the mutex.
func (d *Deployment) configure(c acceptedConfig) {
	route := func(name, prefix, service string, idempotent bool) fakestore.Route {
		return fakestore.Route{
			Name: name, Host: routeHost, Prefix: prefix, Service: service, Idempotent: idempotent,
			TimeoutSeconds: routeTimeout.Seconds(), ObjectiveSeconds: latencyObjective.Seconds(), Targets: maxAttempts,
		}
	}
	d.store.WriteConfiguration(fakestore.Configuration{
		Version: c.version, HealthPath: fakeupstream.HealthPath, Tenants: d.tenants(), WarmupPerSecond: lo.Ternary(d.hasNewParts(), float64(warmupPerSecond), 0),
		Routes: []fakestore.Route{
			route("spec", lookupPrefix, lookupService, true), route("order", orderPrefix, orderService, false), route("added", c.prefix, lookupService, true),
		},
	})
}

// addUpstream starts and registers an upstream. An empty name stands for a new
// one; otherwise the upstream reuses the name.
func (d *Deployment) addUpstream(service, name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreamsStarted++
	if name == "" {
		// The seed makes the name unique among parallel runs, which may reuse
		// the address.
		name = fmt.Sprintf("u%d-%d", d.seed, d.upstreamsStarted)
	}
	server, err := fakeupstream.New(name, service, domainName(d.upstreamsStarted), slots, fakeupstream.Behavior{Work: serviceTime}, d.record)
	if err != nil {
		return err
	}
	server.EndUnder(d.endUnder)
	relay, err := newRelay(server.Addr(), d.admitAtUpstream)
	if err != nil {
		return err
	}
	d.upstreams = append(d.upstreams, &relayedUpstream{server, relay})
	delete(d.leftAt, name)
	d.coldStart(server)
	server.Register(d.store, relay.Addr(), false)
	return nil
}

// takeUpstream removes the selected upstream from the list and returns it. It
// returns nil if the upstream is the last one of its service.
func (d *Deployment) takeUpstream(selector int) *relayedUpstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := selector % len(d.upstreams)
	u := d.upstreams[i]
	same := lo.CountBy(d.upstreams, func(x *relayedUpstream) bool { return x.server.Service == u.server.Service })
	if same < 2 {
		return nil
	}
	d.upstreams = append(d.upstreams[:i:i], d.upstreams[i+1:]...)
	return u
}

// pickUpstream returns the selected upstream.
func (d *Deployment) pickUpstream(selector int) *relayedUpstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams[selector%len(d.upstreams)]
}

// setRetired records and writes to the store the state of an upstream that is taken
// out of service.
func (d *Deployment) setRetired(u *relayedUpstream, state retiredState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retired[u] = state
	u.register(d.store, state)
}

// register writes the state of a retired upstream to the store.
func (u *relayedUpstream) register(store *fakestore.Server, state retiredState) {
	if state == retiredGone {
		u.server.Unregister(store)
		return
	}
	u.server.Register(store, u.relay.Addr(), state == retiredDraining)
}

func (d *Deployment) recordLeft(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leftAt[id] = time.Now()
}

func (d *Deployment) recordImpact(impact Impact) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.impacts = append(d.impacts, impact)
}

func (d *Deployment) recordDelay(delay Impact) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delays = append(d.delays, delay)
}

func (d *Deployment) recordViolation(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

func (d *Deployment) recordResult(s RequestResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results = append(d.results, s)
}

// recordStalls records stalls of the machine, seen as late timers, as impacts.
func (d *Deployment) recordStalls(ctx context.Context) {
	const tick = 10 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(tick)
		now := time.Now()
		if now.Sub(last) > tick+quotaTimeout {
			d.recordDelay(Impact{Kind: machineStall, From: last, To: now})
		}
		if now.Sub(last) > minStall {
			d.recordImpact(Impact{Kind: machineStall, Upstreams: true, From: last, To: now})
		}
		last = now
	}
}

// sendHeartbeats periodically renews the registry entries of all upstreams.
func (d *Deployment) sendHeartbeats(ctx context.Context) {
	const heartbeat = 1500 * time.Millisecond
	for ctx.Err() == nil {
		sleep(ctx, heartbeat)
		d.mu.Lock()
		for _, u := range d.upstreams {
			u.server.Register(d.store, u.relay.Addr(), false)
		}
		d.mu.Unlock()
	}
}

// checkRoutes periodically requests the route that was added last and the one
// that was removed last from a host.
func (d *Deployment) checkRoutes(ctx context.Context, h *host) {
	const checkInterval = 150 * time.Millisecond
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, checkInterval)
		d.mu.Lock()
		index := len(d.configs) - 1
		if i%2 == 1 && index > 0 {
			index--
		}
		prefix := d.configs[index].prefix
		d.mu.Unlock()
		s := sendTo(client, h, prefix, request{method: http.MethodGet, id: fmt.Sprintf("p%d-%s-%d", d.seed, h.name, i), key: d.checkKey()})
		d.mu.Lock()
		d.routeChecks = append(d.routeChecks, s)
		d.mu.Unlock()
	}
}
