package attempt

import (
	"cmp"

	"github.com/chestnutfield/chestnutfield/outcome"
)

func (m *Machine) expired() Action {
	if m.phase == forwarding {
		return m.finishAs(End{Outcome: outcome.Unknown, Reason: outcome.UpstreamTimeout})
	}
	if m.mayHaveRun() {
		return m.finish(outcome.UpstreamTimeout)
	}
	return m.finish(outcome.DeadlinePassed)
}

// hostStopped ends the request unless its response is being forwarded.
func (m *Machine) hostStopped() Action {
	switch {
	case m.phase == forwarding:
		return Action{Kind: Wait}
	case m.mayHaveRun():
		return m.finish(outcome.Interrupted)
	default:
		return m.finish(outcome.Stopping)
	}
}

// giveUp ends a request that gets no further attempt: it forwards the kept
// response, if that is safe, and otherwise finishes with an error.
func (m *Machine) giveUp() Action {
	if m.anyPending() {
		return Action{Kind: Wait}
	}
	if m.keptResponse != 0 && (!m.keptNotRun || !m.mayHaveRun()) {
		return m.forward(m.keptResponse)
	}
	if m.mayHaveRun() {
		return m.finish(outcome.UpstreamLost)
	}
	m.lastReason = cmp.Or(m.lastReason, outcome.NoTarget)
	return m.finish(m.lastReason)
}

// completeOutcome is the outcome after the response was forwarded completely.
func (m *Machine) completeOutcome() outcome.Outcome {
	if m.attempts[m.keptResponse-1] == answeredNotRun && !m.mayHaveRun() {
		return outcome.NotRun
	}
	return outcome.Ran
}

// interruptedOutcome is the outcome when no complete response was forwarded.
func (m *Machine) interruptedOutcome() outcome.Outcome {
	if m.mayHaveRun() {
		return outcome.Unknown
	}
	return outcome.NotRun
}

func (m *Machine) finish(reason outcome.Reason) Action {
	return m.finishAs(End{Outcome: m.interruptedOutcome(), Reason: reason})
}

func (m *Machine) finishAs(end End) Action {
	m.phase, m.end = ended, end
	return Action{Kind: Finish, End: end}
}
