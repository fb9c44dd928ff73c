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

// resultKind says how a write ended.
type resultKind uint8

const (
	// applied: the write took effect.
	applied resultKind = iota + 1
	// conflicted: the condition failed; found stands there.
	conflicted
	// notApplied: the write certainly has not taken effect and will not.
	notApplied
	// undecided: the write may have taken effect or may yet.
	undecided
	// unreadable: the condition failed on a row that can't be decoded.
	unreadable
)

type result struct {
	kind  resultKind
	found *cloud.Row
}

// op is one conditional write on its way.
type op struct {
	write cloud.Write
	// deadline ends the attempts; zero keeps trying.
	deadline time.Time
	// done takes the result once.
	done func(result)
	// attempts counts the failed calls.
	attempts int
	// uncertain is true once an attempt went unacknowledged.
	uncertain bool
}

// lane commits the writes of many orders in shared transactions.
type lane struct {
	name        string
	table       cloud.Table
	clock       clockwork.Clock
	callTimeout time.Duration
	pause       time.Duration
	limiter     *rate.Limiter
	breaker     *breaker
	metrics     *metrics
	onBreaker   func()

	mu    sync.Mutex
	queue []*op
	wake  chan struct{}
}

// add queues ops; front puts them before the others.
func (l *lane) add(front bool, ops ...*op) {
	l.mu.Lock()
	if front {
		l.queue = append(append(make([]*op, 0, len(ops)+len(l.queue)), ops...), l.queue...)
	} else {
		l.queue = append(l.queue, ops...)
	}
	l.mu.Unlock()
	l.signal()
}

func (l *lane) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *lane) length() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// run commits batches until the context ends.
func (l *lane) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for l.length() > 0 && ctx.Err() == nil {
			if !l.admit(ctx) {
				break
			}
			l.commit(ctx, l.take())
		}
	}
}

// admit waits for the call rate. While the breaker is open it ends what can
// be ended and returns false.
func (l *lane) admit(ctx context.Context) bool {
	now := l.clock.Now()
	if _, open := l.breaker.isOpen(now); open {
		l.giveUp(now, true)
		return false
	}
	if wait := l.limiter.ReserveN(now, 1).DelayFrom(now); wait > 0 {
		l.sleep(ctx, wait)
	}
	l.giveUp(l.clock.Now(), false)
	return true
}

func (l *lane) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-l.clock.After(d):
	}
}

// giveUp ends the queued ops whose deadline has passed, or all that have a
// deadline.
func (l *lane) giveUp(now time.Time, all bool) {
	l.mu.Lock()
	var keep, ended []*op
	for _, o := range l.queue {
		if !o.deadline.IsZero() && (all || !now.Before(o.deadline)) {
			ended = append(ended, o)
		} else {
			keep = append(keep, o)
		}
	}
	l.queue = keep
	l.mu.Unlock()
	for _, o := range ended {
		o.end()
	}
}

// end gives an op its final result without another attempt.
func (o *op) end() {
	if o.uncertain {
		o.done(result{kind: undecided})
		return
	}
	o.done(result{kind: notApplied})
}

// take removes the next batch, of distinct keys.
func (l *lane) take() []*op {
	l.mu.Lock()
	defer l.mu.Unlock()
	var batch, keep []*op
	seen := map[cloud.Key]bool{}
	for _, o := range l.queue {
		if len(batch) == cloud.MaxTransactWrites || seen[o.write.Row.Key] {
			keep = append(keep, o)
			continue
		}
		seen[o.write.Row.Key] = true
		batch = append(batch, o)
	}
	l.queue = keep
	return batch
}

// commit sends a batch and gives each op its result or another attempt.
func (l *lane) commit(ctx context.Context, batch []*op) {
	if len(batch) == 0 {
		return
	}
	err := l.send(ctx, batch)
	var conflict *cloud.ConditionError
	switch {
	case err == nil:
		l.report(true, len(batch))
		for _, o := range batch {
			o.done(result{kind: applied})
		}
	case errors.As(err, &conflict):
		l.report(true, len(batch))
		l.resolve(ctx, batch, conflict)
	case errors.Is(err, cloud.ErrConditionFailed):
		l.report(true, len(batch))
		l.isolate(ctx, batch)
	default:
		l.report(false, len(batch))
		l.failed(ctx, batch, errors.Is(err, cloud.ErrUnavailable))
	}
}

func (l *lane) send(ctx context.Context, batch []*op) error {
	ctx, cancel := clockwork.WithTimeout(ctx, l.clock, l.callTimeout)
	defer cancel()
	if len(batch) == 1 {
		return l.table.Write(ctx, batch[0].write)
	}
	writes := make([]cloud.Write, 0, len(batch))
	for _, o := range batch {
		writes = append(writes, o.write)
	}
	return l.table.Transact(ctx, writes)
}

// resolve ends the ops that stood in the way of a transaction and sends the
// others again.
func (l *lane) resolve(ctx context.Context, batch []*op, conflict *cloud.ConditionError) {
	var again []*op
	for i, o := range batch {
		if found, failed := conflict.Failed[i]; failed {
			o.done(result{kind: conflicted, found: found})
			continue
		}
		again = append(again, o)
	}
	if len(again) == len(batch) {
		l.failed(ctx, batch, true)
		return
	}
	l.add(true, again...)
}

// isolate sends the ops of a batch one by one, to find the row that can't be
// decoded.
func (l *lane) isolate(ctx context.Context, batch []*op) {
	if len(batch) == 1 {
		batch[0].done(result{kind: unreadable})
		return
	}
	for _, o := range batch {
		l.commit(ctx, []*op{o})
	}
}

// failed handles a call without an answer that says what became of it.
func (l *lane) failed(ctx context.Context, batch []*op, unavailable bool) {
	const attempts = 2
	now := l.clock.Now()
	var again []*op
	for _, o := range batch {
		o.attempts++
		o.uncertain = o.uncertain || !unavailable
		retry := o.deadline.IsZero() || (now.Before(o.deadline) && (o.uncertain || o.attempts < attempts))
		if !retry {
			o.end()
			continue
		}
		again = append(again, o)
	}
	if len(again) > 0 {
		l.sleep(ctx, l.pause)
		l.add(true, again...)
	}
}

func (l *lane) report(ok bool, items int) {
	l.metrics.call(l.name, ok, items)
	if l.breaker.report(l.clock.Now(), ok) {
		l.onBreaker()
	}
}
