package retry

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/ports"
)

// Defaults of Options.
const (
	// DefaultRatio is the share of first attempts that may be repeated.
	DefaultRatio = 0.1
	// DefaultFloor is the number of further attempts a second that a pool may
	// make whatever its traffic, all entry hosts together.
	DefaultFloor = 4.0
	// DefaultBurst is the number of tokens that all entry hosts together keep
	// for one pool.
	DefaultBurst = 36.0
)

// Bounds are the parts of Options that may change while a budget is used.
type Bounds struct {
	// Ratio and Burst are those of Options.
	Ratio, Burst float64
}

// NoFloor is the Floor of a budget that only requests pay into.
const NoFloor = -1

// Options configure a Budget. Zero values select the defaults.
type Options struct {
	// Name labels the metrics, "retry" by default.
	Name string
	// Ratio is paid in by every first attempt.
	Ratio float64
	// Floor is paid in a second, divided by the number of hosts; NoFloor pays
	// in nothing.
	Floor float64
	// Burst is the largest sum of tokens, divided by the number of hosts; a
	// host may always keep one.
	Burst float64
	// Membership tells the number of hosts; nil stands for one host alone.
	Membership ports.Membership
	// Registerer takes the metrics; nil keeps none.
	Registerer prometheus.Registerer
}

// Budget bounds further attempts per pool. It implements ports.RetryBudget
// and is safe for concurrent use.
type Budget struct {
	opts    Options
	bounds  atomic.Pointer[Bounds]
	taken   *prometheus.CounterVec
	refused *prometheus.CounterVec
	buckets sync.Map // pool name to *bucket
}

var _ ports.RetryBudget = (*Budget)(nil)

// New returns a budget whose buckets hold one token each.
func New(o Options) (*Budget, error) {
	if o.Name == "" {
		o.Name = "retry"
	}
	o.Ratio = cmp.Or(o.Ratio, DefaultRatio)
	o.Floor = cmp.Or(o.Floor, DefaultFloor)
	o.Burst = cmp.Or(o.Burst, DefaultBurst)
	b := &Budget{opts: o, taken: counter(o.Name, "taken"), refused: counter(o.Name, "refused")}
	b.Set(Bounds{Ratio: o.Ratio, Burst: o.Burst})
	if err := metric.Register(o.Registerer, o.Name+" budget", b.taken, b.refused); err != nil {
		return nil, err
	}
	return b, nil
}

// Set changes the bounds from now on; zero values select the defaults. What a
// bucket holds beyond its new limit is lost with its next use.
func (b *Budget) Set(to Bounds) {
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
	b.bucket(pool).deposit(now, b.rates())
}

// Withdraw takes one further attempt; false when the budget is spent.
func (b *Budget) Withdraw(pool string, now time.Time) bool {
	if b.bucket(pool).withdraw(now, b.rates()) {
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

func (b *Budget) rates() rates {
	hosts := 1.0
	if b.opts.Membership != nil {
		hosts = float64(max(b.opts.Membership.ShareCount(), 1))
	}
	bounds := b.bounds.Load()
	return rates{
		ratio: bounds.Ratio,
		floor: max(b.opts.Floor, 0) / hosts,
		limit: max(bounds.Burst/hosts, 1),
	}
}

// rates are this host's part of a budget.
type rates struct {
	ratio, floor, limit float64
}

// bucket is the budget of one pool, a shard with its own lock.
type bucket struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func (b *bucket) deposit(now time.Time, r rates) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, r)
	b.tokens = min(b.tokens+r.ratio, r.limit)
}

func (b *bucket) withdraw(now time.Time, r rates) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, r)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *bucket) refill(now time.Time, r rates) {
	if b.last.IsZero() || now.Before(b.last) {
		b.last = now
	}
	b.tokens = min(b.tokens+r.floor*now.Sub(b.last).Seconds(), r.limit)
	b.last = now
}
