package reach

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/internal/metric"
)

const (
	// probesPerRound is the number of targets that a round tries to reach.
	probesPerRound = 5
	// roundTimeout bounds a round: several round trips between failure domains.
	roundTimeout = 250 * time.Millisecond
	// roundInterval is the time between two rounds during a cut.
	roundInterval = 250 * time.Millisecond
	// minCheckInterval is the time between two rounds outside a cut.
	minCheckInterval = 500 * time.Millisecond
)

// Prober opens connections to targets.
type Prober interface {
	// ProbeTargets tries to get a response from each of up to n random targets of a
	// pool over a new connection, and returns from how many that succeeded.
	ProbeTargets(ctx context.Context, pool string, n int) (reached, probed int)
	// PoolOf returns the pool of the target at an address, "" if there is none.
	PoolOf(addr netip.AddrPort) string
}

// Options configure a Monitor. All but Registerer are required; Prober may be set
// after New, before the first use.
type Options struct {
	Prober     Prober
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// Monitor knows from which pools this host is cut off. It is safe for concurrent use.
type Monitor struct {
	Options
	cutPools *prometheus.GaugeVec
	// wake is signalled when a cut begins.
	wake chan struct{}

	mu    sync.Mutex
	pools map[string]*pool
}

type pool struct {
	state
	// round is the running round, nil when there is none.
	round *round
	// checkedAt is when the last round ended.
	checkedAt time.Time
}

// round is a running round of probes; done is closed at its end.
type round struct{ done chan struct{} }

// New returns a monitor that knows of no cut. It fails when a metric can't be
// registered.
func New(o Options) (*Monitor, error) {
	m := &Monitor{
		Options: o, wake: make(chan struct{}, 1), pools: map[string]*pool{},
		cutPools: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "chestnut_pool_cut_off",
			Help: "1 while this host reaches no target of the pool, or few.",
		}, []string{"pool"}),
	}
	return m, metric.Register(o.Registerer, "reach", m.cutPools)
}

// Cut reports whether this host reaches no target of a pool, or few.
func (m *Monitor) Cut(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[name]
	return p != nil && p.cut
}

// Contacted records that the first response on a new connection to a target arrived
// or, with an error, that no connection could be opened.
func (m *Monitor) Contacted(addr netip.AddrPort, err error) {
	name := m.Prober.PoolOf(addr)
	if name == "" {
		return
	}
	if err != nil {
		m.Suspect(name)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pool(name).contacted(m.Clock.Now())
}

// Suspect has the pool checked, unless the host is known to reach it. It does not
// block.
func (m *Monitor) Suspect(name string) { m.startRound(name) }

// Reaches reports whether this host reaches a pool. It waits for a round of probes if
// that is not known.
func (m *Monitor) Reaches(ctx context.Context, name string) bool {
	if r := m.startRound(name); r != nil {
		select {
		case <-r.done:
		case <-ctx.Done():
		}
	}
	return !m.Cut(name)
}

// pool returns the state of a pool. The caller holds the lock.
func (m *Monitor) pool(name string) *pool {
	p := m.pools[name]
	if p == nil {
		p = &pool{}
		m.pools[name] = p
	}
	return p
}

// startRound starts a round or returns the running one; nil when none is needed: the
// host is in contact with the pool, is cut off from it, which Run watches, or has
// just been checked.
func (m *Monitor) startRound(name string) *round {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, now := m.pool(name), m.Clock.Now()
	switch {
	case p.round != nil:
		return p.round
	case p.cut || p.inContact(now) || now.Sub(p.checkedAt) < minCheckInterval:
		return nil
	}
	p.round = &round{done: make(chan struct{})}
	go m.runRound(name, p)
	return p.round
}

// runRound probes a pool and records the result.
func (m *Monitor) runRound(name string, p *pool) {
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	reached, probed := m.Prober.ProbeTargets(ctx, name, probesPerRound)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	changed := p.recordRound(now, reached, probed)
	p.checkedAt = now
	close(p.round.done)
	p.round = nil
	if !changed {
		return
	}
	if !p.cut {
		m.cutPools.WithLabelValues(name).Set(0)
		m.Logger.Info("host reaches the targets of a pool again", zap.String("pool", name), zap.Int("reached", reached), zap.Int("probed", probed))
		return
	}
	m.cutPools.WithLabelValues(name).Set(1)
	m.Logger.Warn("host reaches no target of a pool, or few; its requests go through hosts that reach more", zap.String("pool", name), zap.Int("reached", reached), zap.Int("probed", probed), zap.Duration("last_contact", now.Sub(p.contactAt)))
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run probes the pools from which the host is cut off until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		cut := m.startCutRounds()
		var next <-chan time.Time
		if cut {
			next = m.Clock.After(roundInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-next:
		}
	}
}

// startCutRounds starts a round for each pool that the host is cut off from; false
// when there is none.
func (m *Monitor) startCutRounds() (cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.pools {
		if !p.cut {
			continue
		}
		cut = true
		if p.round == nil {
			p.round = &round{done: make(chan struct{})}
			go m.runRound(name, p)
		}
	}
	return cut
}
