package ledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// maxRowBytes is the maximum size of a row body with its response, so that 100
// rows fit in one transaction of 4 MB.
const maxRowBytes = 32 << 10

// RecordOutcome records the outcome of a granted claim, with the response to
// store if any. It returns at once; until the table service has accepted the
// outcome, this host answers claims of the key from memory. A token that does
// not hold the key is counted in a metric and ignored.
func (l *Ledger) RecordOutcome(_ context.Context, k lb.OrderKey, token string, o outcome.Outcome, response *lb.RecordedResponse) {
	if response != nil && len(response.Body) > l.opt.MaxResponseBytes {
		response = nil
	}
	if response != nil && l.pendingBytes.Load()+int64(len(response.Body)) > int64(l.opt.MaxPendingResponseBytes) {
		l.metrics.responsesDropped.Inc()
		response = nil
	}
	rec := recordOf(l.opt.Host, k.Fingerprint, o, response)
	e, ok := l.active.markRecording(idOf(k), token, rec)
	if !ok {
		l.metrics.strayTokens.Inc()
		return
	}
	size := 0
	if rec.Response != nil {
		size = len(rec.Response.Body)
	}
	l.pending.Add(1)
	l.pendingBytes.Add(int64(size))
	l.writeOutcome(e, rec, e.revision, func() {
		l.pending.Add(-1)
		l.pendingBytes.Add(-int64(size))
	})
}

// writeOutcome replaces the claim at revision by rec, without the response when
// the row would be too large, and then calls recorded.
func (l *Ledger) writeOutcome(e *entry, rec record, revision uint64, recorded func()) {
	writer := l.newWriter()
	row, err := encodeRow(e.id, rec, revision+1, writer, l.opt.Clock.Now().Add(l.retention(rec)))
	if err != nil || len(row.Body) > maxRowBytes {
		l.metrics.responsesDropped.Inc()
		rec.Response = nil
		row, _ = encodeRow(e.id, rec, revision+1, writer, l.opt.Clock.Now().Add(l.retention(rec)))
	}
	l.outcomes.enqueue(false, &op{
		write: cloud.Write{Row: row, IfRevision: revision},
		done: func(r result) {
			ours := r.kind == conflicted && r.found != nil && r.found.Writer == writer
			if r.kind != applied && !ours {
				l.metrics.claimsLost.Inc()
			}
			recorded()
			l.active.remove(e)
		},
	})
}

func (l *Ledger) retention(r record) time.Duration {
	const releasedRetention = time.Hour
	if r.State == stateReleased {
		return min(releasedRetention, l.opt.Retention)
	}
	return l.opt.Retention
}

// withdraw releases a claim that may have been written for a request that was
// never dispatched. A released row is written even where no row exists, so that
// a delayed write of the claim can't take effect later.
func (l *Ledger) withdraw(e *entry) {
	l.active.markWithdrawing(e)
	l.pending.Add(1)
	l.metrics.withdrawn.Inc()
	l.writeReleased(e, nil)
}

// writeReleased writes the released row in place of the row replaced, or on
// the condition that no row exists when replaced is nil.
func (l *Ledger) writeReleased(e *entry, replaced *cloud.Row) {
	writer := l.newWriter()
	body := record{State: stateReleased, Host: l.opt.Host}
	revision := uint64(1)
	w := cloud.Write{IfAbsent: true}
	if replaced != nil {
		revision = replaced.Revision + 1
		w = cloud.Write{IfRevision: replaced.Revision}
	}
	w.Row, _ = encodeRow(e.id, body, revision, writer, l.opt.Clock.Now().Add(l.retention(body)))
	l.outcomes.enqueue(false, &op{write: w, done: func(r result) {
		if r.kind == conflicted && l.mayStillClaim(e, r.found) {
			l.writeReleased(e, r.found)
			return
		}
		l.pending.Add(-1)
		l.active.remove(e)
	}})
}

// mayStillClaim reports whether the row found is the claim of the entry, or a
// row that a delayed write of the claim may still replace.
func (l *Ledger) mayStillClaim(e *entry, found *cloud.Row) bool {
	if found == nil || found.Writer == e.writer {
		return true
	}
	return e.replacedRevision != 0 && found.Revision == e.replacedRevision
}

// Flush waits until every outcome is recorded. It returns an error when ctx ends
// first.
func (l *Ledger) Flush(ctx context.Context) error {
	const interval = 20 * time.Millisecond
	for l.Pending() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "order ledger: outcomes of %d orders not yet recorded", l.Pending())
		case <-l.opt.Clock.After(interval):
		}
	}
	return nil
}
