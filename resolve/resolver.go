package resolve

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// minInterval is the time between two readings of a small list.
	minInterval = 2 * time.Second
	// entryBytes is the size of one entry on the wire.
	entryBytes = 100
	// bytesPerSecond is what reading may cost this host.
	bytesPerSecond = 4_000
	// readTimeout bounds the reading of one service.
	readTimeout = 2 * time.Second
	// jitterShare spreads the readings of the hosts.
	jitterShare = 0.2
)

// Options configure a Resolver.
type Options struct {
	List   cloud.HostList
	Tables ports.Tables
	// Clock is the time source; nil selects the real one.
	Clock clockwork.Clock
	// Seed spreads the readings of the hosts.
	Seed uint64
	// Logger writes changes of state; nil writes none.
	Logger *zap.Logger
	// Registerer takes the metrics; nil keeps none.
	Registerer prometheus.Registerer
}

// Resolver keeps the targets of pools that name a service. It is safe for
// concurrent use.
type Resolver struct {
	opts     Options
	rng      *rand.Rand
	readings *prometheus.CounterVec
	failing  bool
	changes  atomic.Uint64

	mu   sync.Mutex
	book *book
}

// New returns a Resolver that has read nothing yet.
func New(o Options) (*Resolver, error) {
	if o.List == nil || o.Tables == nil {
		return nil, errors.New("resolve: List and Tables are required")
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return &Resolver{
		opts: o, book: newBook(), rng: rand.New(rand.NewPCG(o.Seed, o.Seed)),
		readings: promauto.With(o.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_host_list_readings_total",
			Help: "Readings of the platform's host list, by result.",
		}, []string{"result"}),
	}, nil
}

// Changes grows whenever the targets of a pool may have changed.
func (r *Resolver) Changes() uint64 { return r.changes.Load() }

// Targets returns the targets of a pool and those of them that leave.
func (r *Resolver) Targets(p table.Pool) (all []table.Target, leaving []netip.AddrPort) {
	if p.Service == "" {
		return p.Targets, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.targets(p.Service)
}

// Run reads the list until the context ends.
func (r *Resolver) Run(ctx context.Context) error {
	for {
		read := r.readAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-r.opts.Clock.After(r.interval(read)):
		}
	}
}

// interval is the time until the next readings, after one of that many entries.
func (r *Resolver) interval(entries int) time.Duration {
	d := max(minInterval, time.Duration(entries)*entryBytes*time.Second/bytesPerSecond)
	return d + time.Duration(jitterShare*r.rng.Float64()*float64(d))
}

// readAll reads every service that a pool names and returns the number of
// entries read.
func (r *Resolver) readAll(ctx context.Context) int {
	pools := lo.Values(r.opts.Tables.Current().Pools)
	names := lo.Uniq(lo.FilterMap(pools, func(p table.Pool, _ int) (string, bool) {
		return p.Service, p.Service != ""
	}))
	slices.Sort(names)
	read, failed, changed := 0, 0, false
	for _, name := range names {
		listed, err := r.read(ctx, name)
		if err != nil {
			failed++
			continue
		}
		read += len(listed)
		r.mu.Lock()
		changed = r.book.take(r.opts.Clock.Now(), name, listed) || changed
		r.mu.Unlock()
	}
	r.mu.Lock()
	r.book.keep(names)
	r.mu.Unlock()
	r.noteState(failed > 0)
	if changed {
		r.changes.Add(1)
	}
	return read
}

func (r *Resolver) read(ctx context.Context, name string) ([]cloud.ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	listed, err := r.opts.List.List(ctx, name)
	r.readings.WithLabelValues(lo.Ternary(err == nil, "ok", "failed")).Inc()
	return listed, err
}

// noteState logs when readings begin to fail or to succeed again.
func (r *Resolver) noteState(failing bool) {
	if failing == r.failing {
		return
	}
	r.failing = failing
	if failing {
		r.opts.Logger.Warn("host list can't be read; known targets are kept")
		return
	}
	r.opts.Logger.Info("host list can be read again")
}
