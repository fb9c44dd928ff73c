package news

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// ErrHistoryLost means that changes since a cursor are no longer known; the
// tables have to be read anew.
var ErrHistoryLost = errors.New("the store's history does not reach back to the cursor")

// Cursor is a moment in the history of the store; 0 is before all.
type Cursor uint64

// TablesReading is what the store said of the tables.
type TablesReading struct {
	// Tables is nil when they have not changed since the cursor.
	Tables *table.Tables
	// Problem says why tables that did change can't be used.
	Problem error
	// Cursor is where the next reading goes on.
	Cursor Cursor
}

// RegisterReading is what the targets say of themselves at one moment.
type RegisterReading struct {
	// Version is the version of the store at that moment.
	Version uint64
	Entries []registry.Entry
	// Problems says what is wrong with entries that name no target.
	Problems []error
}

// Source is the store as a host reads it. Methods are safe for concurrent
// use; their errors mean that nothing was learned.
type Source interface {
	// Tables returns the tables when they have changed after a cursor, and
	// waits for that as long as it is told. Cursor 0 reads them at once.
	Tables(after Cursor, wait time.Duration) (TablesReading, error)
	// Register returns what the targets say of themselves.
	Register() (RegisterReading, error)
	// Announce makes this host known to the others.
	Announce(h roster.Host) error
	// Hosts returns the hosts that announced themselves.
	Hosts() ([]roster.Host, error)
	// Strike removes a host that announced itself, unless it has announced
	// itself otherwise meanwhile.
	Strike(h roster.Host) error
}
