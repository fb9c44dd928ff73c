// Package cloud defines the interfaces to the services of the platform: the
// transactional table service, the object store and the eventually consistent
// host list. The subpackages hold clients for the published protocols and
// in-memory fakes.
package cloud

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Errors of a platform call. Test for them with errors.Is.
var (
	// ErrUnavailable means that the call failed and nothing was applied.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUncertain means that a write was not acknowledged. It may have been
	// applied; the caller has to read the row to find out.
	ErrUncertain = errors.New("platform write not acknowledged")
	// ErrConditionFailed means that a condition did not hold and nothing was
	// written.
	ErrConditionFailed = errors.New("condition failed")
)

// Key is the primary key of a row.
type Key struct {
	Partition string
	Sort      string
}

// Row is one row of the table service.
type Row struct {
	Key
	// Revision increases by one with every write of the row and starts at 1.
	// The caller sets it.
	Revision uint64
	// Writer is a token that the caller chooses, unique to one write. After
	// a lost acknowledgement it shows whether the stored row is from that
	// write.
	Writer string
	// Body is opaque to the platform and at most 300 KB long.
	Body []byte
	// Expires is the time from which the platform may delete the row. The
	// zero time means never.
	Expires time.Time
}

// Write is a put or a delete of one row, with an optional condition on the
// stored row.
type Write struct {
	Row Row
	// Delete deletes the row with the key of Row instead of writing it.
	Delete bool
	// IfAbsent applies the write only if there is no row with the key.
	IfAbsent bool
	// IfRevision applies the write only if the stored row has this revision.
	// 0 sets no such condition.
	IfRevision uint64
}

// ConditionError reports which writes of a call failed their condition, with
// the stored rows. It matches ErrConditionFailed.
type ConditionError struct {
	// Failed maps the index of each failed write to the stored row, nil if
	// there is none.
	Failed map[int]*Row
}

// Error implements error.
func (e *ConditionError) Error() string { return ErrConditionFailed.Error() }

// Is reports whether target is ErrConditionFailed.
func (e *ConditionError) Is(target error) bool { return target == ErrConditionFailed }

// MaxTransactWrites is the maximum number of writes in one Transact call.
const MaxTransactWrites = 100

// Table is the transactional table service.
type Table interface {
	// Get reads a row with strong consistency. ok is false if there is none.
	Get(ctx context.Context, k Key) (row Row, ok bool, err error)
	// Query reads up to limit rows of a partition with Sort > after, in
	// ascending order of Sort. A row that can't be decoded has its key alone.
	Query(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Write applies one write.
	Write(ctx context.Context, w Write) error
	// Transact applies up to MaxTransactWrites writes atomically: all of them,
	// or none if a condition fails.
	Transact(ctx context.Context, ws []Write) error
}

// ObjectStore is the object store.
type ObjectStore interface {
	// Put writes an object, replacing any previous one.
	Put(ctx context.Context, key string, body []byte) error
	// Get reads an object. ok is false if there is none.
	Get(ctx context.Context, key string) (body []byte, ok bool, err error)
}

// ListedHost is one entry of the host list: an address at which a service runs.
type ListedHost struct {
	Service       string         `json:"service"`
	Addr          netip.AddrPort `json:"addr"`
	FailureDomain string         `json:"failure_domain"`
	// Leaving is true when the platform is going to remove the host, which
	// should get no new requests.
	Leaving bool `json:"leaving"`
}

// HostList is the platform's list of live and leaving hosts. Changes appear in
// it with a delay.
type HostList interface {
	// List returns the entries of one service, or of all services if service
	// is "".
	List(ctx context.Context, service string) ([]ListedHost, error)
}
