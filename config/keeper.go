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

// PeerVersion is the version that a peer said it has in force.
type PeerVersion struct {
	Host    string
	Version uint64
}

// Peers is what the Keeper needs of the other hosts.
type Peers interface {
	// Versions returns what is known now, without asking anybody.
	Versions() []PeerVersion
	// FetchTables gets the packed tables that a peer has in force, of version
	// atLeast or higher.
	FetchTables(ctx context.Context, from string, atLeast uint64) (packed []byte, version uint64, err error)
}

// Options configures a Keeper.
type Options struct {
	// Host is this host's name; it spreads the hosts' polls.
	Host    string
	Store   cloud.Table
	Objects cloud.Objects
	// Peers is nil for a host that has none.
	Peers Peers
	// Hosts is the number of hosts that poll; nil counts the peers.
	Hosts func() int
	// Clock is the time source; nil is the real clock.
	Clock clockwork.Clock
	// Metrics is where metrics are registered; nil registers none.
	Metrics prometheus.Registerer
	// Log takes changes of state; nil logs nothing.
	Log *zap.Logger
	// StartWait and GiveUp bound the choice of a starting host; 0 are
	// DefaultStartWait and DefaultGiveUp.
	StartWait time.Duration
	GiveUp    time.Duration
}

// fetchTimeout bounds one fetch or poll.
const fetchTimeout = 2 * time.Second

// Keeper keeps the accepted tables in force on one host. It implements
// ports.Tables and is safe for concurrent use.
type Keeper struct {
	opts    Options
	reader  *query.Reader
	metrics *metrics
	current atomic.Pointer[held]
	kick    chan struct{}
	changed chan struct{}
	ready   chan struct{}
	publish chan struct{}
	work    sync.WaitGroup

	mu     sync.Mutex
	core   *core
	runCtx context.Context
	// stopped is true once Run waits for the last work.
	stopped bool

	subscribersMu sync.Mutex
	subscribers   []func(*table.Tables)
}

var _ ports.Tables = (*Keeper)(nil)

var none = &held{tables: table.Empty()}

// New returns a Keeper that has nothing in force until Run.
func New(o Options) *Keeper {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	o.StartWait = cmp.Or(o.StartWait, DefaultStartWait)
	o.GiveUp = cmp.Or(o.GiveUp, DefaultGiveUp)
	seed := xxhash.Sum64String(o.Host)
	now := o.Clock.Now()
	return &Keeper{
		opts: o, reader: query.New(o.Store), metrics: newMetrics(o.Metrics), runCtx: context.Background(),
		kick: make(chan struct{}, 1), changed: make(chan struct{}, 1), ready: make(chan struct{}),
		publish: make(chan struct{}, 1),
		core:    newCore(coreOptions{startWait: o.StartWait, giveUp: o.GiveUp}, now, rand.New(rand.NewPCG(seed, seed))),
	}
}

// Current returns the tables in force, empty ones of version 0 while there are
// none. It never returns nil and its version never falls.
func (k *Keeper) Current() *table.Tables { return k.held().tables }

// Encoded returns the packed form of the tables in force, for peers. The body
// is nil when nothing was ever accepted.
func (k *Keeper) Encoded() (packed []byte, version uint64) {
	h := k.held()
	return h.packed, h.tables.Version
}

// Ready is closed once tables are in force.
func (k *Keeper) Ready() <-chan struct{} { return k.ready }

func (k *Keeper) held() *held {
	if h := k.current.Load(); h != nil {
		return h
	}
	return none
}

// Subscribe calls f with each version that comes into force, one call at a
// time; versions that were overtaken meanwhile are left out. It must be called
// before Run.
func (k *Keeper) Subscribe(f func(*table.Tables)) {
	k.subscribersMu.Lock()
	defer k.subscribersMu.Unlock()
	k.subscribers = append(k.subscribers, f)
}

// Heard takes the news that a peer has a version in force.
func (k *Keeper) Heard(from string, version uint64) {
	if version <= k.held().tables.Version && k.current.Load() != nil {
		return
	}
	k.do(func(now time.Time) []action { return k.core.heard(now, from, version) })
}

// Accepted takes a version that this host got accepted by the table service.
func (k *Keeper) Accepted(t *table.Tables, packed []byte) {
	k.do(func(now time.Time) []action { return k.core.accepted(now, t, packed) })
	wakeUp(k.publish)
}

// Run keeps the tables in force up to date until the context ends.
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
		case <-k.changed:
			k.notify()
		case <-k.kick:
		case <-timer.Chan():
			k.tick()
		}
		timer.Reset(max(k.wake(), 0))
	}
}

// stop waits for the work that is under way and lets no more begin.
func (k *Keeper) stop() {
	k.mu.Lock()
	k.stopped = true
	k.mu.Unlock()
	k.work.Wait()
}

func (k *Keeper) tick() {
	if k.opts.Peers == nil {
		k.do(func(now time.Time) []action { return k.core.tick(now) })
		return
	}
	peers := k.opts.Peers.Versions()
	hosts := len(peers) + 1
	if k.opts.Hosts != nil {
		hosts = k.opts.Hosts()
	}
	k.do(func(now time.Time) []action { return k.core.peersSeen(now, peers, hosts) })
}

func (k *Keeper) wake() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.wake().Sub(k.opts.Clock.Now())
}

// do runs one decision and carries out its actions. Versions are put in force
// under the lock, so that they come in order; the rest runs beside it.
func (k *Keeper) do(decide func(now time.Time) []action) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range decide(k.opts.Clock.Now()) {
		if in, ok := a.(install); ok {
			k.install(in.held)
			continue
		}
		k.start(k.runCtx, a)
	}
	k.metrics.known.Set(float64(k.core.sources.highest))
	wakeUp(k.kick)
}

func (k *Keeper) install(h held) {
	first := k.current.Swap(&h) == nil
	if first {
		close(k.ready)
	}
	k.metrics.installed(h)
	k.opts.Log.Info("tables in force", zap.Uint64("version", h.tables.Version), zap.Stringer("source", h.source))
	wakeUp(k.changed)
}

func (k *Keeper) notify() {
	k.subscribersMu.Lock()
	subscribers := k.subscribers
	k.subscribersMu.Unlock()
	t := k.Current()
	for _, f := range subscribers {
		f(t)
	}
}

// wakeUp leaves one mark in a channel that holds one.
func wakeUp(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
