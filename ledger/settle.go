package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
)

// maxRowBytes bounds a row with its answer, so that 100 of them fit in one
// transaction of 4 MB.
const maxRowBytes = 32 << 10

// Settle records the end of a granted claim. It returns at once; the end is
// recorded as soon as the table service takes it, and this host answers by it
// until then. A token that does not hold the key is counted and ignored.
func (l *Ledger) Settle(_ context.Context, k ports.OrderKey, token string, o outcome.Outcome, a *ports.RecordedAnswer) {
	if a != nil && len(a.Body) > l.opt.AnswerBytes {
		a = nil
	}
	if a != nil && l.pendingBytes.Load()+int64(len(a.Body)) > int64(l.opt.PendingAnswerBytes) {
		l.metrics.answersDropped.Inc()
		a = nil
	}
	end := recordOf(l.opt.Host, k.Fingerprint, o, a)
	e, ok := l.book.finish(idOf(k), token, end)
	if !ok {
		l.metrics.strayTokens.Inc()
		return
	}
	size := 0
	if end.Answer != nil {
		size = len(end.Answer.Body)
	}
	l.pending.Add(1)
	l.pendingBytes.Add(int64(size))
	l.record(e, end, e.revision, func() {
		l.pending.Add(-1)
		l.pendingBytes.Add(-int64(size))
	})
}

// record replaces the claim of revision by its end.
func (l *Ledger) record(e *entry, end record, revision uint64, recorded func()) {
	writer := l.writer()
	row, err := encodeRow(e.id, end, revision+1, writer, l.opt.Clock.Now().Add(l.retention(end)))
	if err != nil || len(row.Body) > maxRowBytes {
		l.metrics.answersDropped.Inc()
		end.Answer = nil
		row, _ = encodeRow(e.id, end, revision+1, writer, l.opt.Clock.Now().Add(l.retention(end)))
	}
	l.outcomes.add(false, &op{
		write: cloud.Write{Row: row, IfRevision: revision},
		done: func(r result) {
			ours := r.kind == conflicted && r.found != nil && r.found.Writer == writer
			if r.kind != applied && !ours {
				l.metrics.claimsLost.Inc()
			}
			recorded()
			l.book.remove(e)
		},
	})
}

func (l *Ledger) retention(r record) time.Duration {
	const released = time.Hour
	if r.State == stateReleased {
		return min(released, l.opt.Retention)
	}
	return l.opt.Retention
}

// withdraw releases what may have been claimed for a request that was never
// dispatched. A released row is written where none stands, so that a claim
// that is still on its way can't take effect after it.
func (l *Ledger) withdraw(e *entry) {
	l.book.withdraw(e)
	l.pending.Add(1)
	l.metrics.withdrawn.Inc()
	l.release(e, nil)
}

// release writes the released row over a row of the claim, or where none
// stands.
func (l *Ledger) release(e *entry, over *cloud.Row) {
	writer := l.writer()
	body := record{State: stateReleased, Host: l.opt.Host}
	revision := uint64(1)
	w := cloud.Write{IfAbsent: true}
	if over != nil {
		revision = over.Revision + 1
		w = cloud.Write{IfRevision: over.Revision}
	}
	w.Row, _ = encodeRow(e.id, body, revision, writer, l.opt.Clock.Now().Add(l.retention(body)))
	l.outcomes.add(false, &op{write: w, done: func(r result) {
		if r.kind == conflicted && l.mayStillClaim(e, r.found) {
			l.release(e, r.found)
			return
		}
		l.pending.Add(-1)
		l.book.remove(e)
	}})
}

// mayStillClaim reports whether the row found is the claim of the entry, or one
// that its claim may yet be written over.
func (l *Ledger) mayStillClaim(e *entry, found *cloud.Row) bool {
	if found == nil || found.Writer == e.writer {
		return true
	}
	return e.base != 0 && found.Revision == e.base
}

// Flush waits until every end is recorded or the context ends.
func (l *Ledger) Flush(ctx context.Context) error {
	const interval = 20 * time.Millisecond
	for l.Pending() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d orders not recorded", l.Pending())
		case <-l.opt.Clock.After(interval):
		}
	}
	return nil
}
