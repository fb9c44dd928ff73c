package quarantine

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
)

const (
	// witnessCount is the number of hosts that check a loss and pass it on: two may
	// be lost or cut off.
	witnessCount = 3
	// taskCount is the number of tasks among which contents are divided.
	taskCount = 64
	// checkTimeout bounds the checks of one target.
	checkTimeout = time.Second
	// tellInterval is the time between two notices of one record to all hosts.
	tellInterval = 250 * time.Millisecond
	// repeatInterval is the time between two notices of all suspects by one host, for
	// hosts that missed the first; they end repeatFor after the last loss.
	repeatInterval = 5 * time.Second
	repeatFor      = 2 * time.Minute
	// maxRepeated bounds the suspects in one repetition.
	maxRepeated = 16
	// tickInterval is the time between two rounds of the background loop.
	tickInterval = 500 * time.Millisecond
	// maxQueuedWrites bounds the writes that wait for the store.
	maxQueuedWrites = 64
)

// Store keeps suspect records, so that a restart of all hosts does not forget them.
// Methods are safe for concurrent use.
type Store interface {
	// SaveSuspects writes rows by key, at most maxRows; DeleteSuspects deletes them.
	SaveSuspects(rows map[string][]byte) error
	DeleteSuspects(keys []string) error
	// Suspects returns all rows by key.
	Suspects() (map[string][]byte, error)
}

// TargetChecker finds out whether a target still runs.
type TargetChecker interface {
	// Responds reports whether the process of a pool's target responds to this host.
	Responds(ctx context.Context, pool string, instance registry.Instance, addr netip.AddrPort) bool
}

// Options configure a Guard. All but Registerer are required.
type Options struct {
	Node    *hostmsg.Node
	Roster  *roster.Roster
	Store   Store
	Checker TargetChecker
	// Reach has a pool checked of which a target does not respond to this host.
	Reach interface{ Suspect(pool string) }
	// FirstStart means that the deployment starts for the first time, so that the
	// store holds no records.
	FirstStart bool
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// Guard refuses requests that end targets. It implements lb.RequestGuard and is safe
// for concurrent use.
type Guard struct {
	Options
	book   *Book
	losses *prometheus.CounterVec
	writes chan storeWrite

	mu sync.Mutex
	// checks holds the checks that are running, with the contents that wait for them.
	checks map[registry.Instance]*check
	// toldAt is when a content was last told to all hosts.
	toldAt     map[Content]time.Time
	repeatedAt time.Time
	// listedHosts are the other hosts of the last round of the background loop.
	listedHosts []roster.Host
	// malformed holds the rows that could not be decoded at the last reading of the
	// store, by key; only the background loop uses it.
	malformed map[string]error
}

// check is a running check of a target.
type check struct {
	notice lossNotice
	// contents are the requests that it ran, with true for those lost at this host.
	contents map[Content]bool
}

// storeWrite is a change in the store: rows to write, or keys to delete.
type storeWrite struct {
	rows    map[string][]byte
	deletes []string
}

var _ lb.RequestGuard = (*Guard)(nil)

// NewGuard returns a guard that knows no losses yet. It registers its message
// handlers at the node. It fails when a metric can't be registered.
func NewGuard(o Options) (*Guard, error) {
	g := &Guard{
		Options: o, book: NewBook(), writes: make(chan storeWrite, maxQueuedWrites),
		checks: map[registry.Instance]*check{}, toldAt: map[Content]time.Time{},
		losses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_crash_suspicions_total",
			Help: "Requests lost at targets, by what a check of the target found.",
		}, []string{"result"}),
	}
	o.Node.Handle(kindLoss, g.handleLoss)
	o.Node.Handle(kindRecord, g.handleRecord)
	return g, metric.Register(o.Registerer, "quarantine", g.losses)
}

// Active implements lb.RequestGuard.
func (g *Guard) Active() bool { return !g.book.Empty() }

// task is the task of judging a content; all hosts with the same host list agree on
// its witnesses.
func task(content Content) roster.Task {
	return roster.Task{Kind: "crash", Name: strconv.FormatUint(uint64(content)%taskCount, 10)}
}

// Suspected implements lb.RequestGuard.
func (g *Guard) Suspected(content uint64) bool {
	_, known := g.book.Record(Content(content))
	return known
}

// Check implements lb.RequestGuard.
func (g *Guard) Check(content uint64, requestID string) (retryAfter time.Duration, refused bool) {
	now, self := g.Clock.Now(), g.Roster.Self().Name
	triesFirst := g.Roster.First(now, task(Content(content))).Name == self
	d := g.book.Decide(now, Content(content), triesFirst)
	if d.Refused {
		g.Logger.Info("request refused: targets ended under requests with the same content", zap.String("request", requestID), zap.String("content", Content(content).key()),
			zap.Int("targets", d.Losses), zap.Duration("last_ended", d.LastLoss), zap.Duration("retry_after", d.RetryAfter))
	} else if d.Losses > 0 {
		g.Logger.Info("request is tried once more although targets ended under requests with the same content", zap.String("request", requestID),
			zap.String("content", Content(content).key()), zap.Int("targets", d.Losses), zap.Duration("last_ended", d.LastLoss))
	}
	return d.RetryAfter, d.Refused
}

// Lost implements lb.RequestGuard.
func (g *Guard) Lost(content uint64, pool string, a lb.Attempt) {
	identified, ok := a.(interface{ Instance() registry.Instance })
	if !ok {
		return
	}
	g.Reach.Suspect(pool)
	instance := identified.Instance()
	g.startCheck(lossNotice{Content: content, Pool: pool, ID: instance.ID, StartedMillis: instance.StartedMillis, Addr: a.Target()}, true)
}

// Answered implements lb.RequestGuard. A request that got a response does not end
// targets.
func (g *Guard) Answered(content uint64) {
	r, known := g.book.Record(Content(content))
	if !known || len(r.Losses) == 0 {
		return
	}
	now := g.Clock.Now()
	g.Logger.Info("request got a response; the targets that ended under requests with the same content don't count against it", zap.String("content", r.Content.key()), zap.Int("targets", len(r.Losses)))
	wasSuspect := r.suspect()
	deletes := lo.Map(r.Losses, func(l Loss, _ int) string { return l.rowKey(r.Content) })
	r.ClearedAt = now
	r, _ = g.book.Merge(now, r)
	if !wasSuspect {
		g.tell(r, g.witnesses(r.Content))
		return
	}
	g.write(storeWrite{deletes: deletes})
	g.tell(r, g.Roster.Others())
	for _, delay := range clearedRepeats {
		g.Clock.AfterFunc(delay, func() { g.tell(r, g.Roster.Others()) })
	}
}

// clearedRepeats are the delays after which all hosts are told again that a content
// does not end targets, in case the first notice was lost.
var clearedRepeats = []time.Duration{2 * time.Second, 8 * time.Second}

func (g *Guard) witnesses(content Content) []roster.Host {
	return g.Roster.Preferred(task(content), witnessCount)
}

// isWitness reports whether this host is among the witnesses of a content.
func (g *Guard) isWitness(content Content) bool {
	return lo.ContainsBy(g.witnesses(content), func(h roster.Host) bool { return h.Name == g.Roster.Self().Name })
}

// handleLoss checks, as a witness, a loss that another host has seen: that host may
// be the one that is cut off.
func (g *Guard) handleLoss(m hostmsg.Message) {
	var n lossNotice
	if err := m.Decode(&n); err != nil {
		g.Logger.Debug("malformed notice of a lost request dropped", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	g.startCheck(n, false)
}

// startCheck checks whether a target has ended, or adds a request to the check that
// is running.
func (g *Guard) startCheck(n lossNotice, lostHere bool) {
	instance := registry.Instance{ID: n.ID, StartedMillis: n.StartedMillis}
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.checks[instance]; c != nil {
		c.contents[Content(n.Content)] = c.contents[Content(n.Content)] || lostHere
		return
	}
	c := &check{notice: n, contents: map[Content]bool{Content(n.Content): lostHere}}
	g.checks[instance] = c
	go g.runCheck(instance, c)
}

// runCheck checks a target and records the requests that it ran if it has ended.
func (g *Guard) runCheck(instance registry.Instance, c *check) {
	began := g.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	responds := g.Checker.Responds(ctx, c.notice.Pool, instance, c.notice.Addr)
	g.mu.Lock()
	delete(g.checks, instance)
	contents := c.contents
	g.mu.Unlock()
	g.losses.WithLabelValues(lo.Ternary(responds, "responds", "ended")).Add(float64(len(contents)))
	if responds {
		return
	}
	for content, lostHere := range contents {
		n := c.notice
		n.Content, n.Age = uint64(content), g.Clock.Now().Sub(began).Milliseconds()
		if lostHere {
			g.report(content, n)
		}
		if g.isWitness(content) {
			g.recordLoss(began, content, instance)
		}
	}
}

// report asks the witnesses of a content to check a loss.
func (g *Guard) report(content Content, n lossNotice) {
	g.Logger.Info("target does not respond after a request was lost there", zap.String("target", n.ID), zap.String("content", content.key()), zap.String("pool", n.Pool))
	for _, h := range g.witnesses(content) {
		if h.Name == g.Roster.Self().Name {
			continue
		}
		if err := g.Node.Notify(h.Addr, kindLoss, n); err != nil {
			g.Logger.Debug("witness was not told of a lost request; the other witnesses are", zap.String("witness", h.Name), zap.Error(err))
		}
	}
}

// recordLoss records, as a witness, that a target ended under a request.
func (g *Guard) recordLoss(at time.Time, content Content, instance registry.Instance) {
	now := g.Clock.Now()
	r, changed := g.book.Merge(now, Record{Content: content, Losses: []Loss{{Instance: instance, At: at}}})
	if !changed || !r.suspect() {
		return
	}
	g.Logger.Warn("targets ended under requests with the same content", zap.String("content", content.key()), zap.Int("targets", len(r.Losses)),
		zap.String("target", instance.ID), zap.Bool("refused", r.refused()))
	g.spread(now, r)
}

// spread tells all hosts and the store of a suspect record.
func (g *Guard) spread(now time.Time, r Record) {
	g.mu.Lock()
	due := now.Sub(g.toldAt[r.Content]) >= tellInterval || len(r.Losses) <= refusedLosses
	if len(g.toldAt) >= maxContents {
		g.toldAt = lo.OmitBy(g.toldAt, func(_ Content, at time.Time) bool { return now.Sub(at) >= tellInterval })
	}
	if due {
		g.toldAt[r.Content] = now
	}
	g.mu.Unlock()
	if !due {
		// The next repetition tells it.
		return
	}
	g.tell(r, g.Roster.Others())
	rows, err := encodeRows(r)
	if err != nil {
		g.Logger.Error("record of a request that ends targets can't be stored; a restart of all hosts forgets it", zap.Error(err))
		return
	}
	g.write(storeWrite{rows: rows})
}

// tell sends a record to hosts.
func (g *Guard) tell(r Record, hosts []roster.Host) {
	n := newRecordNotice(g.Clock.Now(), r)
	for _, h := range hosts {
		if h.Name == g.Roster.Self().Name {
			continue
		}
		if err := g.Node.Notify(h.Addr, kindRecord, n); err != nil {
			g.Logger.Debug("host was not told of a request that ends targets; it is told again with the next repetition", zap.String("to", h.Name), zap.Error(err))
		}
	}
}

func (g *Guard) handleRecord(m hostmsg.Message) {
	var n recordNotice
	if err := m.Decode(&n); err != nil {
		g.Logger.Debug("malformed record of a request that ends targets dropped", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	now := g.Clock.Now()
	before, _ := g.book.Record(Content(n.Content))
	r, _ := g.book.Merge(now, n.record(now))
	if r.refused() != before.refused() {
		g.Logger.Info("what is known of a request that ends targets changed", zap.String("content", r.Content.key()), zap.Int("targets", len(r.Losses)),
			zap.Bool("refused", r.refused()), zap.Stringer("told_by", m.From))
	}
}
