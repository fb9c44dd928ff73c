package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/lb"
)

// Claim writes a claim for the key before the order is dispatched. It waits at
// most Options.ClaimTimeout and reports failures in the State of its result.
func (l *Ledger) Claim(ctx context.Context, k lb.OrderKey) lb.Claim {
	start := l.opt.Clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, l.opt.Clock, l.opt.ClaimTimeout)
	defer cancel()
	c := l.claim(ctx, k)
	l.metrics.claimed(c.State, l.opt.Clock.Since(start))
	return c
}

func (l *Ledger) claim(ctx context.Context, k lb.OrderKey) lb.Claim {
	id := idOf(k)
	for {
		if wait, open := l.breaker.isOpen(l.opt.Clock.Now()); open || l.Pending() >= l.opt.MaxPendingOrders {
			return unavailableClaim(wait)
		}
		a := l.active.start(id, k.Fingerprint, l.newWriter())
		switch {
		case a.entry != nil:
			return l.acquire(ctx, a.entry)
		case a.removed == nil:
			return a.claim
		}
		select {
		case <-a.removed:
		case <-ctx.Done():
			return unavailableClaim(0)
		}
	}
}

// claimAttempt is one write of a claim, shared by the waiting request and the
// write queue.
type claimAttempt struct {
	mu        sync.Mutex
	abandoned bool
	results   chan result
	// onAbandoned receives the result when the request no longer waits.
	onAbandoned func(result)
}

// deliver passes the result to the waiting request or to onAbandoned.
func (a *claimAttempt) deliver(r result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandoned {
		a.onAbandoned(r)
		return
	}
	a.results <- r
}

// await returns the result, or false when ctx ended first; onAbandoned then
// receives the result.
func (a *claimAttempt) await(ctx context.Context) (result, bool) {
	select {
	case r := <-a.results:
		return r, true
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case r := <-a.results:
		return r, true
	default:
		a.abandoned = true
		return result{}, false
	}
}

// acquire writes the claim of a new entry until it is granted or refused. The
// claim replaces a row that is released or has expired.
func (l *Ledger) acquire(ctx context.Context, e *entry) lb.Claim {
	const maxWrites = 4
	var replaced *cloud.Row
	for range maxWrites {
		revision := uint64(1)
		if replaced != nil {
			revision = replaced.Revision + 1
		}
		r, ok := l.writeClaim(ctx, e, replaced, revision)
		if !ok {
			// The write is still queued or in progress; handleAbandoned
			// withdraws the claim.
			return unavailableClaim(0)
		}
		switch r.kind {
		case applied:
			l.active.markHeld(e, revision)
			return lb.Claim{State: lb.ClaimGranted, Token: e.writer}
		case notApplied:
			l.active.remove(e)
			wait, _ := l.breaker.isOpen(l.opt.Clock.Now())
			return unavailableClaim(wait)
		case undecided:
			l.withdraw(e)
			return unavailableClaim(0)
		case unreadable:
			return l.unreadable(e)
		}
		meaning, claim := classifyRow(r.found, e.writer, e.fingerprint, l.opt.Clock.Now())
		switch meaning {
		case rowOwn:
			l.active.markHeld(e, r.found.Revision)
			return lb.Claim{State: lb.ClaimGranted, Token: e.writer}
		case rowReplaceable:
			replaced = r.found
			continue
		case rowUnreadable:
			return l.unreadable(e)
		}
		l.active.remove(e)
		return claim
	}
	l.active.remove(e)
	return unavailableClaim(0)
}

// unreadable refuses a claim whose key has a row that can't be decoded.
func (l *Ledger) unreadable(e *entry) lb.Claim {
	l.metrics.badRows.Inc()
	l.active.remove(e)
	return unavailableClaim(0)
}

// writeClaim writes the claim in place of the row replaced, or on the
// condition that no row exists when replaced is nil, and waits for the result. It
// returns false when ctx ended first.
func (l *Ledger) writeClaim(ctx context.Context, e *entry, replaced *cloud.Row, revision uint64) (result, bool) {
	now := l.opt.Clock.Now()
	body := record{State: stateClaimed, Fingerprint: e.fingerprint, Host: l.opt.Host}
	row, err := encodeRow(e.id, body, revision, e.writer, now.Add(l.opt.Retention))
	if err != nil {
		return result{kind: notApplied}, true
	}
	w := cloud.Write{Row: row, IfAbsent: replaced == nil}
	e.replacedRevision = 0
	if replaced != nil {
		w.IfRevision, e.replacedRevision = replaced.Revision, replaced.Revision
	}
	a := &claimAttempt{results: make(chan result, 1)}
	a.onAbandoned = func(r result) { l.handleAbandoned(e, r) }
	l.claims.enqueue(false, &op{write: w, deadline: l.deadline(ctx, now), done: a.deliver})
	return a.await(ctx)
}

func (l *Ledger) deadline(ctx context.Context, now time.Time) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return now.Add(l.opt.ClaimTimeout)
}

// handleAbandoned handles the result of a claim whose request stopped waiting
// and so was not dispatched.
func (l *Ledger) handleAbandoned(e *entry, r result) {
	ours := r.kind == conflicted && r.found != nil && r.found.Writer == e.writer
	if r.kind == applied || r.kind == undecided || ours {
		l.withdraw(e)
		return
	}
	l.active.remove(e)
}
