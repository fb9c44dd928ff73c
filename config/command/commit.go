package command

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table"
)

// Positions of the writes in the transaction of a change.
const (
	versionWrite = iota
	bodyWrite
	historyWrite
	changeWrite
)

// commit stores a change with the tables that result from it, and returns its
// outcome.
func (h *Handler) commit(ctx context.Context, next *table.Tables, change schema.Change) Result {
	res := Result{Version: change.Base, Base: change.Base, ChangeID: change.ID}
	encoded, err := table.Encode(next)
	if err != nil {
		return refusedResult(res, table.Problems{{File: string(change.Table), Found: err.Error(), Expected: "tables that fit one row"}})
	}
	writes, err := h.transactionWrites(encoded, change)
	if err != nil {
		return refusedResult(res, err)
	}
	mayHaveApplied := false
	err = h.retry(ctx, func() (bool, error) {
		err := h.opts.Store.Transact(ctx, writes)
		uncertain := errors.Is(err, cloud.ErrUncertain)
		mayHaveApplied = mayHaveApplied || uncertain
		return uncertain || errors.Is(err, cloud.ErrUnavailable), err
	})
	res, outcomeErr := h.resolveOutcome(ctx, res, change, mayHaveApplied, err)
	if outcomeErr != nil {
		res.State, res.Detail = Unknown, outcomeErr.Error()
	}
	if res.State == Accepted && h.opts.OnAccepted != nil {
		h.opts.OnAccepted(next, encoded)
	}
	return res
}

// resolveOutcome derives the result from the last error of the transaction. A
// failed condition proves that no copy of the transaction can apply any more,
// unless one already did, which the row of the change id shows. An error means
// that the outcome is unknown.
func (h *Handler) resolveOutcome(ctx context.Context, res Result, change schema.Change, mayHaveApplied bool, err error) (Result, error) {
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
	found, ok, err := h.findChange(ctx, failed, change.ID, mayHaveApplied)
	if err != nil {
		return res, err
	}
	if ok {
		return duplicateResult(found, change.ID, change.Fingerprint), nil
	}
	res.State, res.Detail = Conflict, "another change came first"
	if row := failed.Failed[versionWrite]; row != nil {
		res.Version = row.Revision
	}
	return res, nil
}

// findChange looks for the row of a change id: among the rows that the failed
// condition returned and, when a copy of the transaction may have been applied,
// by a read.
func (h *Handler) findChange(ctx context.Context, failed *cloud.ConditionError, id string, mayHaveApplied bool) (schema.Change, bool, error) {
	if row := failed.Failed[changeWrite]; row != nil {
		found, err := schema.DecodeChange(row.Body)
		return found, err == nil, err
	}
	if !mayHaveApplied {
		return schema.Change{}, false, nil
	}
	return h.reader.Change(ctx, id)
}

// transactionWrites returns the writes of a change's transaction, in the order
// of the positions above.
func (h *Handler) transactionWrites(encoded []byte, change schema.Change) ([]cloud.Write, error) {
	record, err := change.Encode()
	if err != nil {
		return nil, err
	}
	row := func(k cloud.Key, rev uint64, body []byte) cloud.Row {
		return cloud.Row{Key: k, Revision: rev, Writer: change.ID, Body: body}
	}
	ifAtBase := func(r cloud.Row) cloud.Write {
		return cloud.Write{Row: r, IfAbsent: change.Base == 0, IfRevision: change.Base}
	}
	changeRow := row(schema.ChangeKey(change.ID), 1, record)
	changeRow.Expires = change.Time.Add(changeRetention)
	return []cloud.Write{
		versionWrite: ifAtBase(row(schema.VersionKey, change.Version, nil)),
		bodyWrite:    ifAtBase(row(schema.BodyKey, change.Version, encoded)),
		historyWrite: {Row: row(schema.HistoryKey(change.Version), 1, record), IfAbsent: true},
		changeWrite:  {Row: changeRow, IfAbsent: true},
	}, nil
}
