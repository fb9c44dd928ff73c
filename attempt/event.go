package attempt

import (
	"time"

	"github.com/chestnutfield/chestnutfield/outcome"
)

// EventKind names what happened.
type EventKind uint8

// The events. Those of an attempt carry its number.
const (
	// Admitted: admission gave a permit.
	Admitted EventKind = iota + 1
	// Refused: admission or a check before it refused; Reason says why.
	Refused
	// Picked: a target was chosen for the attempt.
	Picked
	// NoTarget: the attempt can't be made; Reason says why.
	NoTarget
	// Sent: the first byte of the request is about to be written.
	Sent
	// ConnectFailed: no connection could be opened; nothing was sent.
	ConnectFailed
	// Lost: the connection failed before the answer header was complete.
	Lost
	// Header: the answer header arrived, with Status and NotRun.
	Header
	// Answered: the body of the forwarded answer arrived whole.
	Answered
	// Truncated: the body of the forwarded answer ended early.
	Truncated
	// HedgeDue: the wait before a second copy is over.
	HedgeDue
	// Cancelled: the caller went away.
	Cancelled
	// Expired: the deadline passed.
	Expired
)

// Event is something that happened to the request.
type Event struct {
	Kind EventKind
	At   time.Time
	// Attempt is the number of the attempt, from 1.
	Attempt int
	// Status is the status code of a Header.
	Status int
	// NotRun is true when a Header says that the upstream did not run it.
	NotRun bool
	// Reason comes with Refused, NoTarget and ConnectFailed.
	Reason outcome.Reason
}

// ActionKind names what the driver does next.
type ActionKind uint8

// The actions.
const (
	// Wait: nothing until the next event. The zero value.
	Wait ActionKind = iota
	// Pick: choose a target for attempt Attempt and feed Picked or NoTarget.
	// With Budgeted the retry budget is asked first.
	Pick
	// Dispatch: open a connection for attempt Attempt, feed Sent and send.
	Dispatch
	// Write: the attempt that fed Sent may write. Any other action in answer
	// to Sent means that nothing of the attempt may be written.
	Write
	// Abandon: stop the attempt that fed the event.
	Abandon
	// Forward: give the answer of attempt Attempt to the caller and abandon
	// all others.
	Forward
	// Finish: abandon all attempts; End says how the request ended.
	Finish
)

// Action is what the driver does next.
type Action struct {
	Kind     ActionKind
	Attempt  int
	Budgeted bool
	End      End
}

// End is how a request ended. Reason is zero when an upstream's answer was
// forwarded whole.
type End struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
}
