package config

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config/query"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/table"
)

// PeerVersion is the version that a peer reports as installed.
type PeerVersion struct {
	Host    string
	Version uint64
}

// Peers gives a Syncer access to the other hosts' configuration.
type Peers interface {
	// Versions returns the last known version of each peer, without network
	// calls.
	Versions() []PeerVersion
	// FetchTables gets the encoded tables that the peer named from has
	// installed, of version atLeast or higher, and their version.
	FetchTables(ctx context.Context, from string, atLeast uint64) (encoded []byte, version uint64, err error)
}

// Options configures a Syncer.
type Options struct {
	// Host is this host's name; it seeds the jitter that spreads the hosts'
	// polls.
	Host    string
	Store   cloud.Table
	Objects cloud.ObjectStore
	// Peers is nil for a host without peers.
	Peers Peers
	// Hosts returns the number of hosts that poll the table service; nil
	// counts the peers and this host. It is not used when Peers is nil: the
	// host then polls as if it were the only one.
	Hosts func() int
	// Clock is the time source; nil is the real clock.
	Clock clockwork.Clock
	// Registerer is where metrics are registered; nil registers none.
	Registerer prometheus.Registerer
	// Logger receives one line for each installed version and for each that can't be
	// decoded; nil logs nothing.
	Logger *zap.Logger
	// DiscoveryTimeout and CatchUpTimeout limit how long a starting host waits
	// before it installs its first version; 0 selects DefaultDiscoveryTimeout
	// and DefaultCatchUpTimeout.
	DiscoveryTimeout time.Duration
	CatchUpTimeout   time.Duration
}

// fetchTimeout bounds one poll, snapshot lookup or fetch.
const fetchTimeout = 2 * time.Second

// Syncer keeps one host's installed tables up to date with the accepted ones.
// It implements lb.Tables and is safe for concurrent use.
type Syncer struct {
	opts           Options
	reader         *query.Reader
	metrics        *metrics
	current        atomic.Pointer[loadedTables]
	wakeRun        chan struct{}
	newlyInstalled chan struct{}
	ready          chan struct{}
	publishNow     chan struct{}
	calls          sync.WaitGroup

	mu     sync.Mutex
	core   *core
	runCtx context.Context
	// stopped is true once Run has ended and starts no more calls.
	stopped bool

	subscribersMu sync.Mutex
	subscribers   []func(*table.Tables)
}

var _ lb.Tables = (*Syncer)(nil)

// noTables stands for the installed version while there is none.
var noTables = &loadedTables{tables: table.Empty()}

// New returns a Syncer that has no version installed until Run.
func New(o Options) *Syncer {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	o.DiscoveryTimeout = cmp.Or(o.DiscoveryTimeout, DefaultDiscoveryTimeout)
	o.CatchUpTimeout = cmp.Or(o.CatchUpTimeout, DefaultCatchUpTimeout)
	seed := xxhash.Sum64String(o.Host)
	now := o.Clock.Now()
	return &Syncer{
		opts: o, reader: query.New(o.Store), metrics: newMetrics(o.Registerer), runCtx: context.Background(),
		wakeRun: make(chan struct{}, 1), newlyInstalled: make(chan struct{}, 1), ready: make(chan struct{}),
		publishNow: make(chan struct{}, 1),
		core:       newCore(coreOptions{discoveryTimeout: o.DiscoveryTimeout, catchUpTimeout: o.CatchUpTimeout}, now, rand.New(rand.NewPCG(seed, seed))),
	}
}

// Current returns the installed tables, or empty ones of version 0 while none
// are installed. It never returns nil, and the version never decreases.
func (s *Syncer) Current() *table.Tables { return s.loaded().tables }

// EncodedTables returns the encoded form of the installed tables and their
// version, for peers to fetch. The bytes are nil when no version was ever
// accepted.
func (s *Syncer) EncodedTables() (encoded []byte, version uint64) {
	l := s.loaded()
	return l.encoded, l.tables.Version
}

// Ready returns a channel that is closed once a version is installed.
func (s *Syncer) Ready() <-chan struct{} { return s.ready }

// Configured reports whether a version is installed. It takes no lock.
func (s *Syncer) Configured() bool { return s.current.Load() != nil }

// loaded returns the installed version, or noTables while there is none.
func (s *Syncer) loaded() *loadedTables {
	if l := s.current.Load(); l != nil {
		return l
	}
	return noTables
}

// Subscribe registers f to be called with each newly installed version, one
// call at a time. Versions that were replaced before f could be called are
// skipped. Subscribe must be called before Run.
func (s *Syncer) Subscribe(f func(*table.Tables)) {
	s.subscribersMu.Lock()
	defer s.subscribersMu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// HandlePeerVersion takes a peer's announcement that it installed a version.
// The version is fetched if it is newer than the installed one.
func (s *Syncer) HandlePeerVersion(from string, version uint64) {
	if version <= s.loaded().tables.Version && s.current.Load() != nil {
		return
	}
	s.handle(func(now time.Time) []action { return s.core.handlePeerVersion(now, from, version) })
}

// InstallAccepted installs a version that the table service accepted from this
// host and has its snapshot published.
func (s *Syncer) InstallAccepted(t *table.Tables, encoded []byte) {
	s.handle(func(now time.Time) []action { return s.core.handleAcceptedChange(now, t, encoded) })
	signal(s.publishNow)
}

// Run keeps the installed tables up to date until the context ends, then waits
// for running calls. It always returns nil.
func (s *Syncer) Run(ctx context.Context) error {
	s.mu.Lock()
	s.runCtx = ctx
	s.core.started = s.opts.Clock.Now()
	s.mu.Unlock()
	defer s.stop()
	timer := s.opts.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.newlyInstalled:
			s.notifySubscribers()
		case <-s.wakeRun:
		case <-timer.Chan():
			s.tick()
		}
		timer.Reset(max(s.untilNextTick(), 0))
	}
}

// stop prevents new calls and waits for the running ones.
func (s *Syncer) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.calls.Wait()
}

func (s *Syncer) tick() {
	if s.opts.Peers == nil {
		s.handle(func(now time.Time) []action { return s.core.tick(now) })
		return
	}
	peers := s.opts.Peers.Versions()
	hosts := len(peers) + 1
	if s.opts.Hosts != nil {
		hosts = s.opts.Hosts()
	}
	s.handle(func(now time.Time) []action { return s.core.handlePeerList(now, peers, hosts) })
}

func (s *Syncer) untilNextTick() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.nextTick().Sub(s.opts.Clock.Now())
}

// handle passes one event to core and carries out the resulting actions.
// Versions are installed while the lock is held, so that they come in order;
// all other actions run in goroutines of their own.
func (s *Syncer) handle(event func(now time.Time) []action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range event(s.opts.Clock.Now()) {
		switch a := a.(type) {
		case install:
			s.install(a.loadedTables)
		case reportUndecodable:
			s.opts.Logger.Error("version of the tables can't be decoded; the tables in force stay, and it is fetched again until it can be",
				zap.Uint64("version", a.err.version), zap.Uint64("in_force", s.loaded().tables.Version), zap.Stringer("source", a.from), zap.Error(a.err.cause))
		default:
			s.runAsync(s.runCtx, a)
		}
	}
	s.metrics.known.Set(float64(s.core.sources.highest))
	s.metrics.undecodable.Set(float64(s.core.undecodable.version))
	signal(s.wakeRun)
}

func (s *Syncer) install(l loadedTables) {
	first := s.current.Swap(&l) == nil
	if first {
		close(s.ready)
	}
	s.metrics.countInstall(l)
	s.opts.Logger.Info("installed a new version of the tables", zap.Uint64("version", l.tables.Version), zap.Stringer("source", l.source))
	signal(s.newlyInstalled)
}

func (s *Syncer) notifySubscribers() {
	s.subscribersMu.Lock()
	subscribers := s.subscribers
	s.subscribersMu.Unlock()
	t := s.Current()
	for _, f := range subscribers {
		f(t)
	}
}

// signal sends on a channel of capacity 1 without blocking; a signal that is
// already pending is not doubled.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
