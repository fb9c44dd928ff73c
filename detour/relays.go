package detour

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/roster"
)

const (
	// hostsAsked is the number of hosts that are asked in one search, known relays
	// first.
	hostsAsked = 8
	// searchInterval is the time between two searches while relays are needed, and
	// relayLife how long a relay is used after its response.
	searchInterval = 500 * time.Millisecond
	relayLife      = 2 * time.Second
	// queryTimeout bounds one query: the other host may have to probe the pool.
	queryTimeout = 300 * time.Millisecond
	// firstRelayWait is how long a request waits for the first relay.
	firstRelayWait = 100 * time.Millisecond
)

// Options configure Relays. All but Port and Registerer are required.
type Options struct {
	Node   *hostmsg.Node
	Roster *roster.Roster
	Reach  placement.Reachability
	// Regions are the regions of the failure domains of hosts. A request that names
	// regions is handed only to hosts in them.
	Regions map[string]string
	// Port is the port on which this host takes requests from others; 0 means that it
	// takes none.
	Port       uint16
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// Relays finds hosts that reach a pool for a host that does not, and answers other
// hosts that look for one. It is safe for concurrent use.
type Relays struct {
	Options
	requests *prometheus.CounterVec
	stopping atomic.Bool

	mu    sync.Mutex
	pools map[relayScope]*poolRelays
}

// relayScope is a pool and the hosts that may be relays to it: those in regions,
// which are separated by commas, or all.
type relayScope struct {
	pool, regions string
	all           bool
}

func scopeOf(q lb.PlaceQuery) relayScope {
	return relayScope{pool: q.Pool, regions: strings.Join(q.Regions, ","), all: q.Regions == nil}
}

// allows reports whether a host may be a relay. One whose region is unknown is in no
// region.
func (s relayScope) allows(h roster.Host, regions map[string]string) bool {
	region := regions[h.FailureDomain]
	return s.all || region != "" && slices.Contains(strings.Split(s.regions, ","), region)
}

// poolRelays are the known relays to one pool, by host name.
type poolRelays struct {
	relays     map[string]relay
	searchedAt time.Time
	// found is closed when the running search has found a relay or has ended; nil
	// when none runs.
	found chan struct{}
}

type relay struct {
	addr  netip.AddrPort
	until time.Time
}

// NewRelays returns relays that are not known yet. It registers its message handler
// at the node. It fails when a metric can't be registered.
func NewRelays(o Options) (*Relays, error) {
	r := &Relays{
		Options: o, pools: map[relayScope]*poolRelays{},
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_detour_requests_total",
			Help: "Attempts of requests to pools that this host does not reach, by the way they took.",
		}, []string{"way"}),
	}
	o.Node.Handle(kindRelay, r.handleQuery)
	return r, metric.Register(o.Registerer, "detour", r.requests)
}

// Stop makes this host answer that it takes no more requests from others.
func (r *Relays) Stop() { r.stopping.Store(true) }

// handleQuery answers a host that looks for a relay.
func (r *Relays) handleQuery(m hostmsg.Message) {
	var q relayQuery
	if err := m.Decode(&q); err != nil {
		r.Logger.Debug("malformed relay query dropped", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	if r.stopping.Load() || r.Port == 0 || r.Reach.Cut(q.Pool) {
		m.Respond(relayResponse{})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		m.Respond(relayResponse{Reaches: r.Reach.Reaches(ctx, q.Pool), Port: r.Port})
	}()
}

// pick returns a random relay for a request, in its regions and if possible none of
// those that it was sent to before. It waits for the first one; ok is false when none
// is found.
func (r *Relays) pick(ctx context.Context, q lb.PlaceQuery) (name string, addr netip.AddrPort, ok bool) {
	scope, tried := scopeOf(q), q.Exclude
	if name, addr, ok = r.pickKnown(scope, tried); ok {
		r.search(scope)
		return name, addr, true
	}
	select {
	case <-r.search(scope):
	case <-r.Clock.After(firstRelayWait):
	case <-ctx.Done():
	}
	return r.pickKnown(scope, tried)
}

func (r *Relays) pickKnown(scope relayScope, tried []netip.AddrPort) (name string, addr netip.AddrPort, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, now := r.pools[scope], r.Clock.Now()
	if p == nil {
		return "", addr, false
	}
	p.relays = lo.OmitBy(p.relays, func(_ string, known relay) bool { return !now.Before(known.until) })
	names := lo.Keys(p.relays)
	if len(names) == 0 {
		return "", addr, false
	}
	untried := lo.Reject(names, func(n string, _ int) bool { return slices.Contains(tried, p.relays[n].addr) })
	if len(untried) > 0 {
		names = untried
	}
	name = lo.Sample(names)
	return name, p.relays[name].addr, true
}

// forget drops a relay that could not take a request.
func (r *Relays) forget(pool, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for scope, p := range r.pools {
		if scope.pool == pool {
			delete(p.relays, name)
		}
	}
}

// search asks hosts of a scope whether they reach its pool, unless that was done just now. The
// channel is closed when a relay was found or all have answered.
func (r *Relays) search(scope relayScope) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[scope]
	if p == nil {
		p = &poolRelays{relays: map[string]relay{}}
		r.pools[scope] = p
	}
	now := r.Clock.Now()
	switch {
	case p.found != nil:
		return p.found
	case now.Sub(p.searchedAt) < searchInterval:
		done := make(chan struct{})
		close(done)
		return done
	}
	p.searchedAt, p.found = now, make(chan struct{})
	go r.ask(scope.pool, p, r.hostsToAsk(scope, p), p.found)
	return p.found
}

// hostsToAsk returns the known relays and random other hosts of a scope. The caller
// holds the lock.
func (r *Relays) hostsToAsk(scope relayScope, p *poolRelays) []roster.Host {
	allowed := lo.Filter(r.Roster.Others(), func(h roster.Host, _ int) bool { return scope.allows(h, r.Regions) })
	known, others := lo.FilterReject(allowed, func(h roster.Host, _ int) bool {
		_, isRelay := p.relays[h.Name]
		return isRelay
	})
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	// Half of the questions go to hosts that are not known as relays, so that the
	// load spreads over more of them.
	known = known[:min(len(known), hostsAsked/2)]
	return slices.Concat(known, lo.Samples(others, hostsAsked-len(known)))
}

// ask asks hosts whether they reach a pool and records those that do.
func (r *Relays) ask(pool string, p *poolRelays, hosts []roster.Host, found chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	var once sync.Once
	signal := func() { once.Do(func() { close(found) }) }
	var queries sync.WaitGroup
	var reaching atomic.Int32
	for _, h := range hosts {
		queries.Go(func() {
			if r.askHost(ctx, pool, p, h) {
				reaching.Add(1)
				signal()
			}
		})
	}
	queries.Wait()
	signal()
	r.mu.Lock()
	p.found = nil
	r.mu.Unlock()
	r.Logger.Info("asked hosts for a detour to a pool that this host does not reach", zap.String("pool", pool), zap.Int("asked", len(hosts)), zap.Int32("reach_it", reaching.Load()))
}

// askHost asks one host and returns whether it is a relay.
func (r *Relays) askHost(ctx context.Context, pool string, p *poolRelays, h roster.Host) bool {
	var response relayResponse
	err := r.Node.Call(ctx, h.Addr, kindRelay, relayQuery{Pool: pool}, &response)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || !response.Reaches {
		delete(p.relays, h.Name)
		return false
	}
	p.relays[h.Name] = relay{addr: netip.AddrPortFrom(h.Addr.Addr(), response.Port), until: r.Clock.Now().Add(relayLife)}
	return true
}
