package fake

import (
	"bytes"
	"context"
	"sort"
	"sync"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
)

// Table is an in-memory cloud.Table. It stores the revision that the caller set
// in a row, as the real service does.
type Table struct {
	Faults

	rowsMu sync.Mutex
	rows   map[cloud.Key]cloud.Row
}

var _ cloud.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[cloud.Key]cloud.Row{}} }

// Get implements cloud.Table.
func (t *Table) Get(ctx context.Context, k cloud.Key) (row cloud.Row, ok bool, err error) {
	err = t.read(ctx, func() {
		t.rowsMu.Lock()
		defer t.rowsMu.Unlock()
		row, ok = t.rows[k]
		row = clone(row)
	})
	return row, ok, err
}

// Query implements cloud.Table.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) (rows []cloud.Row, err error) {
	err = t.read(ctx, func() {
		t.rowsMu.Lock()
		defer t.rowsMu.Unlock()
		for k, row := range t.rows {
			if k.Partition == partition && k.Sort > after {
				rows = append(rows, clone(row))
			}
		}
	})
	sort.Slice(rows, func(i, j int) bool { return rows[i].Sort < rows[j].Sort })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, err
}

// Write implements cloud.Table.
func (t *Table) Write(ctx context.Context, w cloud.Write) error {
	return t.Transact(ctx, []cloud.Write{w})
}

// Transact implements cloud.Table.
func (t *Table) Transact(ctx context.Context, ws []cloud.Write) error {
	if len(ws) > cloud.MaxTransactWrites {
		return errors.Errorf("%d writes in one transaction, at most %d", len(ws), cloud.MaxTransactWrites)
	}
	return t.write(ctx, func() error { return t.apply(ws) })
}

func (t *Table) apply(ws []cloud.Write) error {
	t.rowsMu.Lock()
	defer t.rowsMu.Unlock()
	failed := map[int]*cloud.Row{}
	for i, w := range ws {
		row, ok := t.rows[w.Row.Key]
		if (w.IfAbsent && !ok) || (!w.IfAbsent && (w.IfRevision == 0 || (ok && row.Revision == w.IfRevision))) {
			continue
		}
		failed[i] = nil
		if ok {
			found := clone(row)
			failed[i] = &found
		}
	}
	if len(failed) > 0 {
		return &cloud.ConditionError{Failed: failed}
	}
	for _, w := range ws {
		if w.Delete {
			delete(t.rows, w.Row.Key)
			continue
		}
		t.rows[w.Row.Key] = clone(w.Row)
	}
	return nil
}

func clone(r cloud.Row) cloud.Row {
	r.Body = bytes.Clone(r.Body)
	return r
}
