package attempt

import (
	"net/http"
	"time"

	"github.com/chestnutfield/chestnutfield/outcome"
)

// MaxNotRunRetries bounds the retries of a request none of whose attempts can
// have run. It applies in addition to the retries that the route allows.
const MaxNotRunRetries = 2

// Config describes the request. It stays the same for the life of the Machine.
type Config struct {
	// Idempotent allows retries after an attempt that may have run.
	Idempotent bool
	// Retries is the maximum number of those retries. A hedged attempt counts as
	// one of them, but the maximum doesn't prevent it.
	Retries int
	// RefusedHedgeIsFree is true when a hedged attempt that gets no target does not count
	// as a retry.
	RefusedHedgeIsFree bool
	// HedgeWhilePicking allows a hedge while the first attempt waits for a target.
	HedgeWhilePicking bool
	// StatusPromises is true when callers take some statuses for the promise that the
	// request has not run and never will (outcome.PromisesNotRun).
	StatusPromises bool
	// NoRetries forbids every retry and hedge.
	NoRetries bool
	// BodyNotReplayable is true when the body is streamed and can be sent only
	// once.
	BodyNotReplayable bool
	// Deadline is the time from which no attempt is started.
	Deadline time.Time
}

type attemptState uint8

const (
	picking attemptState = iota + 1
	connecting
	sent
	answered
	answeredNotRun
	failedUnsent
	lost
)

// pending reports whether the attempt may still receive a response header.
func (s attemptState) pending() bool { return s == picking || s == connecting || s == sent }

// mayHaveRun reports whether an upstream may have run the attempt.
func (s attemptState) mayHaveRun() bool { return s == sent || s == answered || s == lost }

type phase uint8

const (
	received phase = iota
	dispatched
	forwarding
	ended
)

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	cfg         Config
	phase       phase
	attempts    []attemptState
	attemptsBuf [4]attemptState
	// keptResponse is the number of the attempt whose response is kept during
	// a retry or is being forwarded; 0 when there is none. keptNotRun is true
	// when that response says that the upstream did not run the request.
	keptResponse  int
	keptNotRun    bool
	retries       int
	notRunRetries int
	// hedged is the number of the hedged attempt, 0 when there is none.
	hedged int
	// lastReason is why the last attempt failed before it sent anything.
	lastReason outcome.Reason
	end        End
}

// New returns a Machine for a request whose header was received.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg}
	m.attempts = m.attemptsBuf[:0]
	return m
}

// Ended reports how the request ended; ok is false before its end.
func (m *Machine) Ended() (end End, ok bool) { return m.end, m.phase == ended }

// Outcome returns what is known so far about whether the request ran.
func (m *Machine) Outcome() outcome.Outcome {
	if m.phase == ended {
		return m.end.Outcome
	}
	if m.mayHaveRun() {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// OthersMayHaveRun reports whether an attempt other than the given one may have run.
func (m *Machine) OthersMayHaveRun(attempt int) bool {
	for i, st := range m.attempts {
		if i+1 != attempt && st.mayHaveRun() {
			return true
		}
	}
	return false
}

// InFlight reports whether a dispatched attempt may still receive a response.
func (m *Machine) InFlight() bool {
	for _, st := range m.attempts {
		if st == connecting || st == sent {
			return true
		}
	}
	return false
}

// Step processes one event and returns what to do next.
func (m *Machine) Step(ev Event) Action {
	if m.phase == ended {
		return Action{Kind: Abandon, Attempt: ev.Attempt}
	}
	switch ev.Kind {
	case Admitted:
		return m.admitted(ev)
	case Refused:
		return m.refused(ev)
	case Cancelled:
		return m.finish(outcome.CallerGone)
	case Expired:
		return m.expired()
	case HostStopped:
		return m.hostStopped()
	case HedgeDue:
		return m.hedge(ev)
	}
	if ev.Attempt < 1 || ev.Attempt > len(m.attempts) {
		return Action{Kind: Wait}
	}
	if m.phase == forwarding {
		return m.stepForwarding(ev)
	}
	return m.stepAttempt(ev)
}

func (m *Machine) admitted(ev Event) Action {
	if m.phase != received {
		return Action{Kind: Wait}
	}
	if !ev.At.Before(m.cfg.Deadline) {
		return m.finish(outcome.DeadlinePassed)
	}
	m.phase = dispatched
	return m.pick(false)
}

// refused ends a request that was not admitted, or an attempt that may not be
// sent. Other attempts go on. If none may have run, the reason of the refusal is
// the end of the request, whatever responses were kept.
func (m *Machine) refused(ev Event) Action {
	if m.phase == received {
		return m.finish(ev.Reason)
	}
	if m.phase != dispatched || ev.Attempt < 1 || ev.Attempt > len(m.attempts) {
		return Action{Kind: Wait}
	}
	st := &m.attempts[ev.Attempt-1]
	if *st != picking && *st != connecting {
		return Action{Kind: Wait}
	}
	*st, m.lastReason = failedUnsent, ev.Reason
	if !m.anyPending() && !m.mayHaveRun() {
		return m.finish(ev.Reason)
	}
	return m.giveUp()
}

func (m *Machine) stepAttempt(ev Event) Action {
	st := &m.attempts[ev.Attempt-1]
	switch {
	case ev.Kind == Picked && *st == picking:
		*st = connecting
		return Action{Kind: Dispatch, Attempt: ev.Attempt}
	case ev.Kind == NoTarget && *st == picking:
		*st = failedUnsent
		m.lastReason = ev.Reason
		if ev.Attempt == m.hedged && m.cfg.RefusedHedgeIsFree {
			m.retries--
			return m.retryOrGiveUp(ev)
		}
		return m.giveUp()
	case ev.Kind == Sending && *st == connecting:
		return m.send(ev, st)
	case ev.Kind == ConnectFailed && *st == connecting:
		*st = failedUnsent
		m.lastReason = ev.Reason
		return m.retryOrGiveUp(ev)
	case ev.Kind == ConnectionLost && *st == connecting:
		*st = failedUnsent
		m.lastReason = outcome.NoTarget
		return m.retryOrGiveUp(ev)
	case ev.Kind == ConnectionLost && *st == sent:
		*st = lost
		return m.retryOrGiveUp(ev)
	case ev.Kind == HeaderReceived && *st == sent:
		return m.headerReceived(ev, st)
	}
	return Action{Kind: Wait}
}

// send lets an attempt write unless the deadline has passed. It needs no check
// that another attempt may have run: only idempotent requests have two attempts
// at once.
func (m *Machine) send(ev Event, st *attemptState) Action {
	if !ev.At.Before(m.cfg.Deadline) {
		*st = failedUnsent
		return m.retryOrGiveUp(ev)
	}
	*st = sent
	return Action{Kind: Write, Attempt: ev.Attempt}
}

func (m *Machine) headerReceived(ev Event, st *attemptState) Action {
	if ev.NotRun {
		*st = answeredNotRun
		if ev.Final && m.keptResponse == 0 {
			m.keptResponse, m.keptNotRun = ev.Attempt, true
			return m.giveUp()
		}
		return m.keepResponse(ev, true)
	}
	*st = answered
	if m.cfg.Idempotent && retryable(ev.Status) {
		return m.keepResponse(ev, false)
	}
	if m.promisesFalsely(ev.Status) {
		return m.finish(outcome.UpstreamFailed)
	}
	return m.forward(ev.Attempt)
}

// promisesFalsely reports whether a response to an attempt that may have run would keep
// its caller from knowing that. An idempotent request is repeated whatever the status.
func (m *Machine) promisesFalsely(status int) bool {
	return m.cfg.StatusPromises && !m.cfg.Idempotent && outcome.PromisesNotRun(status)
}

// retryable reports whether another target may answer with a better status.
func retryable(status int) bool {
	switch status {
	case http.StatusMisdirectedRequest:
		return true
	case http.StatusNotImplemented, http.StatusHTTPVersionNotSupported:
		return false
	}
	return status >= http.StatusInternalServerError
}

// keepResponse keeps a response that is worth a retry, to forward it if the
// retry yields nothing better. A response that says not-run gives way to any
// later one.
func (m *Machine) keepResponse(ev Event, notRun bool) Action {
	if m.keptResponse == 0 || m.keptNotRun {
		m.keptResponse, m.keptNotRun = ev.Attempt, notRun
	}
	return m.retryOrGiveUp(ev)
}

// retryOrGiveUp starts a retry if one is allowed, and otherwise ends the
// request. It waits while another attempt is pending.
func (m *Machine) retryOrGiveUp(ev Event) Action {
	if m.anyPending() {
		return Action{Kind: Wait}
	}
	if m.mayRetry(ev.At) {
		return m.pick(true)
	}
	return m.giveUp()
}

// mayRetry reports whether a retry is allowed before the deadline: up to
// MaxNotRunRetries times while no attempt may have run, and afterwards, for an
// idempotent request, up to Config.Retries times. A body that was sent and can't
// be sent again rules out both.
func (m *Machine) mayRetry(now time.Time) bool {
	if m.cfg.NoRetries || !now.Before(m.cfg.Deadline) {
		return false
	}
	if !m.mayHaveRun() {
		if m.cfg.BodyNotReplayable && m.anySent() {
			return false
		}
		return m.notRunRetries < MaxNotRunRetries
	}
	return m.cfg.Idempotent && !m.cfg.BodyNotReplayable && m.retries < m.cfg.Retries
}

func (m *Machine) pick(retry bool) Action {
	if retry && m.mayHaveRun() {
		m.retries++
	} else if retry {
		m.notRunRetries++
	}
	m.attempts = append(m.attempts, picking)
	return Action{Kind: Pick, Attempt: len(m.attempts), NeedsBudget: retry}
}

// hedge starts a second attempt of an idempotent request while the first one may
// receive a response. Unless Config.HedgeWhilePicking is set, the first one must have a
// target.
func (m *Machine) hedge(ev Event) Action {
	firstPending := m.phase == dispatched && len(m.attempts) == 1 && (m.InFlight() || m.cfg.HedgeWhilePicking && m.anyPending())
	if !firstPending || !m.cfg.Idempotent || m.cfg.BodyNotReplayable || m.cfg.NoRetries || !ev.At.Before(m.cfg.Deadline) {
		return Action{Kind: Wait}
	}
	// The hedge counts as a retry: a retry after both attempts would be one more
	// than the route allows.
	m.retries++
	m.attempts = append(m.attempts, picking)
	m.hedged = len(m.attempts)
	return Action{Kind: Pick, Attempt: m.hedged, NeedsBudget: true}
}

func (m *Machine) forward(attempt int) Action {
	m.phase = forwarding
	m.keptResponse = attempt
	return Action{Kind: Forward, Attempt: attempt}
}

func (m *Machine) stepForwarding(ev Event) Action {
	if ev.Attempt != m.keptResponse {
		return Action{Kind: Abandon, Attempt: ev.Attempt}
	}
	switch ev.Kind {
	case ResponseComplete:
		return m.finishAs(End{Outcome: m.completeOutcome()})
	case ResponseTruncated:
		return m.finishAs(End{Outcome: m.interruptedOutcome(), Reason: outcome.UpstreamLost})
	}
	return Action{Kind: Wait}
}

func (m *Machine) anyPending() bool {
	for _, st := range m.attempts {
		if st.pending() {
			return true
		}
	}
	return false
}

func (m *Machine) mayHaveRun() bool {
	for _, st := range m.attempts {
		if st.mayHaveRun() {
			return true
		}
	}
	return false
}

func (m *Machine) anySent() bool {
	for _, st := range m.attempts {
		if st.mayHaveRun() || st == answeredNotRun {
			return true
		}
	}
	return false
}
