package balance

import (
	"cmp"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/table"
)

// Options configure a Balancer.
type Options struct {
	// Host is the name of this entry host.
	Host string
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// Policy is used by pools that name none; "" selects DefaultPolicy.
	Policy string
	// Seed makes choices repeatable; hosts and pools draw different numbers
	// from the same seed.
	Seed uint64
	// Membership tells the live hosts; nil stands for one host alone.
	Membership ports.Membership
	// CrossDomain is the time that a round trip to another failure domain
	// adds; 0 means DefaultCrossDomain.
	CrossDomain time.Duration
	// OnDrain is called, outside all locks, when this host learns of a
	// leaving target, so that peers can be told. It may be nil.
	OnDrain func(now time.Time, target netip.AddrPort)
	// Registerer takes the metrics; nil keeps none.
	Registerer prometheus.Registerer
}

// PoolSpec is a pool as the tables and the host list give it.
type PoolSpec struct {
	// Targets are the targets, duplicates removed by address.
	Targets []table.Target
	// Drain lists targets that the operator or the host list takes away.
	Drain []netip.AddrPort
	// Slots is the number of requests that a target serves at once; 0 means
	// DefaultSlots.
	Slots int
	// Connections is the number of connections that a target accepts, shared
	// by all entry hosts; 0 sets no limit.
	Connections int
	// Policy names the policy; "" selects that of the Options.
	Policy string
	// Exclusive is true when all requests to the targets pass this host, as
	// those of a group pass its owner. Shared limits aren't divided then.
	Exclusive bool
}

// DefaultSlots is the number of slots of a target whose pool names none.
const DefaultSlots = 2

// DefaultCrossDomain is assumed for the round trip to another failure domain.
const DefaultCrossDomain = 2 * time.Millisecond

// Balancer chooses targets for all pools. It implements ports.Balancer and
// ports.DrainNews and is safe for concurrent use.
type Balancer struct {
	opts    Options
	drains  *drains
	metrics *metrics
	// update serialises Update; pools is replaced as a whole.
	update sync.Mutex
	pools  atomic.Pointer[map[string]*pool]
	// changes counts changes of which targets take new work.
	changes atomic.Uint64
}

var (
	_ ports.Balancer  = (*Balancer)(nil)
	_ ports.DrainNews = (*Balancer)(nil)
)

// New returns a balancer without pools.
func New(opts Options) (*Balancer, error) {
	if _, err := findDesign(opts.Policy); err != nil {
		return nil, err
	}
	opts.CrossDomain = cmp.Or(opts.CrossDomain, DefaultCrossDomain)
	m, err := newMetrics(opts.Registerer)
	if err != nil {
		return nil, err
	}
	b := &Balancer{opts: opts, metrics: m}
	b.drains = newDrains(&b.changes)
	b.pools.Store(&map[string]*pool{})
	return b, nil
}

// Changes grows whenever a target begins or ceases to take new work, by what
// answers and peers say or by its health. A mark that runs out by its age
// alone isn't counted.
func (b *Balancer) Changes() uint64 { return b.changes.Load() }

// Update replaces the pools. What is known of targets that stay is kept. The
// error names a pool with an unknown policy; nothing is changed then.
func (b *Balancer) Update(now time.Time, specs map[string]PoolSpec) error {
	b.update.Lock()
	defer b.update.Unlock()
	chosen := make(map[string]design, len(specs))
	for name, spec := range specs {
		d, err := findDesign(b.policyName(spec))
		if err != nil {
			return errors.Wrapf(err, "pool %s", name)
		}
		chosen[name] = d
	}
	old := *b.pools.Load()
	next := make(map[string]*pool, len(specs))
	for name, spec := range specs {
		p, ok := old[name]
		if !ok {
			p = newPool(name, b)
		}
		p.update(now, spec, b.policyName(spec), chosen[name])
		next[name] = p
	}
	b.pools.Store(&next)
	return nil
}

func (b *Balancer) policyName(spec PoolSpec) string {
	switch {
	case spec.Policy != "":
		return spec.Policy
	case b.opts.Policy != "":
		return b.opts.Policy
	default:
		return DefaultPolicy
	}
}

func (b *Balancer) pool(name string) (*pool, bool) {
	p, ok := (*b.pools.Load())[name]
	return p, ok
}

// hosts is the number of hosts that share a limit.
func (b *Balancer) hosts() int {
	if b.opts.Membership == nil {
		return 1
	}
	return max(b.opts.Membership.ShareCount(), 1)
}

// distance is the time that the way to a failure domain adds.
func (b *Balancer) distance(domain string) time.Duration {
	if domain == "" || domain == b.opts.FailureDomain {
		return 0
	}
	return b.opts.CrossDomain
}

// Pick chooses a target and counts the attempt as in flight. ok is false when
// the pool is unknown or has no target left that may take new work.
func (b *Balancer) Pick(q ports.PickQuery) (ports.Attempt, bool) {
	p, ok := b.pool(q.Pool)
	if !ok {
		return nil, false
	}
	a, ok := p.pick(q)
	if !ok {
		b.metrics.noTarget.WithLabelValues(q.Pool).Inc()
		return nil, false
	}
	return a, true
}

// Leaving records that a target takes no new work, in all pools at once; it
// returns true when this was news. OnDrain isn't called: the news came from
// outside.
func (b *Balancer) Leaving(now time.Time, target netip.AddrPort) bool {
	return b.drains.mark(now, target)
}

// learnDrain records what an answer said of its target and passes news on.
func (b *Balancer) learnDrain(now time.Time, target netip.AddrPort) {
	if b.drains.mark(now, target) && b.opts.OnDrain != nil {
		b.metrics.drains.Inc()
		b.opts.OnDrain(now, target)
	}
}

// TargetState describes one target for status pages.
type TargetState struct {
	Addr          netip.AddrPort `json:"addr"`
	FailureDomain string         `json:"failure_domain"`
	State         string         `json:"state"`
	// InFlight is the number of this host's requests at the target.
	InFlight int `json:"in_flight"`
	// Estimate is the expected number of all hosts' requests.
	Estimate float64 `json:"estimate"`
	// Trust is the weight of the target's load reports, 0 to 1.
	Trust float64 `json:"trust"`
	// Latency is the smoothed latency.
	Latency time.Duration `json:"latency"`
	// FailureShare is the smoothed share of calls that failed.
	FailureShare float64 `json:"failure_share"`
}

// States returns the targets of a pool in address order; nil when the pool is
// unknown.
func (b *Balancer) States(now time.Time, poolName string) []TargetState {
	p, ok := b.pool(poolName)
	if !ok {
		return nil
	}
	return p.states(now)
}

// Pools returns the names of the pools, sorted.
func (b *Balancer) Pools() []string {
	pools := *b.pools.Load()
	names := make([]string, 0, len(pools))
	for name := range pools {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
