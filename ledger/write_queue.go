package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/chestnutfield/chestnutfield/cloud"
)

// resultKind is how a write ended.
type resultKind uint8

const (
	// applied: the write took effect.
	applied resultKind = iota + 1
	// conflicted: the condition failed; result.found is the existing row, if
	// any.
	conflicted
	// notApplied: the write has not taken effect and never will.
	notApplied
	// undecided: the write may have taken effect or may still do so.
	undecided
	// unreadable: the condition failed on an existing row that can't be decoded.
	unreadable
)

type result struct {
	kind  resultKind
	found *cloud.Row
}

// op is one queued conditional write.
type op struct {
	write cloud.Write
	// deadline is the time after which the write is no longer attempted; zero
	// means no deadline.
	deadline time.Time
	// done is called exactly once, with the result.
	done func(result)
	// attempts counts the failed calls.
	attempts int
	// uncertain is true once an attempt may have taken effect without an
	// acknowledgement.
	uncertain bool
}

// writeQueue commits the writes of many orders in shared transactions (group
// commit). Its name is the value of the metric label "lane".
type writeQueue struct {
	name            string
	table           cloud.Table
	clock           clockwork.Clock
	callTimeout     time.Duration
	retryDelay      time.Duration
	limiter         *rate.Limiter
	breaker         *breaker
	metrics         *metrics
	onBreakerChange func()

	mu   sync.Mutex
	ops  []*op
	wake chan struct{}
}

// enqueue queues ops, ahead of the others when front is true.
func (q *writeQueue) enqueue(front bool, ops ...*op) {
	q.mu.Lock()
	if front {
		q.ops = append(append(make([]*op, 0, len(ops)+len(q.ops)), ops...), q.ops...)
	} else {
		q.ops = append(q.ops, ops...)
	}
	q.mu.Unlock()
	q.signal()
}

func (q *writeQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *writeQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.ops)
}

// run commits batches until ctx ends.
func (q *writeQueue) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for q.length() > 0 && ctx.Err() == nil {
			if !q.awaitTurn(ctx) {
				break
			}
			q.commit(ctx, q.nextBatch())
		}
	}
}

// awaitTurn waits until the rate limiter allows a call. While the breaker is
// open it finishes the ops that have a deadline and returns false.
func (q *writeQueue) awaitTurn(ctx context.Context) bool {
	now := q.clock.Now()
	if _, open := q.breaker.isOpen(now); open {
		q.expire(now, true)
		return false
	}
	if wait := q.limiter.ReserveN(now, 1).DelayFrom(now); wait > 0 {
		q.sleep(ctx, wait)
	}
	q.expire(q.clock.Now(), false)
	return true
}

func (q *writeQueue) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-q.clock.After(d):
	}
}

// expire finishes the queued ops whose deadline has passed, or with all those
// that have any deadline.
func (q *writeQueue) expire(now time.Time, all bool) {
	q.mu.Lock()
	var keep, ended []*op
	for _, o := range q.ops {
		if !o.deadline.IsZero() && (all || !now.Before(o.deadline)) {
			ended = append(ended, o)
		} else {
			keep = append(keep, o)
		}
	}
	q.ops = keep
	q.mu.Unlock()
	for _, o := range ended {
		o.finish()
	}
}

// finish gives an op its result without another attempt: undecided when an
// attempt may have taken effect, notApplied otherwise.
func (o *op) finish() {
	if o.uncertain {
		o.done(result{kind: undecided})
		return
	}
	o.done(result{kind: notApplied})
}

// nextBatch removes and returns the next batch, which has at most one op per
// key and cloud.MaxTransactWrites ops.
func (q *writeQueue) nextBatch() []*op {
	q.mu.Lock()
	defer q.mu.Unlock()
	var batch, keep []*op
	seen := map[cloud.Key]bool{}
	for _, o := range q.ops {
		if len(batch) == cloud.MaxTransactWrites || seen[o.write.Row.Key] {
			keep = append(keep, o)
			continue
		}
		seen[o.write.Row.Key] = true
		batch = append(batch, o)
	}
	q.ops = keep
	return batch
}

// commit sends a batch and gives each op its result or queues it again.
func (q *writeQueue) commit(ctx context.Context, batch []*op) {
	if len(batch) == 0 {
		return
	}
	err := q.send(ctx, batch)
	var conflict *cloud.ConditionError
	switch {
	case err == nil:
		q.report(true, len(batch))
		for _, o := range batch {
			o.done(result{kind: applied})
		}
	case errors.As(err, &conflict):
		q.report(true, len(batch))
		q.handleConflicts(ctx, batch, conflict)
	case errors.Is(err, cloud.ErrConditionFailed):
		q.report(true, len(batch))
		q.isolateUnreadable(ctx, batch)
	default:
		q.report(false, len(batch))
		q.handleFailure(ctx, batch, errors.Is(err, cloud.ErrUnavailable))
	}
}

func (q *writeQueue) send(ctx context.Context, batch []*op) error {
	ctx, cancel := clockwork.WithTimeout(ctx, q.clock, q.callTimeout)
	defer cancel()
	if len(batch) == 1 {
		return q.table.Write(ctx, batch[0].write)
	}
	writes := make([]cloud.Write, 0, len(batch))
	for _, o := range batch {
		writes = append(writes, o.write)
	}
	return q.table.Transact(ctx, writes)
}

// handleConflicts finishes the ops whose condition failed in a transaction and
// queues the others again.
func (q *writeQueue) handleConflicts(ctx context.Context, batch []*op, conflict *cloud.ConditionError) {
	var retries []*op
	for i, o := range batch {
		if found, failed := conflict.Failed[i]; failed {
			o.done(result{kind: conflicted, found: found})
			continue
		}
		retries = append(retries, o)
	}
	if len(retries) == len(batch) {
		q.handleFailure(ctx, batch, true)
		return
	}
	q.enqueue(true, retries...)
}

// isolateUnreadable sends the ops of a batch one by one, to find the one whose
// existing row can't be decoded.
func (q *writeQueue) isolateUnreadable(ctx context.Context, batch []*op) {
	if len(batch) == 1 {
		batch[0].done(result{kind: unreadable})
		return
	}
	for _, o := range batch {
		q.commit(ctx, []*op{o})
	}
}

// handleFailure handles a call that failed without telling whether its writes
// took effect: each op is finished or queued again. unavailable is true when
// the call certainly had no effect.
func (q *writeQueue) handleFailure(ctx context.Context, batch []*op, unavailable bool) {
	const maxAttempts = 2
	now := q.clock.Now()
	var retries []*op
	for _, o := range batch {
		o.attempts++
		o.uncertain = o.uncertain || !unavailable
		retry := o.deadline.IsZero() || (now.Before(o.deadline) && (o.uncertain || o.attempts < maxAttempts))
		if !retry {
			o.finish()
			continue
		}
		retries = append(retries, o)
	}
	if len(retries) > 0 {
		q.sleep(ctx, q.retryDelay)
		q.enqueue(true, retries...)
	}
}

func (q *writeQueue) report(ok bool, items int) {
	q.metrics.call(q.name, ok, items)
	if q.breaker.report(q.clock.Now(), ok) {
		q.onBreakerChange()
	}
}
