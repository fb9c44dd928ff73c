package placement

import (
	"time"

	"github.com/chestnutfield/chestnutfield/lb"
)

const (
	// failureWeight is the weight of one call in the moving average of failed
	// calls.
	failureWeight = 0.25
	// maxConsecutiveFailures is the number of consecutive failures that ejects
	// a target; a connection that can't be opened ejects it at once.
	maxConsecutiveFailures = 2
	// maxConsecutiveSheds is the number of consecutive refusals by a target
	// that ejects it: a target that is merely full reports so and is not sent
	// requests.
	maxConsecutiveSheds = 3
	// minEjection is the length of the first ejection after a success; it
	// doubles with each further one, up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// wrongTargetEjection is the ejection of a target at whose address another
	// one answers: by its end the registry names the new address or has dropped
	// the target.
	wrongTargetEjection = 5 * time.Second
)

// health decides whether a target may be chosen, by the outcomes of calls alone
// (outlier ejection). It does no I/O and reads no clock.
type health struct {
	failureRate         float64
	consecutiveFailures int
	consecutiveSheds    int
	// ejections is the number of ejections since the last success.
	ejections    int
	ejectedUntil time.Time
	// halfOpen allows one call at a time after an ejection, until one succeeds.
	halfOpen bool
}

// available reports whether the target may be chosen; inFlight is the number of
// this host's calls there.
func (h *health) available(now time.Time, inFlight int) bool {
	return !now.Before(h.ejectedUntil) && (!h.halfOpen || inFlight == 0)
}

// recordEnd records the outcome of a call.
func (h *health) recordEnd(now time.Time, f lb.Feedback) {
	switch {
	case f.WrongTarget:
		h.ejectedUntil, h.halfOpen = now.Add(wrongTargetEjection), true
	case f.Verdict == lb.Succeeded:
		h.failureRate -= failureWeight * h.failureRate
		h.consecutiveFailures, h.consecutiveSheds, h.ejections, h.halfOpen = 0, 0, 0, false
	case f.Verdict == lb.Shed:
		h.consecutiveSheds++
		if h.consecutiveSheds >= maxConsecutiveSheds {
			h.eject(now)
		}
	case f.Verdict == lb.Failed || f.Verdict == lb.TimedOut:
		h.failureRate += failureWeight * (1 - h.failureRate)
		h.consecutiveFailures++
		if f.ConnectFailed || h.consecutiveFailures >= maxConsecutiveFailures || h.halfOpen {
			h.eject(now)
		}
	}
}

func (h *health) eject(now time.Time) {
	period := min(minEjection<<min(h.ejections, 10), maxEjection)
	h.ejections++
	h.consecutiveFailures, h.consecutiveSheds = 0, 0
	h.ejectedUntil, h.halfOpen = now.Add(period), true
}
