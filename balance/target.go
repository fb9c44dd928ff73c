package balance

import (
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/load"
)

// target is the state of one target of a pool, guarded by the pool's lock.
type target struct {
	addr          netip.AddrPort
	failureDomain string
	// drainListed is true when PoolSpec.Drain lists the target.
	drainListed  bool
	networkDelay time.Duration
	// cold is nil when no pool of the target has a warm-up rate.
	cold      *coldTarget
	tracker   *load.Tracker
	health    health
	rejection *rejection
	// returnedAt is when a request of another host last ended an ejection.
	returnedAt time.Time
	// inFlight holds the attempts in flight, oldest first.
	inFlight []*attempt
	// lastAnswered is the time of the last successful response to a measured
	// attempt.
	lastAnswered time.Time
}

// unansweredFor returns the age of the oldest measured attempt in flight, or 0
// when there is none or the target has answered another since.
func (t *target) unansweredFor(now time.Time) time.Duration {
	a, ok := lo.Find(t.inFlight, func(a *attempt) bool { return a.measured })
	if !ok || t.lastAnswered.After(a.sent) {
		return 0
	}
	return now.Sub(a.sent)
}

// returnsAt returns when an ejected target, or one that gets trial requests only, is
// tried next.
func (t *target) returnsAt(now time.Time) time.Time {
	if t.rejection.restricted(now) {
		return t.rejection.returnsAt()
	}
	return t.health.ejectedUntil
}

// addAttempt counts an attempt as in flight.
func (t *target) addAttempt(now time.Time, a *attempt, estimate float64) {
	a.estimate = estimate
	a.reported = t.tracker.Sent(now)
	t.inFlight = append(t.inFlight, a)
}

// endAttempt records the result of an attempt.
func (t *target) endAttempt(now time.Time, a *attempt, f lb.Feedback, pool poolStats) {
	t.tracker.Ended()
	t.inFlight = slices.DeleteFunc(t.inFlight, func(o *attempt) bool { return o == a })
	t.health.recordVerdict(f.Verdict)
	switch {
	case f.Verdict == lb.Succeeded && a.measured:
		t.lastAnswered = now
		t.tracker.Succeeded(now, f.Latency, a.estimate, a.reported, pool.serviceTime)
	case f.Verdict == lb.Shed:
		t.tracker.Shed(now)
	}
	t.applyReport(now, f.LoadReport, pool)
}

// applyReport records a load report; "" means that there is none.
func (t *target) applyReport(now time.Time, s string, pool poolStats) {
	if s == "" {
		return
	}
	r, err := load.Parse(s)
	if err != nil {
		t.tracker.BadReport()
		return
	}
	t.tracker.Report(now, r, t.arrived(now), pool.others)
}

// arrivalDelay is the time after which an attempt is assumed to have reached its
// target.
const arrivalDelay = 10 * time.Millisecond

// arrived returns the number of attempts in flight that are assumed to have
// reached the target.
func (t *target) arrived(now time.Time) int {
	return lo.CountBy(t.inFlight, func(a *attempt) bool { return now.Sub(a.sent) >= arrivalDelay })
}

// The states of a target as shown on status pages.
const (
	// StateReady: receives its normal share of requests.
	StateReady = "ready"
	// StateRamping: receives a growing share of requests.
	StateRamping = "ramping"
	// StateEjected: the target is ejected and receives no requests for a while.
	StateEjected = "set-aside"
	// StateTrial: receives one request at a time until some succeed.
	StateTrial = "trial"
	// StateDraining: the target is draining and receives no new requests.
	StateDraining = "leaving"
)

// stateName returns the state of the target, StateDraining excepted.
func (t *target) stateName(now time.Time) string {
	if t.health.phase == ready && t.health.weight(now) < 1 {
		return StateRamping
	}
	return t.health.String()
}
