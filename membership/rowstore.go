package membership

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
)

// callTimeout bounds one write or one read of all rows, with all calls to the
// table service that it takes.
const callTimeout = 2 * time.Second

// readPage is the number of rows that one query asks for.
const readPage = 200

// rowStore reads and writes the member rows.
type rowStore struct {
	table     cloud.Table
	clock     clockwork.Clock
	retention time.Duration

	mu       sync.Mutex
	revision uint64
	writes   uint64
	// highestHeartbeat is the highest heartbeat of which a write was attempted.
	highestHeartbeat uint64

	ok, failed, badRows atomic.Uint64
}

func newRowStore(opt Options) *rowStore {
	return &rowStore{table: opt.Table, clock: opt.Clock, retention: opt.Timing.RowRetention}
}

func (r *rowStore) countCall(err error) {
	if err != nil {
		r.failed.Add(1)
		return
	}
	r.ok.Add(1)
}

// write stores this host's own row. When the stored row is not the one last
// written, write returns it as found, with an error, if it is of a later
// incarnation, and otherwise tries once more to replace it; a row that can't be read
// is replaced as well. A heartbeat lower than one already attempted is an error, so
// that a delayed renewal does not undo the row of a host that left.
func (r *rowStore) write(ctx context.Context, m Member) (found *Member, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Heartbeat < r.highestHeartbeat {
		return nil, errors.Errorf("member row not written: heartbeat %d is lower than %d, of which a write was attempted before", m.Heartbeat, r.highestHeartbeat)
	}
	r.highestHeartbeat = m.Heartbeat
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = r.writeOnce(ctx, m, false)
	var conflict *cloud.ConditionError
	switch {
	case errors.As(err, &conflict):
	case errors.Is(err, cloud.ErrConditionFailed):
		// Another writer left a row under this host's name that can't be read.
		r.badRows.Add(1)
		r.revision = 0
		return nil, r.writeOnce(ctx, m, true)
	default:
		return nil, err
	}
	row := conflict.Failed[0]
	if row == nil {
		r.revision = 0
		return nil, r.writeOnce(ctx, m, false)
	}
	stored, decodeErr := decodeRow(*row)
	if decodeErr != nil {
		r.badRows.Add(1)
	} else if stored.Incarnation > m.Incarnation {
		return &stored, err
	}
	r.revision = row.Revision
	return nil, r.writeOnce(ctx, m, false)
}

// writeOnce writes the row if the stored one is that last written, or replaces any row.
func (r *rowStore) writeOnce(ctx context.Context, m Member, replace bool) error {
	r.writes++
	writer := fmt.Sprintf("%s/%d/%d", m.Name, m.Incarnation, r.writes)
	row, err := encodeRow(m, writer, r.clock.Now().Add(r.retention))
	if err != nil {
		return err
	}
	row.Revision = r.revision + 1
	err = r.table.Write(ctx, cloud.Write{Row: row, IfAbsent: r.revision == 0 && !replace, IfRevision: r.revision})
	if err != nil {
		return errors.Wrap(err, "write member row")
	}
	r.revision = row.Revision
	return nil
}

// readAll returns the members of all rows that have not expired. Rows that can't
// be decoded are counted and left out.
func (r *rowStore) readAll(ctx context.Context) ([]Member, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out []Member
	after := ""
	for {
		rows, err := r.table.Query(ctx, Partition, after, readPage)
		if err != nil {
			return nil, errors.Wrap(err, "read member rows")
		}
		for _, row := range rows {
			after = row.Sort
			if m, ok := r.decodeUnexpired(row); ok {
				out = append(out, m)
			}
		}
		if len(rows) < readPage {
			return out, nil
		}
	}
}

func (r *rowStore) decodeUnexpired(row cloud.Row) (Member, bool) {
	if !row.Expires.IsZero() && r.clock.Now().After(row.Expires) {
		return Member{}, false
	}
	m, err := decodeRow(row)
	if err != nil {
		r.badRows.Add(1)
		return Member{}, false
	}
	return m, true
}
