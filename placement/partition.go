package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/hedge"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/registry"
)

const (
	// maxReuseAge is the age up to which a report is reused without a new
	// query: shorter than the time in which a target's speed or load is likely
	// to change.
	maxReuseAge = 4 * time.Millisecond
	// maxReportAge is the age from which a report is ignored: the requests that
	// it counted have ended.
	maxReportAge = 300 * time.Millisecond
	// serviceTimeWeight is the weight of one call in the moving average of the
	// service time.
	serviceTimeWeight = 0.05
	// initialServiceTime is the service time that is assumed before any call
	// has ended.
	initialServiceTime = 100 * time.Millisecond
)

// target is what this host knows of one target.
type target struct {
	registry.Target
	health health
	// inFlight counts this host's calls there, sinceReport those that were sent
	// after the last report.
	inFlight    int
	sinceReport int
	calls       callTracker
	report      load.Report
	reportAt    time.Time
	work        workClock
	// named is the rate limit that the target names, limit the one in force; limiter
	// is set while there is one.
	named, limit backpressure.Limit
	limiter      *backpressure.Limiter
	// limitHeardAt is when the named limit was last heard.
	limitHeardAt time.Time
	// toldWarmupEnd is the end of the target's warm-up by its responses and by other
	// hosts.
	toldWarmupEnd time.Time
	// pausedUntil is until when the target wants no request from this host.
	pausedUntil time.Time
	// evacuated is true while the target's failure domain is evacuated; region is the
	// region of the failure domain, "" when it is unknown.
	evacuated bool
	region    string
}

// partition holds the targets of one partition of a pool, with its own lock.
type partition struct {
	// pool is the name of the pool, number the partition's number in it, from 1.
	pool   string
	number int
	mu     sync.Mutex
	// closed is true once the pool or this partition of it has been removed.
	closed bool
	// extended is true when the deployment uses workspaces, home regions or uploads.
	extended atomic.Bool
	// healthPath is the path of load queries; "" when targets can't be queried.
	healthPath string
	// hasReported is true once a target has reported its load; missingReports
	// counts the responses to load queries without a report.
	hasReported    bool
	missingReports int
	targets        []*target
	// limited is the number of targets with a rate limit, role this host's part in
	// their limits.
	limited int
	// evacuated are the failure domains whose targets get no requests, regions the
	// regions of failure domains.
	evacuated []string
	regions   map[string]string
	role      func() backpressure.Role
	// roleNow is the role as of roleAsOf.
	roleNow  backpressure.Role
	roleAsOf time.Time
	// warmups are the limits of cold targets.
	warmups warmups
	// serviceTime is the usual time of a request on an idle target.
	serviceTime time.Duration
	rng         *rand.Rand
	// demand compares the arriving requests with what the targets can serve.
	demand demand
	// fairness counts the requests of each rank.
	fairness fairness
	// extraAttempts counts the copies of requests that the operator's limit allows.
	extraAttempts hedge.Budget
	// budget limits the load queries; budgetSetAt is when its rate was set.
	budget      queryBudget
	budgetSetAt time.Time
	// waiters wait for room; dispatching is true while a dispatcher runs, and
	// wake tells it that a call has ended.
	waiters     []*waiter
	dispatching bool
	wake        chan struct{}
}

func newPartition(pool string, number int, rng *rand.Rand, role func() backpressure.Role) *partition {
	return &partition{
		pool: pool, number: number, rng: rng, role: role, warmups: newWarmups(), wake: make(chan struct{}, 1),
		fairness: newFairness(), demand: newDemand(),
	}
}

// close removes the partition; requests that wait in it are placed in another
// one.
func (p *partition) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.targets = nil
	for _, w := range p.waiters {
		w.result <- placeResult{partitionClosed: true}
	}
	p.waiters = nil
	p.wakeDispatcher()
}

// wakeDispatcher tells a running dispatcher to try the waiting requests again.
func (p *partition) wakeDispatcher() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// update replaces the targets; the state of an instance that remains is kept, and
// what one that returns asked for is looked up.
func (p *partition) update(now time.Time, spec PoolSpec, targets []registry.Target, asked *backpressure.Book) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := lo.KeyBy(p.targets, func(t *target) registry.Instance { return t.Instance })
	targets = lo.Reject(targets, func(t registry.Target, _ int) bool {
		o, _ := asked.Lookup(t.Instance)
		return o.Leaving
	})
	p.healthPath, p.warmups.perSecond = spec.HealthPath, spec.WarmupPerSecond
	p.targets = lo.Map(targets, func(t registry.Target, _ int) *target {
		if k := known[t.Instance]; k != nil && k.Addr == t.Addr {
			k.Target = t
			return k
		}
		added := &target{
			Target: t, pausedUntil: asked.PausedUntil(t.Instance),
			toldWarmupEnd: asked.WarmupEnd(t.Instance),
		}
		added.health.halfOpen = now.Before(added.pausedUntil)
		if o, ok := asked.Lookup(t.Instance); ok {
			added.named, added.limitHeardAt = o.NamedLimit(), o.HeardAt
		}
		return added
	})
	p.markDomains()
	p.applyLimits(now)
}

// candidates picks up to n random targets that may be chosen, fromDomain of them in
// the given failure domain; where one side has too few targets, the other makes
// up for it. Those that are barred are left out; nil bars none.
func (p *partition) candidates(now time.Time, n, fromDomain int, domain string, barred func(*target) bool) []*target {
	p.mu.Lock()
	defer p.mu.Unlock()
	available := p.available(now, barred)
	p.rng.Shuffle(len(available), func(i, j int) { available[i], available[j] = available[j], available[i] })
	sameDomain, otherDomains := lo.FilterReject(available, func(t *target, _ int) bool { return t.FailureDomain == domain })
	sameDomainCount := min(len(sameDomain), max(fromDomain, n-len(otherDomains)))
	chosen := append(slices.Clone(sameDomain[:sameDomainCount]), otherDomains...)
	return chosen[:min(n, len(chosen))]
}

// splitByRateLimit separates targets that may be queried from those that name a rate
// limit.
func (p *partition) splitByRateLimit(targets []*target) (unlimited, limited []*target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limited == 0 {
		return targets, nil
	}
	return lo.FilterReject(targets, func(t *target, _ int) bool { return !t.named.InForce() })
}

// countRequest counts an arriving request.
func (p *partition) countRequest(now time.Time, q lb.PlaceQuery, extraAttempts hedge.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extraAttempts.Deposit(extraAttempts)
	p.budget.grant()
	p.fairness.countRequest(now, q)
	p.demand.arrivals.count(now)
}

// hasWaiters reports whether requests already wait for room.
func (p *partition) hasWaiters() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters) > 0
}

// state returns what is known of a target now. The caller holds the lock.
func (p *partition) state(now time.Time, t *target, domain string) targetState {
	v := targetState{
		slots: max(t.Slots, 1), cold: now.Before(t.warmupEnd()), rateLimit: t.limit,
		crossDomain: t.FailureDomain != domain, failureRate: t.health.failureRate, outstanding: t.inFlight,
		noQueue: p.extended.Load(),
	}
	v.reportAge = maxReportAge
	if !t.reportAt.IsZero() {
		v.reportAge = min(now.Sub(t.reportAt), maxReportAge)
	}
	if v.reportAge == maxReportAge {
		v.slowdown = t.calls.slowdown(now)
		if t.named.InForce() && !p.roleAt(now).HeldSince.IsZero() {
			// This host places all requests at the target.
			v.reportAge = 0
		}
		return v
	}
	if t.report.Slots > 0 {
		v.slots = t.report.Slots
	}
	v.slowdown = t.report.Slowdown
	if n, ok := t.report.Count(v.slots); ok {
		v.outstanding = max(n+t.sinceReport, t.inFlight)
	}
	return v
}

// bestOf returns the target of the lowest cost and its state; a target whose rate
// limit was not heard for a while goes first. The caller holds the lock.
func (p *partition) bestOf(now time.Time, candidates []*target, domain string) (*target, targetState) {
	var best *target
	var bestState targetState
	for _, t := range candidates {
		if p.limitCheckDue(now, t) {
			return t, p.state(now, t, domain)
		}
		if v := p.state(now, t, domain); best == nil || v.cost() < bestState.cost() {
			best, bestState = t, v
		}
	}
	return best, bestState
}

// best returns the best of all targets that may be chosen. A target without a
// recent report is not taken for idle: those with one go first, and those that name
// a rate limit, which are not queried. The caller holds the lock.
func (p *partition) best(now time.Time, domain string, barred func(*target) bool) (*target, targetState) {
	return p.bestOf(now, p.knownTargets(now, barred), domain)
}

// knownTargets returns the targets that best chooses among. The caller holds the
// lock.
func (p *partition) knownTargets(now time.Time, barred func(*target) bool) []*target {
	available := p.available(now, barred)
	known := lo.Filter(available, func(t *target, _ int) bool {
		return t.named.InForce() || !t.reportAt.IsZero() && now.Sub(t.reportAt) < maxReportAge
	})
	return lo.Ternary(len(known) > 0, known, available)
}

// available returns the targets that are not barred and may be chosen by their
// rate limit and health; health does not count when it allows none of them. The
// caller holds the lock.
func (p *partition) available(now time.Time, barred func(*target) bool) []*target {
	p.endWarmups(now)
	usable := lo.Filter(p.targets, func(t *target, _ int) bool {
		return (barred == nil || !barred(t)) && p.permitted(now, t)
	})
	available := lo.Filter(usable, func(t *target, _ int) bool { return t.health.available(now, t.inFlight) })
	if len(available) == 0 {
		return usable
	}
	return available
}

// serviceTimeLocked returns the usual service time. The caller holds the lock.
func (p *partition) serviceTimeLocked() time.Duration {
	if p.serviceTime == 0 {
		return initialServiceTime
	}
	return p.serviceTime
}

// slotsLocked returns the slots of the targets that may be chosen, those of a target
// with a rate limit as far as requests within the limit occupy them. The caller holds
// the lock.
func (p *partition) slotsLocked(now time.Time) int {
	p.endWarmups(now)
	return int(math.Round(lo.SumBy(p.targets, func(t *target) float64 {
		if t.evacuated || now.Before(t.pausedUntil) || !t.health.available(now, t.inFlight) {
			return 0
		}
		slots := float64(max(t.Slots, 1))
		if t.limiter != nil {
			slots = min(slots, t.limiter.Rate(p.roleAt(now))*p.demand.callTime.Seconds())
		}
		return slots
	})))
}

// setReport stores a load report.
func (t *target) setReport(now time.Time, r load.Report) {
	t.report, t.reportAt, t.sinceReport = r, now, 0
	t.work.report(now, r.Slowdown)
}

// takesRequests reports whether an instance is among the targets and takes
// requests from this host; its rate limit does not count.
func (p *partition) takesRequests(now time.Time, instance registry.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.targets, func(t *target) bool { return t.Instance == instance && !t.evacuated && !now.Before(t.pausedUntil) })
}

// recordRemoteEnd records the end of a call of another host; false when the
// target is not in this partition.
func (p *partition) recordRemoteEnd(now time.Time, instance registry.Instance, f lb.Feedback, r *load.Report) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := lo.Find(p.targets, func(t *target) bool { return t.Instance == instance })
	if !ok {
		return false
	}
	t.health.recordEnd(now, f)
	if r != nil {
		t.setReport(now, *r)
	}
	return true
}

// recordEnd records the end of a call that was expected to take durationFactor
// times the usual service time.
func (p *partition) recordEnd(now time.Time, t *target, c call, durationFactor float64, f lb.Feedback, r *load.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.inFlight--
	t.calls.end(now, c, f.Verdict == lb.Succeeded)
	t.health.recordEnd(now, f)
	if p.dispatching {
		p.wakeDispatcher()
	}
	if r != nil {
		t.setReport(now, *r)
	}
	if f.Verdict != lb.Succeeded || f.Latency <= 0 {
		return
	}
	p.demand.recordCall(f.Latency)
	serviceTime := time.Duration(float64(f.Latency) / max(durationFactor, 1))
	if p.serviceTime == 0 {
		p.serviceTime = serviceTime
	}
	p.serviceTime += time.Duration(serviceTimeWeight * float64(serviceTime-p.serviceTime))
}
