package placement

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// SetQuestions changes the bound of questions a second to one target, all hosts
// together; 0 selects DefaultQuestions.
func (b *Balancer) SetQuestions(perSecond float64) {
	if perSecond <= 0 {
		perSecond = DefaultQuestions
	}
	b.questions.Store(&perSecond)
}

// questionRate is this host's part of the questions a second that the targets
// of a pool may be asked.
func (b *Balancer) questionRate(pool string, part, targets int) float64 {
	share := 1.0
	if b.opts.Share != nil {
		share = b.opts.Share(pool, part)
	}
	return *b.questions.Load() * float64(targets) * share
}

// draw returns the targets to ask for a request.
func (b *Balancer) draw(p *pool, domain string, exclude []netip.AddrPort) []*target {
	now := b.opts.Clock.Now()
	n := b.opts.Asked
	if _, silent := p.asks(); silent {
		n = p.size()
	}
	return p.candidates(now, n, domain, exclude)
}

// ask returns the targets whose reports are fresh after asking the others, or
// all of them when none answers in time or asking would exceed the budget.
func (b *Balancer) ask(ctx context.Context, p *pool, among []*target) []*target {
	path, silent := p.asks()
	if silent {
		return among
	}
	now := b.opts.Clock.Now()
	fresh, old := p.split(now, among)
	old = old[:b.allowed(now, p, len(old))]
	if len(old) == 0 {
		return lo.Ternary(len(fresh) > 0, fresh, among)
	}
	// A question outlives the wait for it: its answer may serve others.
	askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), questionTimeout)
	answers := make(chan *target, len(old))
	var all sync.WaitGroup
	for _, t := range old {
		all.Go(func() { answers <- b.question(askCtx, p, t, path) })
	}
	go func() { all.Wait(); cancel() }()
	late := b.opts.Clock.NewTimer(askTimeout)
	defer late.Stop()
	for range old {
		select {
		case t := <-answers:
			if t != nil {
				fresh = append(fresh, t)
			}
		case <-late.Chan():
			return lo.Ternary(len(fresh) > 0, fresh, among)
		case <-ctx.Done():
			return lo.Ternary(len(fresh) > 0, fresh, among)
		}
	}
	return lo.Ternary(len(fresh) > 0, fresh, among)
}

// allowed returns how many of the wanted questions the budget has room for.
func (b *Balancer) allowed(now time.Time, p *pool, wanted int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.rated) >= rateEvery {
		p.rated = now
		p.budget.set(b.questionRate(p.name, p.part, len(p.targets)))
	}
	return p.budget.take(now, wanted)
}

// rateEvery is the time between two looks at this host's share of questions.
const rateEvery = 500 * time.Millisecond

// questionTimeout bounds one question; its connection is closed then.
const questionTimeout = 250 * time.Millisecond

// question asks one target; it returns nil when the target may not be chosen.
func (b *Balancer) question(ctx context.Context, p *pool, t *target, path string) *target {
	r, err := b.opts.Asker.Ask(ctx, t.Target, path)
	b.metrics.asked(err)
	switch {
	case errors.Is(err, ErrSilent):
		p.noteSilent()
		return t
	case err != nil:
		return nil
	}
	p.take(b.opts.Clock.Now(), t, r)
	return t
}
