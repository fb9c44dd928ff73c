package handoff

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/owner"
	"github.com/chestnutfield/chestnutfield/table"
)

// defaultCrossDomainDelay is the one-way delay to another failure domain when the
// Options set none.
const defaultCrossDomainDelay = time.Millisecond

// Options configure a Balancer.
type Options struct {
	// Self is this host.
	Self owner.Member
	// Direct selects a target when no owner can be reached.
	Direct lb.Balancer
	// CrossDomainDelay is the one-way delay to another failure domain; 0 selects
	// 1 ms.
	CrossDomainDelay time.Duration
	// Seed makes selections repeatable.
	Seed uint64
	// Clock gives the time of an admission; nil selects the real clock.
	Clock clockwork.Clock
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// Peer is a live entry host and the address at which it accepts requests from
// other entry hosts.
type Peer struct {
	owner.Member
	Addr netip.AddrPort
}

// PoolSpec describes a pool as the configuration tables and the host list
// define it.
type PoolSpec struct {
	// Targets are the targets that accept new requests.
	Targets []table.Target
	// Slots is the number of requests that a target serves concurrently.
	Slots int
}

// Balancer hands requests to the owners of groups. It implements
// lb.RefusingBalancer and is safe for concurrent use.
type Balancer struct {
	opts     Options
	metrics  metrics
	snapshot atomic.Pointer[snapshot]
}

// snapshot is one version of the pools. Update replaces it atomically.
type snapshot struct {
	pools map[string]*poolState
}

// poolState is the state of one pool, guarded by mu.
type poolState struct {
	mu      sync.Mutex
	chooser *owner.Chooser
	// ownerAddrs maps each group to the address of its owner.
	ownerAddrs map[owner.Group]netip.AddrPort
	// ownerNames maps each group to the name of its owner.
	ownerNames map[owner.Group]string
	// refusedUntil holds until when the owner of a group wants no request that it
	// refused again.
	refusedUntil map[owner.Group]time.Time
}

// New returns a Balancer without pools, which dispatches everything directly
// until Update is called.
func New(opts Options) *Balancer {
	opts.CrossDomainDelay = cmp.Or(opts.CrossDomainDelay, defaultCrossDomainDelay)
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	b := &Balancer{opts: opts, metrics: newMetrics(opts.Registerer)}
	b.snapshot.Store(&snapshot{})
	return b
}

// Update replaces the peers, which include this host, and the pools. It keeps the
// state of groups that remain. With fewer than two peers everything is dispatched
// directly. Update must not be called concurrently with itself.
func (b *Balancer) Update(peers []Peer, pools map[string]PoolSpec) {
	old := b.snapshot.Load()
	next := &snapshot{pools: make(map[string]*poolState, len(pools))}
	if len(peers) > 1 {
		for name, spec := range pools {
			next.pools[name] = b.updatePool(old.pools[name], name, spec, peers)
		}
	}
	b.snapshot.Store(next)
}

func (b *Balancer) updatePool(s *poolState, pool string, spec PoolSpec, peers []Peer) *poolState {
	members := lo.Map(peers, func(p Peer, _ int) owner.Member { return p.Member })
	addrs := lo.SliceToMap(peers, func(p Peer) (string, netip.AddrPort) { return p.Name, p.Addr })
	ownerAddrs, ownerNames := map[owner.Group]netip.AddrPort{}, map[owner.Group]string{}
	var specs []owner.GroupSpec
	for g, targets := range owner.GroupByDomain(pool, spec.Targets) {
		m, ok := owner.Assign(g, members)
		if !ok {
			continue
		}
		ownerAddrs[g], ownerNames[g] = addrs[m.Name], m.Name
		specs = append(specs, owner.GroupSpec{
			Group: g, Slots: len(targets) * max(1, spec.Slots), NetworkDelay: b.networkDelay(g, m),
		})
	}
	slices.SortFunc(specs, func(x, y owner.GroupSpec) int {
		return strings.Compare(x.Group.FailureDomain, y.Group.FailureDomain)
	})
	if s == nil {
		s = &poolState{chooser: owner.NewChooser(b.opts.Seed ^ xxhash.Sum64String(b.opts.Self.Name+"/"+pool))}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownerAddrs, s.ownerNames = ownerAddrs, ownerNames
	s.refusedUntil = lo.PickByKeys(s.refusedUntil, lo.Keys(ownerAddrs))
	s.chooser.Update(specs)
	return s
}

// GroupOwner is a group and the name of the host that owns it.
type GroupOwner struct {
	Group owner.Group
	Host  string
}

// Owners returns the owners of the groups of a pool, sorted by failure domain, or
// nil when the pool is dispatched directly.
func (b *Balancer) Owners(pool string) []GroupOwner {
	s := b.snapshot.Load().pools[pool]
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := lo.MapToSlice(s.ownerNames, func(g owner.Group, host string) GroupOwner { return GroupOwner{g, host} })
	slices.SortFunc(list, func(x, y GroupOwner) int {
		return strings.Compare(x.Group.FailureDomain, y.Group.FailureDomain)
	})
	return list
}

// networkDelay returns the one-way delay to the targets of a group through its
// owner m.
func (b *Balancer) networkDelay(g owner.Group, m owner.Member) time.Duration {
	var d time.Duration
	if m.FailureDomain != b.opts.Self.FailureDomain {
		d += b.opts.CrossDomainDelay
	}
	if m.FailureDomain != g.FailureDomain {
		d += b.opts.CrossDomainDelay
	}
	return d
}

// Pick selects a group whose owner isn't excluded by the query, or a target through
// Options.Direct when there is none.
func (b *Balancer) Pick(q lb.PickQuery) (lb.Attempt, bool) {
	if s := b.snapshot.Load().pools[q.Pool]; s != nil {
		if a, ok := s.pick(q, &b.metrics); ok {
			b.metrics.handedOff.Inc()
			return a, true
		}
	}
	b.metrics.direct.Inc()
	return b.opts.Direct.Pick(q)
}

// PickOrRefuse selects like Pick. When the targets take no more requests a second, the
// Retry-After of a refusal is the shortest that an owner or Options.Direct names.
func (b *Balancer) PickOrRefuse(ctx context.Context, q lb.PickQuery) (lb.Attempt, *lb.Refusal) {
	s := b.snapshot.Load().pools[q.Pool]
	if s != nil {
		if a, ok := s.pick(q, &b.metrics); ok {
			b.metrics.handedOff.Inc()
			return a, nil
		}
	}
	b.metrics.direct.Inc()
	direct, ok := b.opts.Direct.(lb.RefusingBalancer)
	if !ok {
		if a, ok := b.opts.Direct.Pick(q); ok {
			return a, nil
		}
		return nil, &lb.Refusal{Reason: outcome.NoTarget}
	}
	a, refusal := direct.PickOrRefuse(ctx, q)
	if refusal != nil && refusal.Reason == outcome.RateLimited && s != nil {
		refusal.RetryAfter = s.shortestRetryAfter(q.Now, refusal.RetryAfter)
	}
	return a, refusal
}

// shortestRetryAfter returns the shortest of a Retry-After and the rests of those with
// which owners refused requests.
func (s *poolState) shortestRetryAfter(now time.Time, retryAfter time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, until := range s.refusedUntil {
		if left := until.Sub(now); left > 0 {
			retryAfter = min(retryAfter, left)
		}
	}
	return retryAfter
}

func (s *poolState) pick(q lb.PickQuery, m *metrics) (lb.Attempt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var tried []owner.Group
	if len(q.Exclude) > 0 {
		tried = lo.Filter(lo.Keys(s.ownerAddrs), func(g owner.Group, _ int) bool {
			return slices.Contains(q.Exclude, s.ownerAddrs[g])
		})
	}
	g, ok := s.chooser.Pick(q.Now, tried)
	if !ok {
		return nil, false
	}
	return &attempt{pool: s, group: g, addr: s.ownerAddrs[g], metrics: m}, true
}
