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

	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/lb"
)

// Kind is the kind of a probe.
type Kind uint8

// The kinds of probe.
const (
	// None: no probe is useful.
	None Kind = iota
	// Load: the last load report of the target is stale.
	Load
	// Health: the target is ejected or draining.
	Health
)

// String returns the kind as used in metric labels.
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

// Result is the result of a probe.
type Result struct {
	// Report is the load report, "" when there is none.
	Report string
	// Draining is true when the response has the header Chestnut-Draining: 1.
	Draining bool
	// Failed is true when there is no response or its status is 500 or above.
	Failed bool
	// Warmup is the rest of the target's warm-up, 0 when the response says nothing of
	// it. Malformed is true when its header was malformed and is ignored.
	Warmup    time.Duration
	Malformed bool
	// SentAt is when the probe was sent. The Prober sets it for targets with an
	// OwnerBudget, whose warm-up is read.
	SentAt time.Time
}

// Source decides which probes are useful and receives their results.
type Source interface {
	// ProbeKind returns the kind of probe that is useful for a target now.
	ProbeKind(now time.Time, pool string, addr netip.AddrPort) Kind
	// ProbeDone receives the result of a probe.
	ProbeDone(now time.Time, addr netip.AddrPort, r Result)
}

// Transport sends probes.
type Transport interface {
	// Probe sends one probe and returns its result. The context has the
	// deadline.
	Probe(ctx context.Context, addr netip.AddrPort, path string) Result
}

const (
	// defaultTimeout is the timeout of one probe.
	defaultTimeout = 500 * time.Millisecond
	// maxWait is the longest time between two checks of the schedule.
	maxWait = 250 * time.Millisecond
	// minWait is the shortest time between two checks of the schedule; it limits
	// the processor time that they take.
	minWait = 10 * time.Millisecond
	// positionTTL is the time between two checks of the membership.
	positionTTL = 100 * time.Millisecond
)

// Options configure a Prober.
type Options struct {
	// Host is the name of this entry host.
	Host string
	// Membership lists the live hosts.
	Membership lb.Membership
	// Lease is checked before each probe, which is skipped when this host does
	// not hold it; nil counts as always held.
	Lease lb.Lease
	// Owns reports whether this host is the owner of the targets of a pool in a failure
	// domain and so may use Target.OwnerBudget; nil counts as never.
	Owns func(now time.Time, pool, failureDomain string) bool
	// Source decides about probes and receives their results.
	Source Source
	// Transport sends the probes; nil selects HTTP on separate connections.
	Transport Transport
	// Responses counts and logs the responses that are not HTTP/1.1; nil does neither.
	Responses *http1.Monitor
	// Timeout is the timeout of one probe; 0 selects 500 ms.
	Timeout time.Duration
	// Clock gives the time; nil selects the real clock.
	Clock clockwork.Clock
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// Prober probes targets in the time slots of this host. mu guards the fields below
// it.
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

// scheduledTarget is a target and the time of the next check of its schedule.
type scheduledTarget struct {
	Target
	next time.Time
	// ownerNext is when the owner may probe the target again.
	ownerNext time.Time
}

// New returns a Prober without targets. It fails when a required option is missing
// or the metrics can't be registered.
func New(o Options) (*Prober, error) {
	if o.Membership == nil || o.Source == nil || o.Host == "" {
		return nil, errors.New("probe: Host, Membership and Source are required")
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Transport == nil {
		o.Transport = newHTTPTransport(o.Timeout, o.Responses)
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

// Update replaces the targets. Targets without a budget are not probed. A target
// listed for several pools is probed for the first one, with the lowest of their
// budgets.
func (p *Prober) Update(targets []Target) {
	unique := map[netip.AddrPort]Target{}
	for _, t := range targets {
		if t.Budget <= 0 {
			continue
		}
		if known, ok := unique[t.Addr]; ok {
			unique[t.Addr] = known.withBudgetOf(t)
			continue
		}
		unique[t.Addr] = t
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ownerNext := lo.SliceToMap(p.targets, func(t *scheduledTarget) (netip.AddrPort, time.Time) { return t.Addr, t.ownerNext })
	p.targets = lo.MapToSlice(unique, func(_ netip.AddrPort, t Target) *scheduledTarget {
		return &scheduledTarget{Target: t, ownerNext: ownerNext[t.Addr]}
	})
	p.scheduler.Retain(lo.Values(unique))
}

// Run sends probes until the context ends and returns when the running probes have
// ended.
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

// probeJob is a probe to send now.
type probeJob struct {
	Target
	kind Kind
	path string
	// asOwner is true for a probe within OwnerBudget, which needs no lease.
	asOwner bool
}

// due returns the probes to send now and the time until the next check.
func (p *Prober) due(now time.Time) (due []probeJob, wait time.Duration) {
	leaseHeld := p.holdsLease()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshPosition(now)
	wait = maxWait
	for _, t := range p.targets {
		if j, ok := p.tryOwnerProbe(now, t); ok {
			due = append(due, j)
		}
		if t.ownerNext.After(now) {
			wait = min(wait, t.ownerNext.Sub(now))
		}
		if !leaseHeld {
			continue
		}
		if !now.Before(t.next) {
			if j, ok := p.tryProbe(now, t); ok {
				due = append(due, j)
			}
		}
		wait = min(wait, t.next.Sub(now))
	}
	return due, max(wait, minWait)
}

// refreshPosition updates this host's position in the membership when positionTTL
// has passed. When it has changed, all targets are checked again.
func (p *Prober) refreshPosition(now time.Time) {
	if now.Sub(p.positionAt) < positionTTL && !p.positionAt.IsZero() {
		return
	}
	p.positionAt = now
	position := NewPosition(p.opts.Host, p.opts.Membership.LiveHosts(), p.opts.Membership.ShareDivisor())
	if position == p.position {
		return
	}
	p.position = position
	for _, t := range p.targets {
		t.next = now
	}
}

// tryProbe decides whether to probe a target now and sets the time of its next
// check. It records the probe as running.
func (p *Prober) tryProbe(now time.Time, t *scheduledTarget) (j probeJob, probe bool) {
	open, next := p.scheduler.Open(now, p.position, t.Target)
	t.next = next
	if !open || p.running[t.Addr] {
		return probeJob{}, false
	}
	if j, probe = p.newJob(now, t); probe {
		p.scheduler.RecordProbe(now, t.Addr)
	}
	return j, probe
}

// newJob returns the probe of a target that is useful now and records it as running.
func (p *Prober) newJob(now time.Time, t *scheduledTarget) (j probeJob, useful bool) {
	j = probeJob{Target: t.Target, kind: p.opts.Source.ProbeKind(now, t.Pool, t.Addr)}
	if j.path = j.choosePath(); j.path == "" {
		return probeJob{}, false
	}
	p.running[t.Addr] = true
	return j, true
}

// tryOwnerProbe decides whether to probe a target now as the owner of its group. It
// needs no lease: a host that has just started must learn soon which of its targets
// are cold.
func (p *Prober) tryOwnerProbe(now time.Time, t *scheduledTarget) (j probeJob, probe bool) {
	if t.OwnerBudget <= 0 || p.opts.Owns == nil || now.Before(t.ownerNext) || p.running[t.Addr] ||
		!p.opts.Owns(now, t.Pool, t.FailureDomain) {
		return probeJob{}, false
	}
	if j, probe = p.newJob(now, t); probe {
		j.asOwner = true
		t.ownerNext = now.Add(timeSlotWidth(t.OwnerBudget))
	}
	return j, probe
}

// choosePath returns the path to request, "" for no probe. A health probe uses the
// load path when there is no health path.
func (j *probeJob) choosePath() string {
	switch j.kind {
	case Load:
		if j.LoadPath == "" && j.OwnerBudget > 0 {
			return j.HealthPath
		}
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
	if !j.asOwner && !p.holdsLease() {
		return
	}
	sentAt := p.opts.Clock.Now()
	result := p.opts.Transport.Probe(ctx, j.Addr, j.path)
	if j.OwnerBudget > 0 {
		result.SentAt = sentAt
	}
	label := "answered"
	switch {
	case result.Failed:
		label = "failed"
	case result.Malformed:
		label = "malformed"
	}
	p.probes.WithLabelValues(j.Pool, j.kind.String(), label).Inc()
	p.opts.Source.ProbeDone(p.opts.Clock.Now(), j.Addr, result)
}

func (p *Prober) probeEnded(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, addr)
}

// holdsLease reports whether this host may use its share of the budget.
func (p *Prober) holdsLease() bool { return p.opts.Lease == nil || p.opts.Lease.Held() }
