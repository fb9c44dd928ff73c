package probe

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/ports"
)

// Want is what is worth asking of a target.
type Kind uint8

// The wants.
const (
	// Nothing: an answer would teach nothing.
	None Kind = iota
	// Load: its load report is old.
	Load
	// Health: it is set aside or leaving.
	Health
)

// String returns the want as metric labels spell it.
func (k Kind) String() string {
	switch k {
	case Load:
		return "load"
	case Health:
		return "health"
	default:
		return "nothing"
	}
}

// Answer is what a probe showed.
type Answer struct {
	// Report is the load report, "" when there is none.
	Report string
	// Draining is true when the answer carried the draining mark.
	Draining bool
	// Failed is true without an answer, or with one of 500 or above.
	Failed bool
}

// Source decides what is worth asking and takes the answers.
type Source interface {
	ProbeKind(now time.Time, pool string, addr netip.AddrPort) Kind
	ProbeDone(now time.Time, addr netip.AddrPort, a Answer)
}

// Asker does one probe.
type Asker interface {
	Ask(ctx context.Context, addr netip.AddrPort, path string) Answer
}

const (
	// defaultTimeout bounds one probe.
	defaultTimeout = 500 * time.Millisecond
	// longestNap is the longest time between two looks at the schedule.
	maxWait = 250 * time.Millisecond
	// shortestNap bounds the processor time spent on the schedule.
	minWait = 10 * time.Millisecond
	// viewLife is the time between two looks at the membership.
	positionTTL = 100 * time.Millisecond
)

// Options configure a Prober.
type Options struct {
	Host       string
	Membership ports.Membership
	// Lease is asked before each probe; nil always holds.
	Lease  ports.Lease
	Source Source
	// Asker does the probes; nil selects HTTP over connections of its own.
	Asker Asker
	// Timeout bounds one probe; 0 selects half a second.
	Timeout time.Duration
	// Clock gives the time; nil selects the real clock.
	Clock clockwork.Clock
	// Registerer takes the metrics; nil keeps none.
	Registerer prometheus.Registerer
}

// Prober probes targets in the slots of this host.
type Prober struct {
	opts   Options
	probes *prometheus.CounterVec

	mu         sync.Mutex
	targets    []*scheduledTarget
	position   Position
	positionAt time.Time
	scheduler  *Scheduler
	running    map[netip.AddrPort]bool
}

// watched is a target and the time of the next look at it.
type scheduledTarget struct {
	Target
	next time.Time
}

// New returns a prober without targets.
func New(o Options) (*Prober, error) {
	if o.Membership == nil || o.Source == nil || o.Host == "" {
		return nil, errors.New("probe: Host, Membership and Source are required")
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Asker == nil {
		o.Asker = newHTTPAsker(o.Timeout)
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	p := &Prober{
		opts: o, scheduler: NewScheduler(), running: map[netip.AddrPort]bool{},
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_probes_total",
			Help: "Probes sent by pool, kind and result.",
		}, []string{"pool", "kind", "result"}),
	}
	if err := metric.Register(o.Registerer, "probe", p.probes); err != nil {
		return nil, err
	}
	return p, nil
}

// Update sets the targets. A target in several pools is probed for the first
// with a budget, with the lowest budget among them.
func (p *Prober) Update(targets []Target) {
	unique := map[netip.AddrPort]Target{}
	for _, t := range targets {
		if t.Budget <= 0 {
			continue
		}
		if known, ok := unique[t.Addr]; ok {
			known.Budget = min(known.Budget, t.Budget)
			unique[t.Addr] = known
			continue
		}
		unique[t.Addr] = t
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = lo.MapToSlice(unique, func(_ netip.AddrPort, t Target) *scheduledTarget { return &scheduledTarget{Target: t} })
	p.scheduler.Retain(lo.Values(unique))
}

// Run probes until the context ends and the running probes have.
func (p *Prober) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		now := p.opts.Clock.Now()
		due, wait := p.due(now)
		for _, d := range due {
			wg.Go(func() { p.execute(ctx, d) })
		}
		timer := p.opts.Clock.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.Chan():
		}
	}
}

// job is a probe to do now.
type probeJob struct {
	Target
	kind Kind
	path string
}

// due returns the probes to do now and the time until the next look.
func (p *Prober) due(now time.Time) (due []probeJob, wait time.Duration) {
	if !p.holdsLease() {
		return nil, maxWait
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshPosition(now)
	wait = maxWait
	for _, t := range p.targets {
		if !now.Before(t.next) {
			if j, ok := p.tryProbe(now, t); ok {
				due = append(due, j)
			}
		}
		wait = min(wait, t.next.Sub(now))
	}
	return due, max(wait, minWait)
}

// refreshView takes a new view of the membership now and then. Targets are
// looked at anew when it differs.
func (p *Prober) refreshPosition(now time.Time) {
	if now.Sub(p.positionAt) < positionTTL && !p.positionAt.IsZero() {
		return
	}
	p.positionAt = now
	position := NewPosition(p.opts.Host, p.opts.Membership.Hosts(), p.opts.Membership.ShareCount())
	if position == p.position {
		return
	}
	p.position = position
	for _, t := range p.targets {
		t.next = now
	}
}

// look decides whether to probe a target now, and when to look again.
func (p *Prober) tryProbe(now time.Time, t *scheduledTarget) (j probeJob, probe bool) {
	open, next := p.scheduler.Open(now, p.position, t.Target)
	t.next = next
	if !open || p.running[t.Addr] {
		return probeJob{}, false
	}
	j = probeJob{Target: t.Target, kind: p.opts.Source.ProbeKind(now, t.Pool, t.Addr)}
	if j.path = j.choosePath(); j.path == "" {
		return probeJob{}, false
	}
	p.scheduler.RecordProbe(now, t.Addr)
	p.running[t.Addr] = true
	return j, true
}

// choosePath returns the path to ask, "" for none.
func (j *probeJob) choosePath() string {
	switch j.kind {
	case Load:
		return j.LoadPath
	case Health:
		if j.HealthPath != "" {
			return j.HealthPath
		}
		return j.LoadPath
	default:
		return ""
	}
}

func (p *Prober) execute(ctx context.Context, j probeJob) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	defer p.probeEnded(j.Addr)
	if !p.holdsLease() {
		return
	}
	answer := p.opts.Asker.Ask(ctx, j.Addr, j.path)
	result := "answered"
	if answer.Failed {
		result = "failed"
	}
	p.probes.WithLabelValues(j.Pool, j.kind.String(), result).Inc()
	p.opts.Source.ProbeDone(p.opts.Clock.Now(), j.Addr, answer)
}

func (p *Prober) probeEnded(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, addr)
}

// holds reports whether this host may use its part of the budget.
func (p *Prober) holdsLease() bool { return p.opts.Lease == nil || p.opts.Lease.Holds() }
