package placement

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/load"
)

// SetMaxQueriesPerSecond changes the bound of load queries a second to one
// target by all hosts together; 0 selects
// DefaultMaxQueriesPerSecond.
func (b *Balancer) SetMaxQueriesPerSecond(perSecond float64) {
	if perSecond <= 0 {
		perSecond = DefaultMaxQueriesPerSecond
	}
	b.queriesPerTarget.Store(&perSecond)
}

// queryAllowance returns what this host may send of the load queries to a partition.
func (b *Balancer) queryAllowance(pool string, number int) QueryAllowance {
	if b.opts.QueryAllowance == nil {
		return QueryAllowance{Share: 1}
	}
	return b.opts.QueryAllowance(pool, number)
}

// queryRate returns how many load queries a second this host may send to the
// targets of a partition.
func (b *Balancer) queryRate(pool string, number, targets int) float64 {
	return *b.queriesPerTarget.Load() * float64(targets) * b.queryAllowance(pool, number).Share
}

// updateBudget sets the load queries that this host may send to the targets of a
// partition. The caller holds the partition's lock.
func (b *Balancer) updateBudget(now time.Time, p *partition) {
	p.budgetSetAt = now
	p.budget.setRate(b.queryRate(p.pool, p.number, p.servingLocked()))
	p.budget.perRequest = 0
	if p.extended.Load() {
		p.budget.perRequest = b.queryAllowance(p.pool, p.number).PerRequest
	}
}

// drawTargets picks the targets to consider for a request: a few, or all that
// may be chosen when the targets are not queried.
func (b *Balancer) drawTargets(p *partition, q lb.PlaceQuery) []*target {
	now := b.opts.Clock.Now()
	n := b.opts.TargetsQueried
	if _, skip := p.queryPath(); skip {
		n = p.servingCount()
	}
	return p.candidates(now, n, drawnFromDomain(n, q), q.FailureDomain, barred(q))
}

// refreshReports queries the candidates whose reports are not fresh, as far as
// the budget allows. It returns those with a fresh report or a response in time,
// or all candidates when there are none or the targets are not queried. Targets
// with a rate limit are never queried: a query is a request too.
func (b *Balancer) refreshReports(ctx context.Context, p *partition, candidates []*target) []*target {
	path, skip := p.queryPath()
	if skip {
		return candidates
	}
	queried, limited := p.splitByRateLimit(candidates)
	return append(b.refreshQueried(ctx, p, queried, path), limited...)
}

// refreshQueried is refreshReports for targets without a rate limit.
func (b *Balancer) refreshQueried(ctx context.Context, p *partition, candidates []*target, path string) []*target {
	now := b.opts.Clock.Now()
	fresh, stale := p.splitByFreshness(now, candidates)
	stale = stale[:b.takeQueries(now, p, len(stale))]
	if len(stale) == 0 {
		return lo.Ternary(len(fresh) > 0, fresh, candidates)
	}
	// A query outlives the wait for it: its report may serve other requests.
	queryCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), queryTimeout)
	results := make(chan *target, len(stale))
	var queries sync.WaitGroup
	for _, t := range stale {
		queries.Go(func() { results <- b.queryLoad(queryCtx, p, t, path) })
	}
	go func() { queries.Wait(); cancel() }()
	waitTimer := b.opts.Clock.NewTimer(reportWait)
	defer waitTimer.Stop()
	for range stale {
		select {
		case t := <-results:
			if t != nil {
				fresh = append(fresh, t)
			}
		case <-waitTimer.Chan():
			return lo.Ternary(len(fresh) > 0, fresh, candidates)
		case <-ctx.Done():
			return lo.Ternary(len(fresh) > 0, fresh, candidates)
		}
	}
	return lo.Ternary(len(fresh) > 0, fresh, candidates)
}

// takeQueries returns how many of the wanted queries the budget allows.
func (b *Balancer) takeQueries(now time.Time, p *partition, wanted int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.budgetSetAt) >= budgetRateInterval {
		b.updateBudget(now, p)
	}
	return p.budget.take(now, wanted)
}

// budgetRateInterval is the time between two updates of the budget's rate from
// this host's share.
const budgetRateInterval = 500 * time.Millisecond

// queryTimeout bounds one load query; its connection is closed then.
const queryTimeout = 250 * time.Millisecond

// queryLoad queries one target; it returns nil when the target may not be
// chosen.
func (b *Balancer) queryLoad(ctx context.Context, p *partition, t *target, path string) *target {
	r, err := b.opts.LoadQuerier.QueryLoad(ctx, t.Target, path)
	b.metrics.countQuery(err)
	switch {
	case errors.Is(err, ErrNoLoadReport):
		p.countMissingReport()
		return t
	case err != nil:
		return nil
	}
	p.recordReport(b.opts.Clock.Now(), t, r)
	return t
}

// recordReport stores a load report.
func (p *partition) recordReport(now time.Time, t *target, r load.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasReported = true
	t.setReport(now, r)
}

// splitByFreshness separates targets whose last report may be reused from those
// that have to be queried.
func (p *partition) splitByFreshness(now time.Time, targets []*target) (fresh, stale []*target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.FilterReject(targets, func(t *target, _ int) bool {
		return !t.reportAt.IsZero() && now.Sub(t.reportAt) <= maxReuseAge
	})
}

// queryPath returns the path of load queries; skip is true when the targets
// can't be queried or report no load.
func (p *partition) queryPath() (path string, skip bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healthPath, p.healthPath == "" || !p.hasReported && p.missingReports >= maxMissingReports
}

// maxMissingReports is the number of responses without a report after which the
// targets of a partition count as reporting no load.
const maxMissingReports = 8

// countMissingReport counts a response without a report.
func (p *partition) countMissingReport() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.missingReports++
}
