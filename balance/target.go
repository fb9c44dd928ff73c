package balance

import (
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/ports"
)

// target is what a shard knows of one target.
type target struct {
	addr    netip.AddrPort
	domain  string
	drained bool
	network time.Duration
	know    *load.Knowledge
	health  health
	// open holds the attempts in flight, oldest first.
	open []*attempt
	// answered is the time of the last answer to a measured attempt.
	answered time.Time
}

// silence returns the age of the oldest measured attempt in flight since which
// the target has answered no other.
func (t *target) silence(now time.Time) time.Duration {
	a, ok := lo.Find(t.open, func(a *attempt) bool { return a.measured })
	if !ok || t.answered.After(a.sent) {
		return 0
	}
	return now.Sub(a.sent)
}

// send counts an attempt.
func (t *target) send(now time.Time, a *attempt, estimate float64) {
	a.queue = estimate
	a.claimed = t.know.Sent(now)
	t.open = append(t.open, a)
}

// end takes the end of an attempt.
func (t *target) end(now time.Time, a *attempt, d ports.Feedback, pool typical) {
	t.know.Ended()
	t.open = slices.DeleteFunc(t.open, func(o *attempt) bool { return o == a })
	t.health.ended(d.Verdict)
	switch {
	case d.Verdict == ports.Succeeded && a.measured:
		t.answered = now
		t.know.Answered(now, d.Latency, a.queue, a.claimed, pool.service)
	case d.Verdict == ports.Shed:
		t.know.Full(now)
	}
	t.report(now, d.LoadReport, pool)
}

// report takes a load report, "" when there is none.
func (t *target) report(now time.Time, s string, pool typical) {
	if s == "" {
		return
	}
	r, err := load.Parse(s)
	if err != nil {
		t.know.BadReport()
		return
	}
	t.know.Report(now, r, t.arrived(now), pool.others)
}

// arrivalTime is the time after which an attempt has surely reached its target.
const arrivalTime = 10 * time.Millisecond

// arrived returns the number of attempts that have surely reached the target.
func (t *target) arrived(now time.Time) int {
	return lo.CountBy(t.open, func(a *attempt) bool { return now.Sub(a.sent) >= arrivalTime })
}

// The states of a target on status pages.
const (
	// StateReady: takes its full share.
	StateReady = "ready"
	// StateRamping: takes a share that grows.
	StateRamping = "ramping"
	// StateSetAside: takes nothing for a while.
	StateSetAside = "set-aside"
	// StateTrial: takes one request at a time until some succeed.
	StateTrial = "trial"
	// StateLeaving: takes nothing new.
	StateLeaving = "leaving"
)

// stateName describes the target for status pages.
func (t *target) stateName(now time.Time) string {
	if t.health.phase == ready && t.health.weight(now) < 1 {
		return StateRamping
	}
	return t.health.String()
}
