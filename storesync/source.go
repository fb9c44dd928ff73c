package storesync

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// ErrHistoryLost means that the store no longer has the changes since a cursor;
// the tables have to be read in full.
var ErrHistoryLost = errors.New("the store's history does not reach back to the cursor")

// Cursor is a position in the store's history; 0 is before the first change.
type Cursor uint64

// TablesReading is the result of reading the tables.
type TablesReading struct {
	// Tables is nil when they have not changed since the cursor.
	Tables *table.Tables
	// Problem says why changed tables are invalid; nil otherwise.
	Problem error
	// Cursor is where the next reading continues.
	Cursor Cursor
}

// RegistryReading is the content of the target registry at one moment.
type RegistryReading struct {
	// Version is the version of the store at that moment.
	Version uint64
	Entries []registry.Entry
	// Problems has one error for each entry left out as invalid.
	Problems []error
}

// Source gives access to the store. Methods are safe for concurrent use. After
// an error nothing is known about the store's content; a change may have been
// made or not.
type Source interface {
	// Tables returns the tables if they changed after a cursor, and waits up to
	// wait for such a change. With cursor 0 it returns them at once. The error is
	// ErrHistoryLost when the cursor is too old.
	Tables(after Cursor, wait time.Duration) (TablesReading, error)
	// Registry returns the registry entries that targets wrote of themselves.
	Registry() (RegistryReading, error)
	// Announce adds this host to the host list or replaces its row.
	Announce(h roster.Host) error
	// Hosts returns the host list.
	Hosts() ([]roster.Host, error)
	// RemoveHost removes a host from the host list, unless its row has changed
	// meanwhile.
	RemoveHost(h roster.Host) error
}
