package command

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config/rows"
	"github.com/chestnutfield/chestnutfield/table"
)

// Places of the writes in the transaction of a change.
const (
	versionWrite = iota
	bodyWrite
	historyWrite
	changeWrite
)

// commit stores a change and settles what became of it.
func (c *Commander) commit(ctx context.Context, next *table.Tables, change rows.Change) Result {
	res := Result{Version: change.Base, Base: change.Base, ChangeID: change.ID}
	packed, err := table.Encode(next)
	if err != nil {
		return refusal(res, table.Problems{{File: string(change.Table), Found: err.Error(), Expected: "tables that fit one row"}})
	}
	writes, err := c.writes(packed, change)
	if err != nil {
		return refusal(res, err)
	}
	mayHaveApplied := false
	err = c.retry(ctx, func() (bool, error) {
		err := c.opts.Store.Transact(ctx, writes)
		uncertain := errors.Is(err, cloud.ErrUncertain)
		mayHaveApplied = mayHaveApplied || uncertain
		return uncertain || errors.Is(err, cloud.ErrUnavailable), err
	})
	res, settleErr := c.settle(ctx, res, change, mayHaveApplied, err)
	if settleErr != nil {
		res.State, res.Detail = Unknown, settleErr.Error()
	}
	if res.State == Accepted && c.opts.Accepted != nil {
		c.opts.Accepted(next, packed)
	}
	return res
}

// settle turns the last error of the transaction into what is known. A failed
// condition proves that no copy of the transaction can apply any more, unless
// one already did, which the row of the change id shows. An error means that
// the end is unknown.
func (c *Commander) settle(ctx context.Context, res Result, change rows.Change, mayHaveApplied bool, err error) (Result, error) {
	var failed *cloud.ConditionError
	switch {
	case err == nil:
		res.State, res.Version = Accepted, change.Version
		return res, nil
	case errors.As(err, &failed):
	case mayHaveApplied:
		return res, err
	default:
		res.State, res.Detail = Unavailable, err.Error()
		return res, nil
	}
	found, ok, err := c.recorded(ctx, failed, change.ID, mayHaveApplied)
	if err != nil {
		return res, err
	}
	if ok {
		return sameChange(found, change.ID, change.Fingerprint), nil
	}
	res.State, res.Detail = Conflict, "another change came first"
	if row := failed.Failed[versionWrite]; row != nil {
		res.Version = row.Revision
	}
	return res, nil
}

// recorded looks for the row of a change id: in what the failed condition
// showed, and, when a copy of the transaction may have applied, by a read.
func (c *Commander) recorded(ctx context.Context, failed *cloud.ConditionError, id string, mayHaveApplied bool) (rows.Change, bool, error) {
	if row := failed.Failed[changeWrite]; row != nil {
		found, err := rows.DecodeChange(row.Body)
		return found, err == nil, err
	}
	if !mayHaveApplied {
		return rows.Change{}, false, nil
	}
	return c.reader.Change(ctx, id)
}

// writes is the transaction of a change, in the order of the places above.
func (c *Commander) writes(packed []byte, change rows.Change) ([]cloud.Write, error) {
	record, err := change.Encode()
	if err != nil {
		return nil, err
	}
	row := func(k cloud.Key, rev uint64, body []byte) cloud.Row {
		return cloud.Row{Key: k, Revision: rev, Writer: change.ID, Body: body}
	}
	guarded := func(r cloud.Row) cloud.Write {
		return cloud.Write{Row: r, IfAbsent: change.Base == 0, IfRevision: change.Base}
	}
	kept := row(rows.ChangeKey(change.ID), 1, record)
	kept.Expires = change.Time.Add(changeRetention)
	return []cloud.Write{
		versionWrite: guarded(row(rows.VersionKey, change.Version, nil)),
		bodyWrite:    guarded(row(rows.BodyKey, change.Version, packed)),
		historyWrite: {Row: row(rows.HistoryKey(change.Version), 1, record), IfAbsent: true},
		changeWrite:  {Row: kept, IfAbsent: true},
	}, nil
}
