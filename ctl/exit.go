package ctl

import "github.com/chestnutfield/chestnutfield/config/command"

// Exit codes of chestnutctl.
const (
	ExitOK = 0
	// ExitFailed means that the host can't be reached or rejected the request.
	ExitFailed = 1
	// ExitRefused means that the input or the command line is invalid; nothing
	// changed.
	ExitRefused = 2
	// ExitConflict means that the tables have another version than expected;
	// nothing changed.
	ExitConflict = 3
	// ExitUnknown means that the change may have been accepted; the command
	// "change" shows its outcome.
	ExitUnknown = 4
	// ExitLagging means that a version is not in force on every live host yet.
	ExitLagging = 5
)

// exitCodes maps the state of a command's result to the exit code.
var exitCodes = map[command.State]int{
	command.Accepted:    ExitOK,
	command.Unchanged:   ExitOK,
	command.Refused:     ExitRefused,
	command.NotFound:    ExitRefused,
	command.Conflict:    ExitConflict,
	command.Unavailable: ExitFailed,
	command.Unknown:     ExitUnknown,
}
