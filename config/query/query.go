// Package query reads the configuration from the table service. Every read is
// strongly consistent. Package command has the writes.
package query

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table"
)

// MaxHistory bounds the number of changes that one call of History returns.
const MaxHistory = 500

// Reader reads the configuration. It is safe for concurrent use.
type Reader struct {
	store cloud.Table
}

// New returns a Reader of the given table service.
func New(store cloud.Table) *Reader { return &Reader{store: store} }

// Version returns the accepted version, 0 when nothing was ever accepted. It
// reads one small row.
func (r *Reader) Version(ctx context.Context) (uint64, error) {
	row, _, err := r.store.Get(ctx, schema.VersionKey)
	return row.Revision, err
}

// EncodedTables returns the accepted tables as table.Encode encoded them, and
// their version. The body is nil for version 0.
func (r *Reader) EncodedTables(ctx context.Context) (body []byte, version uint64, err error) {
	row, _, err := r.store.Get(ctx, schema.BodyKey)
	return row.Body, row.Revision, err
}

// Tables returns the accepted tables.
func (r *Reader) Tables(ctx context.Context) (*table.Tables, error) {
	body, version, err := r.EncodedTables(ctx)
	if err != nil {
		return nil, err
	}
	return DecodeTables(body, version)
}

// DecodeTables decodes the body of a version; it returns an error when the
// tables in it have another version. Version 0 decodes to empty tables.
func DecodeTables(body []byte, version uint64) (*table.Tables, error) {
	if version == 0 {
		return table.Empty(), nil
	}
	t, err := table.Decode(body)
	if err != nil {
		return nil, err
	}
	if t.Version != version {
		return nil, errors.Errorf("tables of version %d where %d was expected", t.Version, version)
	}
	return t, nil
}

// History returns up to limit of the latest changes, oldest first.
func (r *Reader) History(ctx context.Context, limit int) ([]schema.Change, error) {
	limit = min(max(limit, 1), MaxHistory)
	version, err := r.Version(ctx)
	if err != nil {
		return nil, err
	}
	after := ""
	if version > uint64(limit) {
		after = schema.HistorySort(version - uint64(limit))
	}
	historyRows, err := r.store.Query(ctx, schema.HistoryPartition, after, limit)
	if err != nil {
		return nil, err
	}
	changes := make([]schema.Change, 0, len(historyRows))
	for _, row := range historyRows {
		c, err := schema.DecodeChange(row.Body)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// Change returns the accepted change with an id; ok is false when there is
// none.
func (r *Reader) Change(ctx context.Context, id string) (c schema.Change, ok bool, err error) {
	row, ok, err := r.store.Get(ctx, schema.ChangeKey(id))
	if err != nil || !ok {
		return schema.Change{}, false, err
	}
	c, err = schema.DecodeChange(row.Body)
	return c, err == nil, err
}
