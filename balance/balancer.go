package balance

import (
	"cmp"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/table"
)

// Options configure a Balancer.
type Options struct {
	// Host is the name of this entry host.
	Host string
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// Policy is the policy of pools that name none; "" selects DefaultPolicy.
	Policy string
	// Seed makes selections repeatable. Each host and pool derives its own
	// random sequence from it.
	Seed uint64
	// Membership lists the live hosts; nil means that this is the only host.
	Membership lb.Membership
	// CrossDomainRTT is the additional round-trip time to another failure domain;
	// 0 means DefaultCrossDomainRTT.
	CrossDomainRTT time.Duration
	// OnDrain is called without any lock held when a response or probe shows
	// that a target has started to drain, so that peers can be notified. It
	// may be nil.
	OnDrain func(now time.Time, target netip.AddrPort)
	// WarmupRoles gives this host's part in warm-up rates; nil means that this is
	// the only host.
	WarmupRoles WarmupRoles
	// Clock gives the time while requests wait for a permit; nil selects the real
	// clock.
	Clock clockwork.Clock
	// OnRejection is called without any lock held when this host finds that a target
	// rejects all requests, or serves them again, so that peers can be notified. It
	// may be nil.
	OnRejection func()
	// Logger receives changes of warm-ups, and of reports about targets that reject all
	// requests; nil logs none.
	Logger *zap.Logger
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// PoolSpec describes a pool as the configuration tables and the host list
// define it.
type PoolSpec struct {
	// Targets are the targets of the pool; duplicate addresses are ignored.
	Targets []table.Target
	// Drain lists targets that the operator or the host list drains.
	Drain []netip.AddrPort
	// Slots is the number of requests that a target serves concurrently; 0
	// means DefaultSlots.
	Slots int
	// Connections is the number of connections that a target accepts from all
	// entry hosts together; 0 means no limit.
	Connections int
	// Policy is the name of the policy; "" selects Options.Policy.
	Policy string
	// Exclusive is true when all requests to the targets pass through this
	// host, as those of a group pass through its owner. Limits are then not
	// divided among the hosts.
	Exclusive bool
	// Warmup is the warm-up rate of the targets.
	Warmup WarmupSpec
}

// DefaultSlots is the number of slots of a target whose pool sets none.
const DefaultSlots = 2

// DefaultCrossDomainRTT is the additional round-trip time to another failure
// domain when the Options set none.
const DefaultCrossDomainRTT = 2 * time.Millisecond

// Balancer selects targets for all pools. It implements lb.Balancer,
// lb.DrainRecorder, lb.LoadExchange, lb.RejectionExchange and probe.Source, and is safe for
// concurrent use.
type Balancer struct {
	opts   Options
	drains *drains
	cold   *coldTargets
	// rejections are the targets that reject all requests.
	rejections *rejections
	metrics    *metrics
	// update serializes Update, which replaces the map in pools as a whole.
	update sync.Mutex
	pools  atomic.Pointer[map[string]*pool]
	// availabilityGeneration counts changes to the set of targets that accept
	// new requests.
	availabilityGeneration atomic.Uint64
}

var (
	_ lb.Balancer      = (*Balancer)(nil)
	_ lb.DrainRecorder = (*Balancer)(nil)
)

// New returns a Balancer without pools. It fails when Options.Policy is unknown
// or the metrics can't be registered.
func New(opts Options) (*Balancer, error) {
	if _, err := lookupPolicy(opts.Policy); err != nil {
		return nil, err
	}
	opts.CrossDomainRTT = cmp.Or(opts.CrossDomainRTT, DefaultCrossDomainRTT)
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	b := &Balancer{opts: opts, cold: newColdTargets(opts.WarmupRoles)}
	m, err := newMetrics(opts.Registerer, b)
	if err != nil {
		return nil, err
	}
	b.metrics = m
	b.rejections = newRejections(opts)
	b.drains = newDrains(&b.availabilityGeneration)
	b.pools.Store(&map[string]*pool{})
	return b, nil
}

// AvailabilityGeneration returns a counter that grows whenever a target starts
// or stops accepting new requests, because of a response, a probe, a peer or
// its health. The expiry of a drain mark isn't counted.
func (b *Balancer) AvailabilityGeneration() uint64 { return b.availabilityGeneration.Load() }

// Update replaces the pools and keeps the state of targets that remain. On an
// unknown policy it changes nothing and returns an error that names the pool.
func (b *Balancer) Update(now time.Time, specs map[string]PoolSpec) error {
	b.update.Lock()
	defer b.update.Unlock()
	factories := make(map[string]policyFactory, len(specs))
	for name, spec := range specs {
		f, err := lookupPolicy(b.policyName(spec))
		if err != nil {
			return errors.Wrapf(err, "pool %s", name)
		}
		factories[name] = f
	}
	old := *b.pools.Load()
	b.cold.update(now, specs)
	next := make(map[string]*pool, len(specs))
	for name, spec := range specs {
		p, ok := old[name]
		if !ok {
			p = newPool(name, b)
		}
		p.update(now, spec, b.policyName(spec), factories[name])
		next[name] = p
	}
	b.pools.Store(&next)
	b.rejections.retain(specs)
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

// shareDivisor returns the number of hosts that a shared limit is divided by.
func (b *Balancer) shareDivisor() int {
	if b.opts.Membership == nil {
		return 1
	}
	return max(b.opts.Membership.ShareDivisor(), 1)
}

// networkDelay returns the additional round-trip time to a failure domain.
func (b *Balancer) networkDelay(domain string) time.Duration {
	if domain == "" || domain == b.opts.FailureDomain {
		return 0
	}
	return b.opts.CrossDomainRTT
}

// Pick selects a target and counts the attempt as in flight. It returns false
// when the pool is unknown or no target may receive the request.
func (b *Balancer) Pick(q lb.PickQuery) (lb.Attempt, bool) {
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

// MarkDraining marks a target as draining in all pools. It returns true when
// the target wasn't marked before. OnDrain isn't called, because the caller
// already has the information from elsewhere.
func (b *Balancer) MarkDraining(now time.Time, target netip.AddrPort) bool {
	return b.drains.mark(now, target)
}

// recordDrain marks a target as draining because its response to a request or
// probe said so, and calls OnDrain if it wasn't marked before.
func (b *Balancer) recordDrain(now time.Time, target netip.AddrPort) {
	if b.drains.mark(now, target) && b.opts.OnDrain != nil {
		b.metrics.drains.Inc()
		b.opts.OnDrain(now, target)
	}
}

// TargetState is the state of one target for status pages.
type TargetState struct {
	Addr          netip.AddrPort `json:"addr"`
	FailureDomain string         `json:"failure_domain"`
	// State is one of StateReady, StateRamping, StateEjected, StateTrial and
	// StateDraining.
	State string `json:"state"`
	// InFlight is the number of requests that this host has in flight at the
	// target.
	InFlight int `json:"in_flight"`
	// Estimate is the estimated number of requests of all hosts at the target.
	Estimate float64 `json:"estimate"`
	// Trust is the weight of the target's load reports, 0 to 1.
	Trust float64 `json:"trust"`
	// Latency is the moving average of the latency.
	Latency time.Duration `json:"latency"`
	// FailureRate is the moving average of the share of failed requests, 0 to 1.
	FailureRate float64 `json:"failure_share"`
	// RateLimit is the rate limit in force of all hosts together, in requests a
	// second; LimitReason says why there is one, "" for no limit.
	RateLimit   float64 `json:"rate_limit"`
	LimitReason string  `json:"limit_reason"`
	// WarmupLeft is the rest of the warm-up that the target reported.
	WarmupLeft time.Duration `json:"warmup_left"`
}

// States returns the state of each target of a pool, sorted by address, or nil
// when the pool is unknown.
func (b *Balancer) States(now time.Time, poolName string) []TargetState {
	p, ok := b.pool(poolName)
	if !ok {
		return nil
	}
	return p.states(now)
}

// Pools returns the sorted names of the pools.
func (b *Balancer) Pools() []string {
	pools := *b.pools.Load()
	names := make([]string, 0, len(pools))
	for name := range pools {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
