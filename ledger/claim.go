package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/ports"
)

// Claim writes a claim for the key before dispatch. It waits no longer than
// Options.ClaimTimeout.
func (l *Ledger) Claim(ctx context.Context, k ports.OrderKey) ports.Claim {
	start := l.opt.Clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, l.opt.Clock, l.opt.ClaimTimeout)
	defer cancel()
	c := l.claim(ctx, k)
	l.metrics.claimed(c.State, l.opt.Clock.Since(start))
	return c
}

func (l *Ledger) claim(ctx context.Context, k ports.OrderKey) ports.Claim {
	id := idOf(k)
	for {
		if wait, open := l.breaker.isOpen(l.opt.Clock.Now()); open || l.Pending() >= l.opt.PendingLimit {
			return refused(wait)
		}
		a := l.book.admit(id, k.Fingerprint, l.writer())
		switch {
		case a.entry != nil:
			return l.acquire(ctx, a.entry)
		case a.wait == nil:
			return a.answer
		}
		select {
		case <-a.wait:
		case <-ctx.Done():
			return refused(0)
		}
	}
}

// attempt is one claim on its way, shared by the waiting request and the lane.
type attempt struct {
	mu        sync.Mutex
	abandoned bool
	results   chan result
	// late takes the result when the request no longer waits.
	late func(result)
}

// deliver hands over the result.
func (a *attempt) deliver(r result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandoned {
		a.late(r)
		return
	}
	a.results <- r
}

// await returns the result, or false when the context ended first; late then
// takes it.
func (a *attempt) await(ctx context.Context) (result, bool) {
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

// acquire writes the claim of a new entry until it is decided. A key that was
// released is claimed over the row that says so.
func (l *Ledger) acquire(ctx context.Context, e *entry) ports.Claim {
	const steps = 4
	var over *cloud.Row
	for range steps {
		revision := uint64(1)
		if over != nil {
			revision = over.Revision + 1
		}
		r, ok := l.write(ctx, e, over, revision)
		if !ok {
			// The lane still works on it; late withdraws the claim.
			return refused(0)
		}
		switch r.kind {
		case applied:
			l.book.hold(e, revision)
			return ports.Claim{State: ports.ClaimGranted, Token: e.writer}
		case notApplied:
			l.book.remove(e)
			wait, _ := l.breaker.isOpen(l.opt.Clock.Now())
			return refused(wait)
		case undecided:
			l.withdraw(e)
			return refused(0)
		case unreadable:
			return l.unreadable(e)
		}
		found, answer := judge(r.found, e.writer, e.fingerprint, l.opt.Clock.Now())
		switch found {
		case findOurs:
			l.book.hold(e, r.found.Revision)
			return ports.Claim{State: ports.ClaimGranted, Token: e.writer}
		case findFree:
			over = r.found
			continue
		case findBad:
			return l.unreadable(e)
		}
		l.book.remove(e)
		return answer
	}
	l.book.remove(e)
	return refused(0)
}

// unreadable refuses a claim whose key has a row that can't be understood.
func (l *Ledger) unreadable(e *entry) ports.Claim {
	l.metrics.badRows.Inc()
	l.book.remove(e)
	return refused(0)
}

// write sends the claim over a row, or where none stands, and waits.
func (l *Ledger) write(ctx context.Context, e *entry, over *cloud.Row, revision uint64) (result, bool) {
	now := l.opt.Clock.Now()
	body := record{State: stateClaimed, Fingerprint: e.fingerprint, Host: l.opt.Host}
	row, err := encodeRow(e.id, body, revision, e.writer, now.Add(l.opt.Retention))
	if err != nil {
		return result{kind: notApplied}, true
	}
	w := cloud.Write{Row: row, IfAbsent: over == nil}
	e.base = 0
	if over != nil {
		w.IfRevision, e.base = over.Revision, over.Revision
	}
	a := &attempt{results: make(chan result, 1)}
	a.late = func(r result) { l.late(e, r) }
	l.claims.add(false, &op{write: w, deadline: l.deadline(ctx, now), done: a.deliver})
	return a.await(ctx)
}

func (l *Ledger) deadline(ctx context.Context, now time.Time) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return now.Add(l.opt.ClaimTimeout)
}

// late handles the result of a claim whose request no longer waits and so was
// not dispatched.
func (l *Ledger) late(e *entry, r result) {
	ours := r.kind == conflicted && r.found != nil && r.found.Writer == e.writer
	if r.kind == applied || r.kind == undecided || ours {
		l.withdraw(e)
		return
	}
	l.book.remove(e)
}
