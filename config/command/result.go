package command

import "github.com/chestnutfield/chestnutfield/table"

// State is how a command ended.
type State string

// The states.
const (
	// Accepted: the change is stored and became Version.
	Accepted State = "accepted"
	// Unchanged: the tables already say so; no version was made.
	Unchanged State = "unchanged"
	// Refused: the input has Problems; nothing changed.
	Refused State = "refused"
	// NotFound: there is no such row; nothing changed.
	NotFound State = "not-found"
	// Conflict: the tables have moved on to Version; nothing changed.
	Conflict State = "conflict"
	// Unavailable: the table service can't be reached; nothing changed.
	Unavailable State = "unavailable"
	// Unknown: the change may have been stored or may yet be; ask again with
	// ChangeID.
	Unknown State = "unknown"
)

// Result is what is known of a command when it returns.
type Result struct {
	State State `json:"state"`
	// Version is the accepted version known at the end.
	Version uint64 `json:"version"`
	// Base is the version that the change was made from.
	Base     uint64         `json:"base"`
	ChangeID string         `json:"change_id"`
	Problems table.Problems `json:"problems,omitempty"`
	// Detail explains in one line what went wrong.
	Detail string `json:"detail,omitempty"`
}
