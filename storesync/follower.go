package storesync

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// Polling intervals and timeouts. Two seconds after a change reaches the store,
// a leaving target must get no new requests and changed tables must be in
// force. A store reading, a sync request and one failed call must fit into that.
const (
	// registryReadInterval is the time between the reader's readings of the
	// target registry.
	registryReadInterval = 600 * time.Millisecond
	// syncInterval is the time between a follower's sync requests to the reader.
	syncInterval = 400 * time.Millisecond
	// maxRegistryAge and maxTablesAge are the ages beyond which a reader's data
	// is stale.
	maxRegistryAge = 1100 * time.Millisecond
	maxTablesAge   = 1300 * time.Millisecond
	// tablesLongPoll is how long the store may hold back its response to a
	// reading of the tables, waiting for a change.
	tablesLongPoll = 800 * time.Millisecond
	// hostsReadInterval is the time between the reader's readings of the host
	// list.
	hostsReadInterval = 2 * time.Second
	// syncTimeout bounds one sync request: several times the latency between
	// failure domains.
	syncTimeout = 40 * time.Millisecond
	// maxReadersTried is the number of readers that a follower tries before it
	// reads the store itself.
	maxReadersTried = 2
	// maxStaleReadersTried is the number of readers that a host tries while it can't
	// read the store itself: with a third of the hosts cut off from the store, the
	// first six are all among them once in 700 times.
	maxStaleReadersTried = 6
	// minRetryPause is the pause after the first failed reading, maxRetryPause
	// the longest pause between retries. A host that leaves the store to the
	// reader retries every followerRetryInterval; it goes on asking the reader
	// every syncInterval.
	minRetryPause         = 100 * time.Millisecond
	maxRetryPause         = 150 * time.Millisecond
	followerRetryInterval = 2 * time.Second
	// maxProblemLogs bounds the log lines about single invalid entries after one
	// reading of the registry.
	maxProblemLogs = 3
)

// readerKind names the reader task in the roster.
const readerKind = "reader"

// readerTask is the task of reading the store for all hosts.
var readerTask = roster.Task{Kind: readerKind}

// Options configure a Follower. All but Responses and Registerer are required.
type Options struct {
	Source Source
	Node   *hostmsg.Node
	Roster *roster.Roster
	// OnChange is called with the targets by service after each change of the
	// tables or targets. The last tables are those that are in force then. It must
	// keep the pools of all given tables in use:
	// requests routed by the previous tables may still arrive.
	OnChange func(targets map[string][]registry.Target, tables ...*table.Tables)
	// FirstStart means that the whole deployment starts for the first time.
	// Hosts then wait for the reader, since there are no callers yet.
	FirstStart bool
	// Responses records the responses of other hosts that are not HTTP/1.1; it may be
	// nil.
	Responses  *http1.Monitor
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// Follower holds this host's copy of a deployment's routing tables, targets and
// host list and keeps it up to date. It implements lb.Tables and is safe for
// concurrent use.
type Follower struct {
	Options
	reads             *prometheus.CounterVec
	evacuationMetrics evacuationMetrics
	tablesMetrics     tablesMetrics

	tables atomic.Pointer[table.Tables]
	// tablesWake is signalled when the tables should be read at once.
	tablesWake chan struct{}
	// registryWake is signalled when this host should look for its reader at once.
	registryWake chan struct{}
	// wokenAt is when registryWake was last signalled; guarded by mu.
	wokenAt time.Time
	// dataAgeDelay is this host's part of maxDataAgeSpread.
	dataAgeDelay time.Duration
	// hostsWake is signalled when the host list should be read again; hostsKnown
	// is closed after the first complete reading.
	hostsWake  chan struct{}
	hostsKnown chan struct{}
	// hostsListed is closed after the first attempt to read the host list,
	// bootstrapped after the first attempt to load everything from the reader or
	// the store.
	hostsListed, bootstrapped chan struct{}
	// started is when New was called.
	started time.Time
	// firstAnnouncement is the time from the start to the first announcement
	// when the whole deployment starts for the first time.
	firstAnnouncement time.Duration
	closeHostsKnown   sync.Once
	closeHostsListed  sync.Once
	// storeLost is true from a failed reading of the store to the next update of
	// the registry, from the reader or the store.
	storeLost atomic.Bool

	server *fasthttp.Server
	client *fasthttp.Client
	// fetchBody is requestSnapshot, except in tests without a network.
	fetchBody func(from netip.AddrPort, has peerVersions) ([]byte, error)

	transferMetrics transferMetrics
	archive         tablesArchive
	// snapshotCache holds encoded contents for the current versions; guarded by
	// mu.
	snapshotCache snapshotCache

	mu       sync.Mutex
	registry *registryState
	tracker  *registry.TargetTracker
	targets  map[string][]registry.Target
	// tablesConfirmedAt is when the tables in force were last known to be the
	// store's newest.
	tablesConfirmedAt time.Time
	// lastConfirmedAt is tablesConfirmedAt without its reset when newer tables are heard
	// of, which arrive within milliseconds.
	lastConfirmedAt time.Time
	// unusableAt is when the newest tables in the store were last read and could not be
	// used at all; zero while they can.
	unusableAt time.Time
	// announcedAt is when this host added itself to the host list.
	announcedAt time.Time
	// knownHosts is the host list, hostsHash a hash over it; hostsVersion is the
	// version of its last reading by this host.
	knownHosts   []roster.Host
	hostsHash    uint64
	hostsVersion uint64
	// hostProblems is the number of invalid rows in the last reading of the host list.
	hostProblems atomic.Int64
	// activity is maintained only while this host is the reader.
	activity hostActivity
	// evacuations is what is known of evacuated failure domains, noticeAt when another
	// host last told of them.
	evacuations evacuations
	noticeAt    time.Time
	// askedAt is when a random host was last asked for evacuations.
	askedAt time.Time
	// newerTablesReader is a host that may have newer tables than this host; its
	// name is empty when there is none.
	newerTablesReader roster.Host
	// readerTables is the version of the tables that a reader last said to have.
	readerTables uint64
	tablesWait   tablesWait
	// loadedAt is when the first snapshot of another host was applied.
	loadedAt time.Time
}

// New returns a follower with empty tables and no targets. It registers its
// message handlers at the node and its metrics.
func New(o Options) (*Follower, error) {
	f := &Follower{
		Options: o, tablesWake: make(chan struct{}, 1), hostsWake: make(chan struct{}, 1), registryWake: make(chan struct{}, 1), dataAgeDelay: rand.N(maxDataAgeSpread), hostsKnown: make(chan struct{}), started: o.Clock.Now(),
		hostsListed: make(chan struct{}), bootstrapped: make(chan struct{}), client: newSnapshotClient(o.Responses),
		firstAnnouncement: announceDelay(0, rand.Float64()),
		registry:          newRegistryState(), tracker: registry.NewTargetTracker(), evacuationMetrics: newEvacuationMetrics(), tablesMetrics: newTablesMetrics(), transferMetrics: newTransferMetrics(),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_store_readings_total",
			Help: "Readings of the store and questions to its reader, by what was read and the result.",
		}, []string{"what", "result"}),
	}
	f.tables.Store(table.Empty())
	f.server, f.fetchBody = f.newServer(), f.requestSnapshot
	o.Node.Handle(kindSync, f.handleSync)
	o.Node.Handle(kindShutdownNotice, f.handleShutdownNotice)
	o.Node.Handle(kindEvacuations, f.handleEvacuations)
	o.Node.Handle(kindTablesArriving, f.handleTablesArriving)
	collectors := append(append(f.tablesMetrics.collectors(f), f.transferMetrics.collectors()...), f.reads, f.evacuationMetrics.inForce, f.evacuationMetrics.sets, f.evacuationAge())
	return f, metric.Register(o.Registerer, "storesync", collectors...)
}

// Current implements lb.Tables.
func (f *Follower) Current() *table.Tables { return f.tables.Load() }

// Configured reports whether both the tables and the targets were loaded.
func (f *Follower) Configured() bool {
	if f.tables.Load().Version == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets != nil
}

// Run keeps the copy up to date until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { f.followHosts(ctx) })
	all.Go(func() { f.followTables(ctx) })
	all.Go(func() { f.followRegistry(ctx) })
	all.Go(func() { f.maintainArchive(ctx) })
	all.Wait()
}

// readerHost returns the host that is the reader now.
func (f *Follower) readerHost() roster.Host { return f.Roster.Candidate(f.Clock.Now(), readerTask) }

// isReader reports whether this host is the reader.
func (f *Follower) isReader() bool { return f.readerHost().Name == f.Roster.Self().Name }

// handleSync responds to a sync request.
func (f *Follower) handleSync(m hostmsg.Message) {
	var q syncRequest
	if err := m.Decode(&q); err != nil {
		f.Logger.Debug("malformed sync request dropped", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	f.mu.Lock()
	f.activity.recordRequest(f.Clock.Now(), m.From)
	f.mu.Unlock()
	if q.RegistryVersion != math.MaxUint64 {
		f.wakeAsCandidate()
	}
	for _, part := range f.changesSince(q.RegistryVersion) {
		m.Respond(part)
	}
	f.tellEvacuations(roster.Host{Addr: m.From})
	f.tellTablesArriving(roster.Host{Addr: m.From})
}

// wakeAsCandidate makes this host look for its reader at once when a follower asks it
// although it is not the reader: the follower found the reader lost, and this host
// is the next.
func (f *Follower) wakeAsCandidate() {
	if f.isReader() {
		return
	}
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	// A reader that only missed a message to the follower keeps this host's data recent.
	if now.Sub(f.registry.readAt) >= registryReadInterval && now.Sub(f.wokenAt) >= nextReaderInterval {
		f.wokenAt = now
		signal(f.registryWake)
	}
}

// changesSince returns the parts of the response to a sync request from a host
// whose registry has the given version.
func (f *Follower) changesSince(version uint64) []syncResponse {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := syncResponse{
		RegistryVersion: f.registry.version, RegistryAge: age(now, f.registry.readAt),
		TablesVersion: f.Current().Version, TablesAge: age(now, f.tablesConfirmedAt), HostsHash: f.hostsHash, Parts: 1,
	}
	changed, removed, ok := f.registry.since(version)
	if !ok || len(changed)+len(removed) > maxChanges {
		return []syncResponse{r}
	}
	whole := r
	whole.ChangesIncluded = true
	if parts, fit := whole.split(toWireAll(changed), removed); fit {
		return parts
	}
	return []syncResponse{r}
}

// ageNeverRead stands for the age of data that was never read, in milliseconds.
const ageNeverRead = int64(24 * time.Hour / time.Millisecond)

// age returns the milliseconds from then to now, at least 0.
func age(now, then time.Time) int64 {
	if then.IsZero() {
		return ageNeverRead
	}
	return max(now.Sub(then).Milliseconds(), 0)
}

// readTracker counts the store readings of one loop, logs when they begin to
// fail and to succeed again, and computes retry pauses.
type readTracker struct {
	name     string
	logger   *zap.Logger
	reads    *prometheus.CounterVec
	failures int
	// failingSince is when the first of the consecutive failures ended,
	// lastAttempt when the last reading began, lastSync when a reader that can't read
	// the store last asked others.
	failingSince, lastAttempt, lastSync time.Time
}

// record counts a reading that ended at now. After a failure it returns the
// pause before the next attempt, randomized so that hosts don't retry in step.
func (t *readTracker) record(now time.Time, err error) time.Duration {
	if err == nil {
		t.reads.WithLabelValues(t.name, "ok").Inc()
		if t.failures > 0 {
			t.logger.Info("store readings succeed again", zap.String("what", t.name), zap.Int("failures", t.failures), zap.Duration("away", now.Sub(t.failingSince)))
		}
		t.failures = 0
		return 0
	}
	t.reads.WithLabelValues(t.name, "failed").Inc()
	if t.failures == 0 {
		t.failingSince = now
		t.logger.Warn("reading the store failed; retrying until it succeeds", zap.String("what", t.name), zap.Error(err))
	}
	t.failures++
	pause := min(minRetryPause<<min(t.failures-1, 4), maxRetryPause)
	return pause/2 + rand.N(pause)
}

func (f *Follower) newReadTracker(name string) *readTracker {
	return &readTracker{name: name, logger: f.Logger, reads: f.reads}
}

// sleep returns after d, when wake is signalled or when the context ends.
func (f *Follower) sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-wake:
	case <-f.Clock.After(d):
	}
}

// signal sends to a channel with a buffer of one, unless a signal is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
