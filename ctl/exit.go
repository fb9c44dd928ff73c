package ctl

import "github.com/chestnutfield/chestnutfield/config/command"

// Exit codes of chestnutctl.
const (
	ExitOK = 0
	// ExitFailed: the host can't be reached or refused the request.
	ExitFailed = 1
	// ExitRefused: the input or the command line is wrong; nothing changed.
	ExitRefused = 2
	// ExitConflict: the tables have moved on; nothing changed.
	ExitConflict = 3
	// ExitUnknown: the change may have been accepted; ask again.
	ExitUnknown = 4
	// ExitLagging: a version is not in force on every live host yet.
	ExitLagging = 5
)

// exitOf is the exit code of a command's result.
var exitOf = map[command.State]int{
	command.Accepted:    ExitOK,
	command.Unchanged:   ExitOK,
	command.Refused:     ExitRefused,
	command.NotFound:    ExitRefused,
	command.Conflict:    ExitConflict,
	command.Unavailable: ExitFailed,
	command.Unknown:     ExitUnknown,
}
