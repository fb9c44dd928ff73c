package attempt

import (
	"time"

	"github.com/chestnutfield/chestnutfield/outcome"
)

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events. Events of one attempt carry its number in Event.Attempt.
const (
	// Admitted: admission control granted a permit.
	Admitted EventKind = iota + 1
	// Refused: admission control, or a check before it, refused the request or,
	// with Attempt set, an attempt that was not sent yet; Reason says why.
	Refused
	// Picked: a target was chosen for the attempt.
	Picked
	// NoTarget: no target is available for the attempt; Reason says why.
	NoTarget
	// Sending: the first byte of the request is about to be written. From here
	// on the attempt may have run.
	Sending
	// ConnectFailed: no connection could be opened; nothing was sent. Reason says
	// why.
	ConnectFailed
	// ConnectionLost: the connection failed before the response header was
	// complete.
	ConnectionLost
	// HeaderReceived: the response header arrived, with Status and NotRun.
	HeaderReceived
	// ResponseComplete: the body of the forwarded response arrived completely.
	ResponseComplete
	// ResponseTruncated: the body of the forwarded response ended early.
	ResponseTruncated
	// HedgeDue: the delay before a hedged attempt has passed.
	HedgeDue
	// Cancelled: the caller closed its connection.
	Cancelled
	// Expired: the deadline passed.
	Expired
	// HostStopped: the host has no more time for requests that have no response yet.
	// One that is being forwarded goes on.
	HostStopped
)

// Event is something that happened to the request.
type Event struct {
	Kind EventKind
	At   time.Time
	// Attempt is the number of the attempt, from 1.
	Attempt int
	// Status is the status code, set with HeaderReceived.
	Status int
	// NotRun is true when the header of HeaderReceived says that the upstream did
	// not run the request.
	NotRun bool
	// Final is true when a response that says not-run holds for all targets, so that
	// a retry is of no use.
	Final bool
	// Reason is set with Refused, NoTarget and ConnectFailed.
	Reason outcome.Reason
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// Wait: do nothing until the next event. The zero value.
	Wait ActionKind = iota
	// Pick: choose a target for attempt Attempt and report Picked or NoTarget.
	// With NeedsBudget, take one retry from the retry budget first.
	Pick
	// Dispatch: open a connection for attempt Attempt, report Sending, and send
	// if the action in return is Write.
	Dispatch
	// Write: the attempt that reported Sending may write. Any other action in
	// return for Sending means that nothing of the attempt may be written.
	Write
	// Abandon: stop the attempt that reported the event.
	Abandon
	// Forward: forward the response of attempt Attempt to the caller and abandon
	// all other attempts.
	Forward
	// Finish: abandon all attempts; End says how the request ended.
	Finish
)

// Action tells the driver what to do next.
type Action struct {
	Kind        ActionKind
	Attempt     int
	NeedsBudget bool
	End         End
}

// End is how a request ended. Reason is zero when an upstream's response was
// forwarded completely.
type End struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
}
