package retry

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/lb"
)

// Defaults of Options.
const (
	// DefaultRatio is the number of further attempts allowed per first attempt.
	DefaultRatio = 0.1
	// DefaultMinPerSecond is the number of further attempts per second that is
	// always allowed for a pool, over all entry hosts together.
	DefaultMinPerSecond = 4.0
	// DefaultBurst is the maximum number of tokens per pool, over all entry
	// hosts together.
	DefaultBurst = 36.0
)

// Bounds are the fields of Options that may change while a budget is in use.
type Bounds struct {
	// Ratio and Burst are as in Options.
	Ratio, Burst float64
}

// NoMinimum is the value of Options.MinPerSecond for a budget that is refilled
// only by first attempts.
const NoMinimum = -1

// Options configure a Budget. Zero values select the defaults.
type Options struct {
	// Name is part of the metric names; "" selects "retry".
	Name string
	// Ratio is the number of tokens that each first attempt deposits.
	Ratio float64
	// MinPerSecond is the number of tokens added per second, divided by the
	// number of hosts; NoMinimum adds none.
	MinPerSecond float64
	// Burst is the maximum number of tokens, divided by the number of hosts; a
	// host may always hold one.
	Burst float64
	// Membership gives the number of hosts that share the budget; nil means a
	// single host.
	Membership lb.Membership
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// Budget limits the further attempts per pool. It implements lb.RetryBudget
// and is safe for concurrent use.
type Budget struct {
	opts    Options
	bounds  atomic.Pointer[Bounds]
	taken   *prometheus.CounterVec
	refused *prometheus.CounterVec
	buckets sync.Map // pool name to *bucket
}

var _ lb.RetryBudget = (*Budget)(nil)

// New returns a budget whose buckets start with one token each.
func New(o Options) (*Budget, error) {
	if o.Name == "" {
		o.Name = "retry"
	}
	o.Ratio = cmp.Or(o.Ratio, DefaultRatio)
	o.MinPerSecond = cmp.Or(o.MinPerSecond, DefaultMinPerSecond)
	o.Burst = cmp.Or(o.Burst, DefaultBurst)
	b := &Budget{opts: o, taken: counter(o.Name, "taken"), refused: counter(o.Name, "refused")}
	b.SetBounds(Bounds{Ratio: o.Ratio, Burst: o.Burst})
	if err := metric.Register(o.Registerer, o.Name+" budget", b.taken, b.refused); err != nil {
		return nil, err
	}
	return b, nil
}

// SetBounds changes the bounds; zero values select the defaults. A bucket drops
// tokens beyond its new maximum at its next use.
func (b *Budget) SetBounds(to Bounds) {
	b.bounds.Store(&Bounds{Ratio: cmp.Or(to.Ratio, DefaultRatio), Burst: cmp.Or(to.Burst, DefaultBurst)})
}

func counter(name, what string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chestnut_" + name + "_budget_" + what + "_total",
		Help: "Further attempts " + what + " by pool.",
	}, []string{"pool"})
}

// Deposit counts a first attempt.
func (b *Budget) Deposit(pool string, now time.Time) {
	b.bucket(pool).deposit(now, b.hostRates())
}

// Withdraw takes the token of one further attempt; it returns false when there
// is none.
func (b *Budget) Withdraw(pool string, now time.Time) bool {
	if b.bucket(pool).withdraw(now, b.hostRates()) {
		b.taken.WithLabelValues(pool).Inc()
		return true
	}
	b.refused.WithLabelValues(pool).Inc()
	return false
}

func (b *Budget) bucket(pool string) *bucket {
	if v, ok := b.buckets.Load(pool); ok {
		return v.(*bucket)
	}
	v, _ := b.buckets.LoadOrStore(pool, &bucket{tokens: 1})
	return v.(*bucket)
}

func (b *Budget) hostRates() hostRates {
	hosts := 1.0
	if b.opts.Membership != nil {
		hosts = float64(max(b.opts.Membership.ShareDivisor(), 1))
	}
	bounds := b.bounds.Load()
	return hostRates{
		ratio:        bounds.Ratio,
		minPerSecond: max(b.opts.MinPerSecond, 0) / hosts,
		limit:        max(bounds.Burst/hosts, 1),
	}
}

// hostRates are the token rates and the bucket size of one host: tokens per
// first attempt, tokens per second, and the maximum number of tokens.
type hostRates struct {
	ratio, minPerSecond, limit float64
}

// bucket is the token bucket of one pool, under its own lock.
type bucket struct {
	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

func (b *bucket) deposit(now time.Time, r hostRates) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, r)
	b.tokens = min(b.tokens+r.ratio, r.limit)
}

func (b *bucket) withdraw(now time.Time, r hostRates) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, r)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *bucket) refill(now time.Time, r hostRates) {
	if b.lastRefill.IsZero() || now.Before(b.lastRefill) {
		b.lastRefill = now
	}
	b.tokens = min(b.tokens+r.minPerSecond*now.Sub(b.lastRefill).Seconds(), r.limit)
	b.lastRefill = now
}
