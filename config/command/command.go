package command

import (
	"cmp"
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config/query"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// DefaultTimeout bounds a command, including its retries.
	DefaultTimeout = 8 * time.Second
	// DefaultBackoff is the wait before the second attempt; it doubles with
	// each further one.
	DefaultBackoff = 100 * time.Millisecond

	maxAttempts = 6
	// changeRetention is how long the row of a change id is kept, and so how
	// long the id can be looked up or sent again without applying twice.
	changeRetention = 30 * 24 * time.Hour
)

// Options configures a Handler.
type Options struct {
	Store cloud.Table
	// OnAccepted is called with each version that the table service accepted
	// from this host, and its encoded form. It must not block; nil calls
	// nothing.
	OnAccepted func(t *table.Tables, encoded []byte)
	// Clock is the time source; nil is the real clock.
	Clock clockwork.Clock
	// Timeout bounds a command; 0 is DefaultTimeout.
	Timeout time.Duration
	// Backoff is the wait before the second attempt; 0 is DefaultBackoff.
	Backoff time.Duration
}

// Handler applies changes to the configuration in the table service. It is
// safe for concurrent use.
type Handler struct {
	opts   Options
	reader *query.Reader
}

// New returns a Handler that writes to o.Store.
func New(o Options) *Handler {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	o.Backoff = cmp.Or(o.Backoff, DefaultBackoff)
	return &Handler{opts: o, reader: query.New(o.Store)}
}

// Do carries out one change. The result's State is Unknown when it can't be
// proved whether the change was stored.
func (h *Handler) Do(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithTimeout(ctx, h.opts.Timeout)
	defer cancel()
	if err := r.validate(); err != nil {
		return refusedResult(Result{ChangeID: r.ChangeID}, err)
	}
	current, earlier, err := h.read(ctx, r.ChangeID)
	if err != nil {
		return Result{State: Unavailable, ChangeID: r.ChangeID, Detail: err.Error()}
	}
	if earlier != nil {
		return duplicateResult(*earlier, r.ChangeID, r.fingerprint())
	}
	res := Result{Version: current.Version, Base: current.Version, ChangeID: r.ChangeID}
	if r.IfVersion != nil && *r.IfVersion != current.Version {
		res.State, res.Detail = Conflict, "the tables have moved on"
		return res
	}
	next, sections, err := edit(current, r)
	switch {
	case err != nil:
		return refusedResult(res, err)
	case next == nil:
		res.State = Unchanged
		return res
	}
	change := schema.Change{
		ID: r.ChangeID, Version: next.Version, Base: current.Version, Author: r.Author,
		Time: h.opts.Clock.Now().UTC(), Table: r.Table, Operation: r.Operation,
		Names: sections, Fingerprint: r.fingerprint(),
	}
	return h.commit(ctx, next, change)
}

// read returns the accepted tables, and the change with the given id if it was
// accepted earlier, else nil.
func (h *Handler) read(ctx context.Context, id string) (*table.Tables, *schema.Change, error) {
	var current *table.Tables
	var earlier *schema.Change
	err := h.retry(ctx, func() (bool, error) {
		change, ok, err := h.reader.Change(ctx, id)
		if err != nil {
			return errors.Is(err, cloud.ErrUnavailable), err
		}
		if ok {
			earlier = &change
		}
		current, err = h.reader.Tables(ctx)
		return errors.Is(err, cloud.ErrUnavailable), err
	})
	return current, earlier, err
}

// retry calls f until it succeeds, returns again = false, maxAttempts are used
// up or the context ends; it returns f's last error.
func (h *Handler) retry(ctx context.Context, f func() (again bool, err error)) error {
	wait := h.opts.Backoff
	for attempt := 1; ; attempt++ {
		again, err := f()
		if err == nil || !again || attempt == maxAttempts {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-h.opts.Clock.After(wait):
		}
		wait *= 2
	}
}

// ChangeOutcome looks up the outcome of a change that ended as Unknown and was
// made from version base. A change that is not stored can no longer be stored
// once the accepted version is higher than its base. The version is read before
// the change, so that a change found absent can't be the one that raised it.
func (h *Handler) ChangeOutcome(ctx context.Context, id string, base uint64) Result {
	ctx, cancel := context.WithTimeout(ctx, h.opts.Timeout)
	defer cancel()
	res := Result{State: Unknown, Base: base, ChangeID: id}
	version, err := h.reader.Version(ctx)
	if err != nil {
		res.Detail = err.Error()
		return res
	}
	found, ok, err := h.reader.Change(ctx, id)
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

// duplicateResult returns the result for a change id that is already stored:
// accepted, or refused when the id belongs to a different change.
func duplicateResult(stored schema.Change, id string, fingerprint uint64) Result {
	res := Result{State: Accepted, Version: stored.Version, Base: stored.Base, ChangeID: id}
	if stored.Fingerprint != fingerprint {
		return refusedResult(res, table.Problems{{File: "request", Key: "change", Found: id,
			Expected: "a change id that no other change used"}})
	}
	return res
}

// refusedResult sets the state and the detail of res from an error of validate,
// edit or the encoding.
func refusedResult(res Result, err error) Result {
	if errors.Is(err, errNotFound) {
		res.State, res.Detail = NotFound, err.Error()
		return res
	}
	res.State, res.Detail = Refused, err.Error()
	_ = errors.As(err, &res.Problems)
	return res
}
