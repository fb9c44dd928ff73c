package handoff

import (
	"cmp"
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

	"github.com/chestnutfield/chestnutfield/owner"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/table"
)

// defaultFarDistance is the one-way time to another failure domain when the
// options name none.
const defaultFarDistance = time.Millisecond

// Options configure a Balancer.
type Options struct {
	// Self is this host.
	Self owner.Member
	// Direct chooses targets when no owner can be reached.
	Direct ports.Balancer
	// FarDistance is the one-way time to another failure domain.
	FarDistance time.Duration
	// Seed makes choices repeatable.
	Seed uint64
	// Clock gives the time of admission; nil selects the real clock.
	Clock clockwork.Clock
	// Registerer takes the metrics; nil keeps none.
	Registerer prometheus.Registerer
}

// Peer is a live entry host and the address that takes requests handed over.
type Peer struct {
	owner.Member
	Addr netip.AddrPort
}

// PoolSpec is a pool as the tables and the host list give it.
type PoolSpec struct {
	// Targets are the targets that take new work.
	Targets []table.Target
	// Slots is the number of requests that a target serves at once.
	Slots int
}

// Balancer hands requests to owners. It implements ports.Balancer and is safe
// for concurrent use.
type Balancer struct {
	opts    Options
	metrics metrics
	view    atomic.Pointer[view]
}

// view is one version of the pools; it is swapped as one piece.
type view struct {
	pools map[string]*shard
}

// shard is the state of one pool under its own lock.
type shard struct {
	mu      sync.Mutex
	chooser *owner.Chooser
	// owners maps each group to the address of its owner.
	owners map[owner.Group]netip.AddrPort
	// hosts maps each group to the name of its owner.
	hosts map[owner.Group]string
}

// New returns a balancer without pools; until Update it dispatches directly.
func New(opts Options) *Balancer {
	opts.FarDistance = cmp.Or(opts.FarDistance, defaultFarDistance)
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	b := &Balancer{opts: opts, metrics: newMetrics(opts.Registerer)}
	b.view.Store(&view{})
	return b
}

// Update replaces peers and pools; peers holds this host too. What is known of
// groups that stay is kept. It must not be called concurrently with itself.
func (b *Balancer) Update(peers []Peer, pools map[string]PoolSpec) {
	old := b.view.Load()
	next := &view{pools: make(map[string]*shard, len(pools))}
	if len(peers) > 1 {
		for name, spec := range pools {
			next.pools[name] = b.updateShard(old.pools[name], name, spec, peers)
		}
	}
	b.view.Store(next)
}

func (b *Balancer) updateShard(s *shard, pool string, spec PoolSpec, peers []Peer) *shard {
	members := lo.Map(peers, func(p Peer, _ int) owner.Member { return p.Member })
	addrs := lo.SliceToMap(peers, func(p Peer) (string, netip.AddrPort) { return p.Name, p.Addr })
	owners, hosts := map[owner.Group]netip.AddrPort{}, map[owner.Group]string{}
	var specs []owner.GroupSpec
	for g, targets := range owner.Split(pool, spec.Targets) {
		m, ok := owner.Assign(g, members)
		if !ok {
			continue
		}
		owners[g], hosts[g] = addrs[m.Name], m.Name
		specs = append(specs, owner.GroupSpec{
			Group: g, Slots: len(targets) * max(1, spec.Slots), Distance: b.distance(g, m),
		})
	}
	slices.SortFunc(specs, func(x, y owner.GroupSpec) int {
		return strings.Compare(x.Group.FailureDomain, y.Group.FailureDomain)
	})
	if s == nil {
		s = &shard{chooser: owner.NewChooser(b.opts.Seed ^ xxhash.Sum64String(b.opts.Self.Name+"/"+pool))}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owners, s.hosts = owners, hosts
	s.chooser.Update(specs)
	return s
}

// GroupOwner says which host owns a group.
type GroupOwner struct {
	Group owner.Group
	Host  string
}

// Owners returns the owners of the groups of a pool, in order of failure
// domain; none when the pool is dispatched directly.
func (b *Balancer) Owners(pool string) []GroupOwner {
	s := b.view.Load().pools[pool]
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := lo.MapToSlice(s.hosts, func(g owner.Group, host string) GroupOwner { return GroupOwner{g, host} })
	slices.SortFunc(list, func(x, y GroupOwner) int {
		return strings.Compare(x.Group.FailureDomain, y.Group.FailureDomain)
	})
	return list
}

// distance is the way over the owner to the group.
func (b *Balancer) distance(g owner.Group, m owner.Member) time.Duration {
	var d time.Duration
	if m.FailureDomain != b.opts.Self.FailureDomain {
		d += b.opts.FarDistance
	}
	if m.FailureDomain != g.FailureDomain {
		d += b.opts.FarDistance
	}
	return d
}

// Pick chooses a group whose owner has not been tried yet, or a target when no
// owner is left.
func (b *Balancer) Pick(q ports.PickQuery) (ports.Attempt, bool) {
	if s := b.view.Load().pools[q.Pool]; s != nil {
		if a, ok := s.pick(q, &b.metrics); ok {
			b.metrics.handed.Inc()
			return a, true
		}
	}
	b.metrics.direct.Inc()
	return b.opts.Direct.Pick(q)
}

func (s *shard) pick(q ports.PickQuery, m *metrics) (ports.Attempt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var tried []owner.Group
	if len(q.Exclude) > 0 {
		tried = lo.Filter(lo.Keys(s.owners), func(g owner.Group, _ int) bool {
			return slices.Contains(q.Exclude, s.owners[g])
		})
	}
	g, ok := s.chooser.Pick(q.Now, tried)
	if !ok {
		return nil, false
	}
	return &attempt{shard: s, group: g, addr: s.owners[g], metrics: m}, true
}
