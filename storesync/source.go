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

// A version orders what the store held. A store that was restored from an older
// copy gives out again the numbers that it had given out since, with other
// content, so a version is composed of the store's era, which rises with each
// restore, and its number within the era.
const eraShift = 40

// NewVersion returns the version with a number in an era.
func NewVersion(era, number uint64) uint64 { return era<<eraShift | number&(1<<eraShift-1) }

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> eraShift }

// Number returns the number of a version within its era.
func Number(version uint64) uint64 { return version & (1<<eraShift - 1) }

// Cursor is a version up to which changes were read; 0 is before the first change.
type Cursor uint64

// TablesReading is the result of reading the tables.
type TablesReading struct {
	// Tables is nil when they have not changed since the cursor.
	Tables *table.Tables
	// Problem says why changed tables can't be used or, when Tables is not nil, which of
	// their entries can't.
	Problem error
	// Evacuations is what the reading says about evacuated failure domains.
	Evacuations EvacuationChange
	// Cursor is where the next reading continues; it is the version of the store that
	// was read.
	Cursor Cursor
}

// RegistryReading is the content of the target registry at one moment.
type RegistryReading struct {
	// Version is the version of the store at that moment.
	Version uint64
	Entries []registry.Entry
	// Problems has one error for each entry left out as invalid, unless an earlier
	// reading had it for the same version of the entry.
	Problems []error
}

// HostsReading is the host list at one moment.
type HostsReading struct {
	// Version is the version of the store at that moment.
	Version uint64
	Hosts   []roster.Host
	// Problems has one error for each row left out as invalid.
	Problems []error
}

// MaxAnnounced is the number of hosts that one call of Source.Announce may add.
const MaxAnnounced = 100

// Source gives access to the store. Methods are safe for concurrent use. After
// an error nothing is known about the store's content; a change may have been
// made or not.
type Source interface {
	// Tables returns the tables and evacuations if they changed after a cursor, and
	// waits up to wait for such a change. With cursor 0 it returns them at once. The error is
	// ErrHistoryLost when the cursor is too old.
	Tables(after Cursor, wait time.Duration) (TablesReading, error)
	// Registry returns the registry entries that targets wrote of themselves.
	Registry() (RegistryReading, error)
	// Announce adds hosts, at most MaxAnnounced, to the host list or replaces their
	// rows.
	Announce(hosts ...roster.Host) error
	// Hosts returns the host list.
	Hosts() (HostsReading, error)
	// RemoveHost removes a host from the host list, unless its row has changed
	// meanwhile.
	RemoveHost(h roster.Host) error
}
