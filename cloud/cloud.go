// Package cloud holds the interfaces to what the platform gives: the
// transactional table service, the object store and the lagging host list.
// The clients that speak the published protocols stand in its subpackages.
package cloud

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// The ways a platform call can fail. Callers test with errors.Is.
var (
	// ErrUnavailable: the request was certainly not applied.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUncertain: the acknowledgement is missing; the write may have been
	// applied and must be settled by reading back.
	ErrUncertain = errors.New("platform write not acknowledged")
	// ErrConditionFailed: a condition did not hold and nothing was written.
	ErrConditionFailed = errors.New("condition failed")
)

// Key names a row.
type Key struct {
	Partition string
	Sort      string
}

// Row is one row of the table service.
type Row struct {
	Key
	// Revision grows by one with every write of the row; the first is 1.
	Revision uint64
	// Writer is chosen by the writer, unique to one write, so that a write
	// whose acknowledgement was lost can be settled by reading back.
	Writer string
	// Body is opaque to the platform, at most 300 KB.
	Body []byte
	// Expires is the time after which the platform may delete the row; zero
	// keeps it.
	Expires time.Time
}

// Write is one conditional write. The condition compares the stored revision.
type Write struct {
	Row Row
	// Delete removes the row in place of writing it.
	Delete bool
	// IfAbsent writes only when no row has the key.
	IfAbsent bool
	// IfRevision writes only when the stored row has this revision; 0 sets
	// no such condition.
	IfRevision uint64
}

// ConditionError says which writes of a call failed their condition and what
// stands there. It matches ErrConditionFailed.
type ConditionError struct {
	// Failed maps the index of the write to the row found, nil when absent.
	Failed map[int]*Row
}

// Error describes the failure.
func (e *ConditionError) Error() string { return ErrConditionFailed.Error() }

// Is matches ErrConditionFailed.
func (e *ConditionError) Is(target error) bool { return target == ErrConditionFailed }

// MaxTransactWrites is the highest number of writes in one Transact call.
const MaxTransactWrites = 100

// Table is the transactional table service.
type Table interface {
	// Get reads a row with strong consistency; ok is false when absent.
	Get(ctx context.Context, k Key) (row Row, ok bool, err error)
	// Query reads up to limit rows of a partition with Sort > after, in order
	// of Sort.
	Query(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Write applies one conditional write.
	Write(ctx context.Context, w Write) error
	// Transact applies up to MaxTransactWrites writes, all or none.
	Transact(ctx context.Context, ws []Write) error
}

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, key string, body []byte) error
	// Get reads an object; ok is false when absent.
	Get(ctx context.Context, key string) (body []byte, ok bool, err error)
}

// ListedHost is one entry of the host list.
type ListedHost struct {
	Service       string         `json:"service"`
	Addr          netip.AddrPort `json:"addr"`
	FailureDomain string         `json:"failure_domain"`
	// Leaving is true when the platform takes the host away.
	Leaving bool `json:"leaving"`
}

// HostList is the platform's list of live and leaving hosts; it lags.
type HostList interface {
	// List returns the entries of a service, "" for all.
	List(ctx context.Context, service string) ([]ListedHost, error)
}
