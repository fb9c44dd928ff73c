package placement

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/registry"
)

const (
	// reuseFor is the age up to which a report is used again: shorter than the
	// time in which a target's speed or load is likely to change.
	reuseFor = 4 * time.Millisecond
	// staleAfter is the age from which a report says nothing any more: the
	// work that it counted has ended.
	staleAfter = 300 * time.Millisecond
	// workWeight is the weight of one call in the usual time of work.
	workWeight = 0.05
	// firstWork is the usual time of work before any call has ended.
	firstWork = 100 * time.Millisecond
)

// target is what this host knows of one target.
type target struct {
	registry.Target
	health health
	// inFlight counts this host's calls there, sinceReport those that were
	// sent after the last report.
	inFlight    int
	sinceReport int
	track       track
	report      load.Report
	reportAt    time.Time
}

// pool is the targets of one part of a pool, a shard with its own lock.
type pool struct {
	name string
	// part is the number of the part, from 1.
	part int
	mu   sync.Mutex
	// closed is true once the pool or this part of it is no more.
	closed bool
	// healthPath is what is asked.
	healthPath string
	// reported is true once a target told its load; silences counts answers
	// without a report before that.
	reported bool
	silences int
	targets  []*target
	// work is the usual time of a request on an idle target.
	work time.Duration
	rng  *rand.Rand
	// latePace is the number of late requests placed a second.
	latePace pace
	// fairness counts the requests of each rank.
	fairness fairness
	// budget bounds the questions; rated is when its rate was set.
	budget budget
	rated  time.Time
	// waiters wait for room; dispatching is true while a dispatcher runs, and
	// wake tells it that a call has ended.
	waiters     []*waiter
	dispatching bool
	wake        chan struct{}
}

func newPool(name string, part int, rng *rand.Rand) *pool {
	return &pool{name: name, part: part, rng: rng, wake: make(chan struct{}, 1), fairness: newFairness()}
}

// close ends a part: who waits there is placed elsewhere.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.targets = nil
	for _, w := range p.waiters {
		w.placed <- placed{moved: true}
	}
	p.waiters = nil
	p.signal()
}

// signal tells a running dispatcher to look again.
func (p *pool) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// update replaces the targets; what is known of an instance stays.
func (p *pool) update(healthPath string, targets []registry.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := lo.KeyBy(p.targets, func(t *target) registry.Instance { return t.Instance })
	p.healthPath = healthPath
	p.targets = lo.Map(targets, func(t registry.Target, _ int) *target {
		if k := known[t.Instance]; k != nil && k.Addr == t.Addr {
			k.Target = t
			return k
		}
		return &target{Target: t}
	})
}

// candidates draws up to n targets that may be chosen. Targets in the host's
// own failure domain are drawn first for half of them.
func (p *pool) candidates(now time.Time, n int, domain string, exclude []netip.AddrPort) []*target {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := p.open(now, exclude)
	p.rng.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	near, far := lo.FilterReject(open, func(t *target, _ int) bool { return t.FailureDomain == domain })
	fromNear := min(len(near), max((n+1)/2, n-len(far)))
	chosen := append(slices.Clone(near[:fromNear]), far...)
	return chosen[:min(n, len(chosen))]
}

// take records a report.
func (p *pool) take(now time.Time, t *target, r load.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported = true
	t.report, t.reportAt, t.sinceReport = r, now, 0
}

// split parts targets by whether their last report may be used as it is.
func (p *pool) split(now time.Time, among []*target) (fresh, old []*target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.FilterReject(among, func(t *target, _ int) bool {
		return !t.reportAt.IsZero() && now.Sub(t.reportAt) <= reuseFor
	})
}

// asked counts a request of a rank.
func (p *pool) asked(now time.Time, rank int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fairness.ask(now, rank)
}

// crowded says that requests wait for room already.
func (p *pool) crowded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters) > 0
}

// view is what is known of a target now. The caller holds the lock.
func (p *pool) view(now time.Time, t *target, domain string) view {
	v := view{
		slots: max(t.Slots, 1), cold: now.Before(t.ColdUntil),
		far: t.FailureDomain != domain, failures: t.health.failures, present: t.inFlight,
	}
	v.age = staleAfter
	if !t.reportAt.IsZero() {
		v.age = min(now.Sub(t.reportAt), staleAfter)
	}
	if v.age == staleAfter {
		v.slowdown = t.track.slowdown(now)
		return v
	}
	if t.report.Slots > 0 {
		v.slots = t.report.Slots
	}
	v.slowdown = t.report.Slowdown
	if n, ok := t.report.Count(v.slots); ok {
		v.present = max(n+t.sinceReport, t.inFlight)
	}
	return v
}

// bestOf returns the target of the least cost and what is known of it. The
// caller holds the lock.
func (p *pool) bestOf(now time.Time, among []*target, domain string) (*target, view) {
	var best *target
	var at view
	for _, t := range among {
		if v := p.view(now, t, domain); best == nil || v.cost() < at.cost() {
			best, at = t, v
		}
	}
	return best, at
}

// best returns the best of all targets that may be chosen. One of which
// nothing is known is no idle one: those with a recent report go before it. The
// caller holds the lock.
func (p *pool) best(now time.Time, domain string, exclude []netip.AddrPort) (*target, view) {
	open := p.open(now, exclude)
	known := lo.Filter(open, func(t *target, _ int) bool {
		return !t.reportAt.IsZero() && now.Sub(t.reportAt) < staleAfter
	})
	return p.bestOf(now, lo.Ternary(len(known) > 0, known, open), domain)
}

// open returns the targets that may be chosen; when all are set aside, they
// all may. The caller holds the lock.
func (p *pool) open(now time.Time, exclude []netip.AddrPort) []*target {
	usable := lo.Filter(p.targets, func(t *target, _ int) bool { return !slices.Contains(exclude, t.Addr) })
	open := lo.Filter(usable, func(t *target, _ int) bool { return t.health.open(now, t.inFlight) })
	if len(open) == 0 {
		return usable
	}
	return open
}

// usualWorkLocked returns the usual time of work. The caller holds the lock.
func (p *pool) usualWorkLocked() time.Duration {
	if p.work == 0 {
		return firstWork
	}
	return p.work
}

func (p *pool) uses(at registry.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.targets, func(t *target) bool { return t.Instance == at })
}

// observe takes the end of a call of another host; false when the target is
// none of this pool.
func (p *pool) observe(now time.Time, at registry.Instance, f ports.Feedback, r *load.Report) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := lo.Find(p.targets, func(t *target) bool { return t.Instance == at })
	if !ok {
		return false
	}
	t.health.ended(now, f)
	if r != nil {
		t.report, t.reportAt, t.sinceReport = *r, now, 0
	}
	return true
}

// ended takes the end of a call that was expected to take cost times the
// usual work.
func (p *pool) ended(now time.Time, t *target, s sent, cost float64, f ports.Feedback, r *load.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.inFlight--
	t.track.end(now, s, f.Verdict == ports.Succeeded)
	t.health.ended(now, f)
	if p.dispatching {
		p.signal()
	}
	if r != nil {
		t.report, t.reportAt, t.sinceReport = *r, now, 0
	}
	if f.Verdict != ports.Succeeded || f.Latency <= 0 {
		return
	}
	unit := time.Duration(float64(f.Latency) / max(cost, 1))
	if p.work == 0 {
		p.work = unit
	}
	p.work += time.Duration(workWeight * float64(unit-p.work))
}

// size is the number of targets.
func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.targets)
}

// asks returns the path to ask, or that asking is of no use.
func (p *pool) asks() (path string, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healthPath, p.healthPath == "" || !p.reported && p.silences >= silentAfter
}

// silentAfter is the number of answers without a report after which the
// targets of a pool count as telling no load.
const silentAfter = 8

// noteSilent counts an answer without a report.
func (p *pool) noteSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silences++
}
