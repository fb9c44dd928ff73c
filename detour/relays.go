package detour

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/internal/metric"
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
	pools map[string]*poolRelays
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
		Options: o, pools: map[string]*poolRelays{},
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

// pick returns a random relay to a pool, if possible none of those that a request was
// sent to before. It waits for the first one; ok is false when none is found.
func (r *Relays) pick(ctx context.Context, pool string, tried []netip.AddrPort) (name string, addr netip.AddrPort, ok bool) {
	if name, addr, ok = r.pickKnown(pool, tried); ok {
		r.search(pool)
		return name, addr, true
	}
	select {
	case <-r.search(pool):
	case <-r.Clock.After(firstRelayWait):
	case <-ctx.Done():
	}
	return r.pickKnown(pool, tried)
}

func (r *Relays) pickKnown(pool string, tried []netip.AddrPort) (name string, addr netip.AddrPort, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, now := r.pools[pool], r.Clock.Now()
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
	if p := r.pools[pool]; p != nil {
		delete(p.relays, name)
	}
}

// search asks hosts whether they reach a pool, unless that was done just now. The
// channel is closed when a relay was found or all have answered.
func (r *Relays) search(pool string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[pool]
	if p == nil {
		p = &poolRelays{relays: map[string]relay{}}
		r.pools[pool] = p
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
	go r.ask(pool, p, r.hostsToAsk(p), p.found)
	return p.found
}

// hostsToAsk returns the known relays and random other hosts. The caller holds the
// lock.
func (r *Relays) hostsToAsk(p *poolRelays) []roster.Host {
	known, others := lo.FilterReject(r.Roster.Others(), func(h roster.Host, _ int) bool {
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
