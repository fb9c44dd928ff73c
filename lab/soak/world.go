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
	routeHost    = "orders.example"
	lookupPrefix = "/spec/"
	orderPrefix  = "/order/"
	lookups      = "specs"
	orders       = "orders"
	slots        = 2
	work         = 20 * time.Millisecond
	// stallFrom is the time that the machine itself stood still, seen by a
	// timer, from which every host counts as disturbed.
	stallFrom = 150 * time.Millisecond
	// rejoin is the time that a process takes to start again.
	rejoin = restartAfter + 700*time.Millisecond
	// faultShare is the share of requests that a misbehaving upstream spoils.
	faultShare = 0.3
	// slowTimes is how many times as long work takes on a slow upstream.
	slowTimes = 10
)

// Disturbance is a time in which something was disturbed.
type Disturbance struct {
	Kind Kind
	// Host is the host that was struck, "" for none or all.
	Host string
	// Upstreams is true when requests under way may be lost at upstreams.
	Upstreams bool
	From, To  time.Time
}

// accepted is a configuration that the store took.
type accepted struct {
	version uint64
	prefix  string
	at      time.Time
}

// stop is a planned stop of a host.
type stop struct {
	Disturbance
	run     int
	overran bool
}

// end is an upstream behind its relay.
type end struct {
	server *fakeupstream.Server
	relay  *Relay
}

// World is a deployment under test.
type World struct {
	store  *fakestore.Server
	record *fakeupstream.Record
	hosts  []*host
	began  time.Time
	seed   uint64

	mu        sync.Mutex
	ends      []*end
	made      int
	version   uint64
	configs   []accepted
	disturbed []Disturbance
	// left is when an upstream's leaving was accepted, by its ID.
	left   map[string]time.Time
	stops  []stop
	seen   []Seen
	probes []Seen
	broken []string
}

// NewWorld starts the stand-ins and the processes of a deployment.
func NewWorld(o Options) (*World, error) {
	w := &World{store: fakestore.New(), record: &fakeupstream.Record{}, left: map[string]time.Time{}, began: time.Now(), seed: o.Seed}
	if err := w.open(o); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *World) open(o Options) error {
	w.configure()
	for i := range o.Upstreams {
		if err := w.addUpstream(lo.Ternary(i%2 == 0, lookups, orders), ""); err != nil {
			return err
		}
	}
	for i := range o.Hosts {
		relay, err := NewRelay(w.store.Addr().String())
		if err != nil {
			return err
		}
		h, err := newHost(fmt.Sprint("entry-", i), fmt.Sprint("domain-", i%3), o.Dir, o.Binary, relay)
		if err != nil {
			return err
		}
		h.ended = func(state string) { w.fail("process: %s ended by itself: %s", h.name, state) }
		if err := h.keepRunning(); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	return nil
}

// Close ends all that the world started.
func (w *World) Close() {
	for _, h := range w.hosts {
		h.close()
		h.store.Close()
	}
	w.store.Close()
	for _, e := range w.ends {
		e.server.Close()
		e.relay.Close()
	}
}

// configure writes the next configuration: it drops the route that the one
// before added, and adds one.
func (w *World) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + uint64(len(w.configs)%3)
	prefix := fmt.Sprintf("/added-%d/", w.version)
	route := func(name, prefix, service string, idempotent bool) fakestore.Route {
		return fakestore.Route{
			Name: name, Host: routeHost, Prefix: prefix, Service: service, Idempotent: idempotent,
			TimeoutSeconds: routeTimeout.Seconds(), ObjectiveSeconds: objective.Seconds(), Targets: attempts,
		}
	}
	w.store.Configure(w.version, fakeupstream.HealthPath,
		route("spec", lookupPrefix, lookups, true), route("order", orderPrefix, orders, false), route("added", prefix, lookups, true))
	w.configs = append(w.configs, accepted{w.version, prefix, time.Now()})
}

// addUpstream starts an upstream; a name that is not "" is used again.
func (w *World) addUpstream(service, name string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.made++
	if name == "" {
		// Runs beside this one may take over an address: no name is theirs too.
		name = fmt.Sprintf("u%d-%d", w.seed, w.made)
	}
	server, err := fakeupstream.New(name, service, fmt.Sprint("domain-", w.made%3), slots, fakeupstream.Behaviour{Work: work}, w.record)
	if err != nil {
		return err
	}
	relay, err := NewRelay(server.Addr())
	if err != nil {
		return err
	}
	w.ends = append(w.ends, &end{server, relay})
	delete(w.left, name)
	server.Register(w.store, relay.Addr(), false)
	return nil
}

// takeUpstream draws an upstream of a service that may be spared, and strikes
// it off; nil when there is none.
func (w *World) takeUpstream(which int) *end {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := which % len(w.ends)
	e := w.ends[i]
	same := lo.CountBy(w.ends, func(x *end) bool { return x.server.Service == e.server.Service })
	if same < 2 {
		return nil
	}
	w.ends = append(w.ends[:i:i], w.ends[i+1:]...)
	return e
}

// upstream draws an upstream.
func (w *World) upstream(which int) *end {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ends[which%len(w.ends)]
}

func (w *World) noteLeft(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left[id] = time.Now()
}

func (w *World) disturb(d Disturbance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed = append(w.disturbed, d)
}

func (w *World) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

func (w *World) see(s Seen) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen = append(w.seen, s)
}

// watchStalls notes times in which the machine itself stood still.
func (w *World) watchStalls(ctx context.Context) {
	const tick = 10 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(tick)
		now := time.Now()
		if now.Sub(last) > stallFrom {
			w.disturb(Disturbance{Kind: stalled, Upstreams: true, From: last, To: now})
		}
		last = now
	}
}

// beat lets the upstreams write their entries again and again.
func (w *World) beat(ctx context.Context) {
	const heartbeat = 1500 * time.Millisecond
	for ctx.Err() == nil {
		pause(ctx, heartbeat)
		w.mu.Lock()
		for _, e := range w.ends {
			e.server.Register(w.store, e.relay.Addr(), false)
		}
		w.mu.Unlock()
	}
}

// probe asks a host for the route that was added last and the one that was
// dropped last.
func (w *World) probe(ctx context.Context, h *host) {
	const every = 150 * time.Millisecond
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	for i := 0; ctx.Err() == nil; i++ {
		pause(ctx, every)
		w.mu.Lock()
		at := len(w.configs) - 1
		if i%2 == 1 && at > 0 {
			at--
		}
		prefix := w.configs[at].prefix
		w.mu.Unlock()
		s := sendTo(client, h, http.MethodGet, prefix, fmt.Sprintf("p%d-%s-%d", w.seed, h.name, i), "")
		w.mu.Lock()
		w.probes = append(w.probes, s)
		w.mu.Unlock()
	}
}
