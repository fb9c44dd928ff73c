package command

import "github.com/chestnutfield/chestnutfield/table"

// State is the outcome of a command.
type State string

// The outcomes of a command.
const (
	// Accepted means that the change is stored as Version.
	Accepted State = "accepted"
	// Unchanged means that the tables already have the requested content; no
	// new version was made.
	Unchanged State = "unchanged"
	// Refused means that the input is invalid, see Problems; nothing changed.
	Refused State = "refused"
	// NotFound means that the pool or route to delete does not exist; nothing
	// changed.
	NotFound State = "not-found"
	// Conflict means that the accepted version is not the one the change was
	// made from or asked for; nothing changed.
	Conflict State = "conflict"
	// Unavailable means that the table service could not be read or written;
	// nothing changed.
	Unavailable State = "unavailable"
	// Unknown means that the change may have been stored or may still be; its
	// outcome can be looked up with ChangeID.
	Unknown State = "unknown"
)

// Result is the outcome of a command as far as it is known when the command
// returns.
type Result struct {
	State State `json:"state"`
	// Version is the highest accepted version known when the command returned,
	// or the version that an accepted change became.
	Version uint64 `json:"version"`
	// Base is the version that the change was made from; 0 when none was read.
	Base     uint64         `json:"base"`
	ChangeID string         `json:"change_id"`
	Problems table.Problems `json:"problems,omitempty"`
	// Detail explains in one line what went wrong.
	Detail string `json:"detail,omitempty"`
}
