package attempt

import (
	"cmp"
	"net/http"
	"time"

	"github.com/chestnutfield/chestnutfield/outcome"
)

// MaxSafeRetries is the number of further attempts that follow attempts which
// certainly did not run, whatever the route allows.
const MaxSafeRetries = 2

// Config describes the request. It does not change.
type Config struct {
	// Idempotent allows attempts after one that may have run.
	Idempotent bool
	// Retries is the highest number of such attempts.
	Retries int
	// NoRetries withdraws every further attempt.
	NoRetries bool
	// OneShot is true when the body can be sent only once.
	OneShot bool
	// Deadline is the time after which nothing new is started.
	Deadline time.Time
}

type tryState uint8

const (
	picking tryState = iota + 1
	connecting
	sent
	answered
	refusedNotRun
	failedUnsent
	lost
)

// live says that the attempt may still give an answer.
func (s tryState) live() bool { return s == picking || s == connecting || s == sent }

// mayHaveRun says that an upstream may have run the attempt.
func (s tryState) mayHaveRun() bool { return s == sent || s == answered || s == lost }

type phase uint8

const (
	received phase = iota
	dispatched
	forwarding
	ended
)

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	phase phase
	tries []tryState
	first [4]tryState
	// held is an attempt whose answer is kept while another is made.
	held     int
	heldSafe bool
	retries  int
	safe     int
	reason   outcome.Reason
	end      End
}

// New returns the machine of a request that was received.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg}
	m.tries = m.first[:0]
	return m
}

// Ended reports how the request ended; ok is false while it has not.
func (m *Machine) Ended() (end End, ok bool) { return m.end, m.phase == ended }

// Outcome says what is known now about whether the request ran.
func (m *Machine) Outcome() outcome.Outcome {
	if m.phase == ended {
		return m.end.Outcome
	}
	if m.mayHaveRun() {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// Live reports whether an attempt that was dispatched may still answer.
func (m *Machine) Live() bool {
	for _, t := range m.tries {
		if t == connecting || t == sent {
			return true
		}
	}
	return false
}

// Step feeds one event and returns what to do next.
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
	case HedgeDue:
		return m.hedge(ev)
	}
	if ev.Attempt < 1 || ev.Attempt > len(m.tries) {
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

func (m *Machine) refused(ev Event) Action {
	if m.phase != received {
		return Action{Kind: Wait}
	}
	return m.finish(ev.Reason)
}

func (m *Machine) expired() Action {
	if m.phase == forwarding {
		return m.finishAs(End{Outcome: outcome.Unknown, Reason: outcome.UpstreamTimeout})
	}
	if m.mayHaveRun() {
		return m.finish(outcome.UpstreamTimeout)
	}
	return m.finish(outcome.DeadlinePassed)
}

func (m *Machine) stepAttempt(ev Event) Action {
	st := &m.tries[ev.Attempt-1]
	switch {
	case ev.Kind == Picked && *st == picking:
		*st = connecting
		return Action{Kind: Dispatch, Attempt: ev.Attempt}
	case ev.Kind == NoTarget && *st == picking:
		*st = failedUnsent
		m.reason = ev.Reason
		return m.settle()
	case ev.Kind == Sent && *st == connecting:
		return m.send(ev, st)
	case ev.Kind == ConnectFailed && *st == connecting:
		*st = failedUnsent
		m.reason = ev.Reason
		return m.further(ev)
	case ev.Kind == Lost && *st == connecting:
		*st = failedUnsent
		m.reason = outcome.NoTarget
		return m.further(ev)
	case ev.Kind == Lost && *st == sent:
		*st = lost
		return m.further(ev)
	case ev.Kind == Header && *st == sent:
		return m.header(ev, st)
	}
	return Action{Kind: Wait}
}

// send lets an attempt write while there is time. Another attempt can't have
// run where that matters: only idempotent requests have two at once.
func (m *Machine) send(ev Event, st *tryState) Action {
	if !ev.At.Before(m.cfg.Deadline) {
		*st = failedUnsent
		return m.further(ev)
	}
	*st = sent
	return Action{Kind: Write, Attempt: ev.Attempt}
}

func (m *Machine) header(ev Event, st *tryState) Action {
	if ev.NotRun {
		*st = refusedNotRun
		return m.hold(ev, true)
	}
	*st = answered
	if m.cfg.Idempotent && retryable(ev.Status) {
		return m.hold(ev, false)
	}
	return m.forward(ev.Attempt)
}

// retryable says that another target may answer better.
func retryable(status int) bool {
	return status >= http.StatusInternalServerError &&
		status != http.StatusNotImplemented && status != http.StatusHTTPVersionNotSupported
}

// hold keeps an answer that is worth another attempt.
func (m *Machine) hold(ev Event, safe bool) Action {
	if m.held == 0 || m.heldSafe {
		m.held, m.heldSafe = ev.Attempt, safe
	}
	return m.further(ev)
}

// further starts another attempt when that is allowed.
func (m *Machine) further(ev Event) Action {
	if m.anyLive() {
		return Action{Kind: Wait}
	}
	if m.mayTryAgain(ev.At) {
		return m.pick(true)
	}
	return m.settle()
}

func (m *Machine) mayTryAgain(now time.Time) bool {
	if m.cfg.NoRetries || !now.Before(m.cfg.Deadline) {
		return false
	}
	if !m.mayHaveRun() {
		if m.cfg.OneShot && m.anySent() {
			return false
		}
		return m.safe < MaxSafeRetries
	}
	return m.cfg.Idempotent && !m.cfg.OneShot && m.retries < m.cfg.Retries
}

func (m *Machine) pick(further bool) Action {
	if further && m.mayHaveRun() {
		m.retries++
	} else if further {
		m.safe++
	}
	m.tries = append(m.tries, picking)
	return Action{Kind: Pick, Attempt: len(m.tries), Budgeted: further}
}

// hedge starts a second copy of an idempotent request while the first waits.
func (m *Machine) hedge(ev Event) Action {
	waits := m.phase == dispatched && len(m.tries) == 1 && m.anyLive()
	if !waits || !m.cfg.Idempotent || m.cfg.OneShot || m.cfg.NoRetries || !ev.At.Before(m.cfg.Deadline) {
		return Action{Kind: Wait}
	}
	// A further attempt after both would be one more than the route allows.
	m.retries++
	m.tries = append(m.tries, picking)
	return Action{Kind: Pick, Attempt: len(m.tries), Budgeted: true}
}

// settle ends a request that gets no further attempt.
func (m *Machine) settle() Action {
	if m.anyLive() {
		return Action{Kind: Wait}
	}
	if m.held != 0 && (!m.heldSafe || !m.mayHaveRun()) {
		return m.forward(m.held)
	}
	if m.mayHaveRun() {
		return m.finish(outcome.UpstreamLost)
	}
	m.reason = cmp.Or(m.reason, outcome.NoTarget)
	return m.finish(m.reason)
}

func (m *Machine) forward(attempt int) Action {
	m.phase = forwarding
	m.held = attempt
	return Action{Kind: Forward, Attempt: attempt}
}

func (m *Machine) stepForwarding(ev Event) Action {
	if ev.Attempt != m.held {
		return Action{Kind: Abandon, Attempt: ev.Attempt}
	}
	switch ev.Kind {
	case Answered:
		return m.finishAs(End{Outcome: m.ranOutcome()})
	case Truncated:
		return m.finishAs(End{Outcome: m.cutOutcome(), Reason: outcome.UpstreamLost})
	}
	return Action{Kind: Wait}
}

// ranOutcome is the outcome of a request whose answer was forwarded whole.
func (m *Machine) ranOutcome() outcome.Outcome {
	if m.tries[m.held-1] == refusedNotRun && !m.mayHaveRun() {
		return outcome.NotRun
	}
	return outcome.Ran
}

// cutOutcome is the outcome of a request whose forwarded answer ended early.
func (m *Machine) cutOutcome() outcome.Outcome {
	if m.mayHaveRun() {
		return outcome.Unknown
	}
	return outcome.NotRun
}

func (m *Machine) finish(reason outcome.Reason) Action {
	return m.finishAs(End{Outcome: m.cutOutcome(), Reason: reason})
}

func (m *Machine) finishAs(end End) Action {
	m.phase, m.end = ended, end
	return Action{Kind: Finish, End: end}
}

func (m *Machine) anyLive() bool {
	for _, t := range m.tries {
		if t.live() {
			return true
		}
	}
	return false
}

func (m *Machine) mayHaveRun() bool {
	for _, t := range m.tries {
		if t.mayHaveRun() {
			return true
		}
	}
	return false
}

func (m *Machine) anySent() bool {
	for _, t := range m.tries {
		if t.mayHaveRun() || t == refusedNotRun {
			return true
		}
	}
	return false
}
