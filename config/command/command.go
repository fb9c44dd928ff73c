package command

import (
	"cmp"
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config/query"
	"github.com/chestnutfield/chestnutfield/config/rows"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// DefaultTimeout bounds a command, retries included.
	DefaultTimeout = 8 * time.Second
	// DefaultBackoff is the wait before the second attempt; it doubles.
	DefaultBackoff = 100 * time.Millisecond

	maxAttempts = 6
	// changeRetention is how long a change id can be asked for or sent again.
	changeRetention = 30 * 24 * time.Hour
)

// Options configures a Commander.
type Options struct {
	Store cloud.Table
	// Accepted is told of each version that this host got accepted, with its
	// packed form. It must not block; nil is allowed.
	Accepted func(t *table.Tables, packed []byte)
	// Clock is the time source; nil is the real clock.
	Clock clockwork.Clock
	// Timeout bounds a command; 0 is DefaultTimeout.
	Timeout time.Duration
	// Backoff is the wait before the second attempt; 0 is DefaultBackoff.
	Backoff time.Duration
}

// Commander takes changes. It is safe for concurrent use.
type Commander struct {
	opts   Options
	reader *query.Reader
}

// New returns a Commander.
func New(o Options) *Commander {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	o.Backoff = cmp.Or(o.Backoff, DefaultBackoff)
	return &Commander{opts: o, reader: query.New(o.Store)}
}

// Do carries out one change. The result says what is known of it; it never
// claims more than that.
func (c *Commander) Do(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	if err := r.check(); err != nil {
		return refusal(Result{ChangeID: r.ChangeID}, err)
	}
	current, earlier, err := c.read(ctx, r.ChangeID)
	if err != nil {
		return Result{State: Unavailable, ChangeID: r.ChangeID, Detail: err.Error()}
	}
	if earlier != nil {
		return sameChange(*earlier, r.ChangeID, r.fingerprint())
	}
	res := Result{Version: current.Version, Base: current.Version, ChangeID: r.ChangeID}
	if r.IfVersion != nil && *r.IfVersion != current.Version {
		res.State, res.Detail = Conflict, "the tables have moved on"
		return res
	}
	next, touched, err := edit(current, r)
	switch {
	case err != nil:
		return refusal(res, err)
	case next == nil:
		res.State = Unchanged
		return res
	}
	change := rows.Change{
		ID: r.ChangeID, Version: next.Version, Base: current.Version, Author: r.Author,
		Time: c.opts.Clock.Now().UTC(), Table: r.Table, Operation: r.Operation,
		Sections: touched, Fingerprint: r.fingerprint(),
	}
	return c.commit(ctx, next, change)
}

// read returns the accepted tables, and the change when its id was already
// accepted.
func (c *Commander) read(ctx context.Context, id string) (*table.Tables, *rows.Change, error) {
	var current *table.Tables
	var earlier *rows.Change
	err := c.retry(ctx, func() (bool, error) {
		change, ok, err := c.reader.Change(ctx, id)
		if err != nil {
			return errors.Is(err, cloud.ErrUnavailable), err
		}
		if ok {
			earlier = &change
		}
		current, err = c.reader.Tables(ctx)
		return errors.Is(err, cloud.ErrUnavailable), err
	})
	return current, earlier, err
}

// retry calls f until it succeeds, says that another try is useless, or the
// attempts or the context end; it returns f's last error.
func (c *Commander) retry(ctx context.Context, f func() (again bool, err error)) error {
	wait := c.opts.Backoff
	for attempt := 1; ; attempt++ {
		again, err := f()
		if err == nil || !again || attempt == maxAttempts {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-c.opts.Clock.After(wait):
		}
		wait *= 2
	}
}

// Ask says what became of a change that ended as unknown, made from version
// base. A change that is not stored and whose base has been overtaken never
// will be. The version is read before the change, so that a change seen as
// absent can't be the one that moved it.
func (c *Commander) Ask(ctx context.Context, id string, base uint64) Result {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	res := Result{State: Unknown, Base: base, ChangeID: id}
	version, err := c.reader.Version(ctx)
	if err != nil {
		res.Detail = err.Error()
		return res
	}
	found, ok, err := c.reader.Change(ctx, id)
	switch {
	case err != nil:
		res.Detail = err.Error()
	case ok:
		res.State, res.Version, res.Base = Accepted, found.Version, found.Base
	case version > base:
		res.State, res.Version, res.Detail = Conflict, version, "the change was not stored and can't be any more"
	default:
		res.Version, res.Detail = version, "the change is not stored; it may be sent again with the same change id"
	}
	return res
}

// sameChange answers for a change id that is already stored.
func sameChange(stored rows.Change, id string, fingerprint uint64) Result {
	res := Result{State: Accepted, Version: stored.Version, Base: stored.Base, ChangeID: id}
	if stored.Fingerprint != fingerprint {
		return refusal(res, table.Problems{{File: "request", Key: "change", Found: id,
			Expected: "a change id that no other change used"}})
	}
	return res
}

func refusal(res Result, err error) Result {
	if errors.Is(err, errNotFound) {
		res.State, res.Detail = NotFound, err.Error()
		return res
	}
	res.State, res.Detail = Refused, err.Error()
	_ = errors.As(err, &res.Problems)
	return res
}
