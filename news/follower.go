package news

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/mesh"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// Times of reading. A leaving target must get nothing new, and a change of the
// tables must be in force, two seconds after the store has it: a reading, a
// question and a call that fails must fit.
const (
	// registerEvery is the time between two readings of the register by the
	// reader.
	registerEvery = 600 * time.Millisecond
	// syncEvery is the time between two questions to the reader.
	syncEvery = 400 * time.Millisecond
	// registerOld and tablesOld are the ages from which a reader's news are no
	// longer relied on.
	registerOld = 1100 * time.Millisecond
	tablesOld   = 1300 * time.Millisecond
	// tablesWait is how long a reading of the tables waits for a change.
	tablesWait = 800 * time.Millisecond
	// hostsEvery is the time between two readings of the hosts by the reader.
	hostsEvery = 2 * time.Second
	// syncTimeout bounds one question: several times the way between failure
	// domains.
	syncTimeout = 40 * time.Millisecond
	// readersTried is the number of readers that are asked before the store.
	readersTried = 2
	// retryFirst is the pause after a reading that failed, retryLongest the
	// longest; retryIdle is that of a host that others read for, and retryBehind
	// that of one whose reader lives but does not reach the store either.
	retryFirst   = 100 * time.Millisecond
	retryLongest = 150 * time.Millisecond
	retryIdle    = time.Second
	retryBehind  = 2 * time.Second
	// idleFailures is the number of failed readings after which a host leaves
	// the attempts to the reader.
	idleFailures = 3
	// mostProblems bounds the log lines about one reading of the register.
	mostProblems = 3
)

// kind names the reader in the roster.
const kind = "reader"

// task is the reading of the store.
var task = roster.Task{Kind: kind}

// Options configure a Follower. All but Registerer are required.
type Options struct {
	Source Source
	Node   *mesh.Node
	Roster *roster.Roster
	// Place is told of every change of the tables or targets. Pools of all the
	// tables must be served: requests that were routed by the tables before
	// may still come.
	Place func(targets map[string][]registry.Target, tables ...*table.Tables)
	// FirstStart says that the whole deployment starts for the first time: hosts
	// wait for the reader, since there are no callers yet.
	FirstStart bool
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// Follower keeps the tables, the targets and the hosts of a deployment. It
// implements ports.Tables and is safe for concurrent use.
type Follower struct {
	Options
	reads *prometheus.CounterVec

	tables atomic.Pointer[table.Tables]
	// hint is signalled when the tables should be read.
	hint chan struct{}
	// rehost is signalled when the hosts should be read; met is closed once
	// they were for the first time.
	rehost chan struct{}
	met    chan struct{}
	// listed is closed after the first look at the hosts, joined once the
	// reader was asked for all that it knows.
	listed, joined chan struct{}
	// started is when the follower was made.
	started time.Time
	meet    sync.Once
	list    sync.Once
	// lost is true from a reading of the store that failed to the next news or
	// reading of the register.
	lost atomic.Bool

	server *fasthttp.Server
	client *fasthttp.Client

	packing sync.Mutex
	packed  packedTables
	// snapshots are the packed contents of this moment; mu guards them.
	snapshots packed

	mu      sync.Mutex
	journal *journal
	book    *registry.Book
	targets map[string][]registry.Target
	// tablesAt is when the tables in force were last confirmed.
	tablesAt time.Time
	// announced is when this host made itself known.
	announced time.Time
	// known are the hosts, and hosts is a hash over them.
	known []roster.Host
	hosts uint64
	// attendance is kept by the reader.
	attendance attendance
	// ahead is a reader that has newer tables; its name is empty when none has.
	ahead roster.Host
}

// New returns a follower that knows nothing yet.
func New(o Options) (*Follower, error) {
	f := &Follower{
		Options: o, hint: make(chan struct{}, 1), rehost: make(chan struct{}, 1), met: make(chan struct{}), started: o.Clock.Now(),
		listed: make(chan struct{}), joined: make(chan struct{}), client: newSnapshotClient(),
		journal: newJournal(), book: registry.NewBook(),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_store_readings_total",
			Help: "Readings of the store and questions to its reader, by what was read and the result.",
		}, []string{"what", "result"}),
	}
	f.tables.Store(table.Empty())
	f.server = f.newServer()
	o.Node.Handle(kindSync, f.answer)
	o.Node.Handle(kindFarewell, f.hearFarewell)
	return f, metric.Register(o.Registerer, "news", f.reads)
}

// Current implements ports.Tables.
func (f *Follower) Current() *table.Tables { return f.tables.Load() }

// Configured says that a configuration and the targets are known.
func (f *Follower) Configured() bool {
	if f.tables.Load().Version == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets != nil
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { f.followHosts(ctx) })
	all.Go(func() { f.followTables(ctx) })
	all.Go(func() { f.followRegister(ctx) })
	all.Wait()
}

// readerHost is the host that reads for all.
func (f *Follower) readerHost() roster.Host { return f.Roster.Order(f.Clock.Now(), task)[0] }

// isReader reports whether this host is the reader.
func (f *Follower) isReader() bool { return f.readerHost().Name == f.Roster.Self().Name }

// answer answers a question for news.
func (f *Follower) answer(m mesh.Message) {
	var q question
	if err := m.Decode(&q); err != nil {
		f.Logger.Debug("question for news is malformed", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	f.mu.Lock()
	f.attendance.ask(f.Clock.Now(), m.From)
	f.mu.Unlock()
	for _, a := range f.newsSince(q.Register) {
		m.Answer(a)
	}
}

// newsSince returns what changed since a version of the register.
func (f *Follower) newsSince(version uint64) []answer {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	a := answer{
		Register: f.journal.version, RegisterAge: age(now, f.journal.at),
		Tables: f.Current().Version, TablesAge: age(now, f.tablesAt), Hosts: f.hosts, Parts: 1,
	}
	changed, dropped, ok := f.journal.since(version)
	if !ok || len(changed)+len(dropped) > mostChanges {
		return []answer{a}
	}
	a.Known = true
	return a.divide(mapWire(changed), dropped)
}

// never is the age of what was never read, in milliseconds.
const never = int64(24 * time.Hour / time.Millisecond)

func age(now, then time.Time) int64 {
	if then.IsZero() {
		return never
	}
	return max(now.Sub(then).Milliseconds(), 0)
}

// dependency notes when readings begin to fail and to succeed again.
type dependency struct {
	name     string
	log      *zap.Logger
	reads    *prometheus.CounterVec
	failures int
	// since is when the first reading failed, tried when the last began.
	since, tried time.Time
}

// read counts a reading and returns the pause before the next one after a
// failure.
func (d *dependency) read(now time.Time, err error) time.Duration {
	if err == nil {
		d.reads.WithLabelValues(d.name, "ok").Inc()
		if d.failures > 0 {
			d.log.Info("store regained", zap.String("what", d.name), zap.Int("failures", d.failures), zap.Duration("away", now.Sub(d.since)))
		}
		d.failures = 0
		return 0
	}
	d.reads.WithLabelValues(d.name, "failed").Inc()
	if d.failures == 0 {
		d.since = now
		d.log.Warn("store lost", zap.String("what", d.name), zap.Error(err))
	}
	d.failures++
	pause := min(retryFirst<<min(d.failures-1, 4), retryLongest)
	return pause/2 + rand.N(pause)
}

// idle says that attempts are better left to the reader.
func (d *dependency) idle() bool { return d.failures >= idleFailures }

func (f *Follower) dependency(name string) *dependency {
	return &dependency{name: name, log: f.Logger, reads: f.reads}
}

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

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
