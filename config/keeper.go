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
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/table"
)

// PeerVersion is the version that a peer reports as installed.
type PeerVersion struct {
	Host    string
	Version uint64
}

// Peers gives a Keeper access to the other hosts' configuration.
type Peers interface {
	// Versions returns the last known version of each peer, without network
	// calls.
	Versions() []PeerVersion
	// FetchTables gets the encoded tables that the peer named from has
	// installed, of version atLeast or higher, and their version.
	FetchTables(ctx context.Context, from string, atLeast uint64) (encoded []byte, version uint64, err error)
}

// Options configures a Keeper.
type Options struct {
	// Host is this host's name; it seeds the jitter that spreads the hosts'
	// polls.
	Host    string
	Store   cloud.Table
	Objects cloud.ObjectStore
	// Peers is nil for a host without peers.
	Peers Peers
	// Hosts returns the number of hosts that poll the table service; nil
	// counts the peers and this host.
	Hosts func() int
	// Clock is the time source; nil is the real clock.
	Clock clockwork.Clock
	// Metrics is where metrics are registered; nil registers none.
	Metrics prometheus.Registerer
	// Log receives one line for each installed version; nil logs nothing.
	Log *zap.Logger
	// DiscoveryTimeout and CatchUpTimeout limit how long a starting host waits
	// before it installs its first version; 0 selects DefaultDiscoveryTimeout
	// and DefaultCatchUpTimeout.
	DiscoveryTimeout time.Duration
	CatchUpTimeout   time.Duration
}

// fetchTimeout bounds one poll, snapshot lookup or fetch.
const fetchTimeout = 2 * time.Second

// Keeper keeps one host's installed tables up to date with the accepted ones.
// It implements ports.Tables and is safe for concurrent use.
type Keeper struct {
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
	// stopped is true once Run waits for the running calls to end.
	stopped bool

	subscribersMu sync.Mutex
	subscribers   []func(*table.Tables)
}

var _ ports.Tables = (*Keeper)(nil)

// noTables stands for the installed version while there is none.
var noTables = &loadedTables{tables: table.Empty()}

// New returns a Keeper that has no version installed until Run.
func New(o Options) *Keeper {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	o.DiscoveryTimeout = cmp.Or(o.DiscoveryTimeout, DefaultDiscoveryTimeout)
	o.CatchUpTimeout = cmp.Or(o.CatchUpTimeout, DefaultCatchUpTimeout)
	seed := xxhash.Sum64String(o.Host)
	now := o.Clock.Now()
	return &Keeper{
		opts: o, reader: query.New(o.Store), metrics: newMetrics(o.Metrics), runCtx: context.Background(),
		wakeRun: make(chan struct{}, 1), newlyInstalled: make(chan struct{}, 1), ready: make(chan struct{}),
		publishNow: make(chan struct{}, 1),
		core:       newCore(coreOptions{discoveryTimeout: o.DiscoveryTimeout, catchUpTimeout: o.CatchUpTimeout}, now, rand.New(rand.NewPCG(seed, seed))),
	}
}

// Current returns the installed tables, or empty ones of version 0 while none
// are installed. It never returns nil, and the version never decreases.
func (k *Keeper) Current() *table.Tables { return k.loaded().tables }

// EncodedTables returns the encoded form of the installed tables and their
// version, for peers to fetch. The bytes are nil when no version was ever
// accepted.
func (k *Keeper) EncodedTables() (encoded []byte, version uint64) {
	h := k.loaded()
	return h.encoded, h.tables.Version
}

// Ready returns a channel that is closed once a version is installed.
func (k *Keeper) Ready() <-chan struct{} { return k.ready }

// loaded returns the installed version, or noTables while there is none.
func (k *Keeper) loaded() *loadedTables {
	if h := k.current.Load(); h != nil {
		return h
	}
	return noTables
}

// Subscribe registers f to be called with each newly installed version, one
// call at a time. Versions that were replaced before f could be called are
// skipped. Subscribe must be called before Run.
func (k *Keeper) Subscribe(f func(*table.Tables)) {
	k.subscribersMu.Lock()
	defer k.subscribersMu.Unlock()
	k.subscribers = append(k.subscribers, f)
}

// HandlePeerVersion takes a peer's announcement that it installed a version.
// The version is fetched if it is newer than the installed one.
func (k *Keeper) HandlePeerVersion(from string, version uint64) {
	if version <= k.loaded().tables.Version && k.current.Load() != nil {
		return
	}
	k.handle(func(now time.Time) []action { return k.core.handlePeerVersion(now, from, version) })
}

// Accepted installs a version that the table service accepted from this host
// and has its snapshot published.
func (k *Keeper) Accepted(t *table.Tables, encoded []byte) {
	k.handle(func(now time.Time) []action { return k.core.handleAcceptedChange(now, t, encoded) })
	signal(k.publishNow)
}

// Run keeps the installed tables up to date until the context ends, then waits
// for running calls. It always returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	k.mu.Lock()
	k.runCtx = ctx
	k.core.started = k.opts.Clock.Now()
	k.mu.Unlock()
	defer k.stop()
	timer := k.opts.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.newlyInstalled:
			k.notifySubscribers()
		case <-k.wakeRun:
		case <-timer.Chan():
			k.tick()
		}
		timer.Reset(max(k.untilNextTick(), 0))
	}
}

// stop prevents new calls and waits for the running ones.
func (k *Keeper) stop() {
	k.mu.Lock()
	k.stopped = true
	k.mu.Unlock()
	k.calls.Wait()
}

func (k *Keeper) tick() {
	if k.opts.Peers == nil {
		k.handle(func(now time.Time) []action { return k.core.tick(now) })
		return
	}
	peers := k.opts.Peers.Versions()
	hosts := len(peers) + 1
	if k.opts.Hosts != nil {
		hosts = k.opts.Hosts()
	}
	k.handle(func(now time.Time) []action { return k.core.handlePeerList(now, peers, hosts) })
}

func (k *Keeper) untilNextTick() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.nextTick().Sub(k.opts.Clock.Now())
}

// handle passes one event to core and carries out the resulting actions.
// Versions are installed while the lock is held, so that they come in order;
// all other actions run in goroutines of their own.
func (k *Keeper) handle(event func(now time.Time) []action) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range event(k.opts.Clock.Now()) {
		if in, ok := a.(install); ok {
			k.install(in.loadedTables)
			continue
		}
		k.runAsync(k.runCtx, a)
	}
	k.metrics.known.Set(float64(k.core.sources.highest))
	signal(k.wakeRun)
}

func (k *Keeper) install(h loadedTables) {
	first := k.current.Swap(&h) == nil
	if first {
		close(k.ready)
	}
	k.metrics.countInstall(h)
	k.opts.Log.Info("installed a new version of the tables", zap.Uint64("version", h.tables.Version), zap.Stringer("source", h.source))
	signal(k.newlyInstalled)
}

func (k *Keeper) notifySubscribers() {
	k.subscribersMu.Lock()
	subscribers := k.subscribers
	k.subscribersMu.Unlock()
	t := k.Current()
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
