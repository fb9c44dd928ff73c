package discovery

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
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// minInterval is the time between two reads of a small list, before jitter.
	minInterval = 2 * time.Second
	// entryBytes is the approximate size of one entry of the host list on the
	// wire.
	entryBytes = 100
	// readBytesPerSecond bounds this host's average traffic for reading the
	// list.
	readBytesPerSecond = 4_000
	// readTimeout bounds the read of one service's list.
	readTimeout = 2 * time.Second
	// jitterShare is the largest random extension of the interval between
	// reads, as a fraction of it; it spreads the reads of the hosts.
	jitterShare = 0.2
)

// Options configures a Resolver. List and Tables are required.
type Options struct {
	List   cloud.HostList
	Tables lb.Tables
	// Clock is the time source; nil selects the real one.
	Clock clockwork.Clock
	// Seed seeds the jitter that spreads the reads of the hosts; it should
	// differ between hosts.
	Seed uint64
	// Logger receives a line when reads begin to fail and when they succeed
	// again; nil logs nothing.
	Logger *zap.Logger
	// Registerer is where metrics are registered; nil registers none.
	Registerer prometheus.Registerer
}

// Resolver polls the host list and holds the targets of pools that name a
// service. It is safe for concurrent use.
type Resolver struct {
	opts  Options
	rng   *rand.Rand
	reads *prometheus.CounterVec
	// failing is true when the last call of readAll failed for some service.
	failing    bool
	generation atomic.Uint64

	mu      sync.Mutex
	catalog *catalog
}

// New returns a Resolver that has no targets until Run reads the list. It
// returns an error when a required option is missing.
func New(o Options) (*Resolver, error) {
	if o.List == nil || o.Tables == nil {
		return nil, errors.New("discovery: expected Options.List and Options.Tables, at least one is nil")
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return &Resolver{
		opts: o, catalog: newCatalog(), rng: rand.New(rand.NewPCG(o.Seed, o.Seed)),
		reads: promauto.With(o.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_host_list_readings_total",
			Help: "Readings of the platform's host list, by result.",
		}, []string{"result"}),
	}, nil
}

// Generation returns a counter that grows whenever the targets of a pool may
// have changed.
func (r *Resolver) Generation() uint64 { return r.generation.Load() }

// Targets returns the targets of a pool and the addresses of those that drain
// because the host list marks them as leaving or misses them. A pool without a
// service has the targets that it lists, none of them draining.
func (r *Resolver) Targets(p table.Pool) (all []table.Target, draining []netip.AddrPort) {
	if p.Service == "" {
		return p.Targets, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.catalog.targets(p.Service)
}

// Run reads the list at intervals until the context ends. It always returns nil.
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

// interval returns the time until the next reads, after reads that returned the
// given number of entries.
func (r *Resolver) interval(entries int) time.Duration {
	d := max(minInterval, time.Duration(entries)*entryBytes*time.Second/readBytesPerSecond)
	return d + time.Duration(jitterShare*r.rng.Float64()*float64(d))
}

// readAll reads the list of every service that a pool names, updates the catalog
// and returns the number of entries read. A service whose read failed keeps its
// targets.
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
		changed = r.catalog.update(r.opts.Clock.Now(), name, listed) || changed
		r.mu.Unlock()
	}
	r.mu.Lock()
	r.catalog.retain(names)
	r.mu.Unlock()
	r.logStateChange(failed > 0)
	if changed {
		r.generation.Add(1)
	}
	return read
}

func (r *Resolver) read(ctx context.Context, name string) ([]cloud.ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	listed, err := r.opts.List.List(ctx, name)
	r.reads.WithLabelValues(lo.Ternary(err == nil, "ok", "failed")).Inc()
	return listed, err
}

// logStateChange logs when reads begin to fail and when they all succeed again.
func (r *Resolver) logStateChange(failing bool) {
	if failing == r.failing {
		return
	}
	r.failing = failing
	if failing {
		r.opts.Logger.Warn("reading the host list failed for at least one service; its known targets are kept until a read succeeds")
		return
	}
	r.opts.Logger.Info("reading the host list succeeds again for all services")
}
