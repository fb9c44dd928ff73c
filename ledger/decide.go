package ledger

import (
	"time"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
)

// finding is what a row in the way of a claim means.
type finding uint8

const (
	// findOurs: the row is this claim; an earlier write of it took effect.
	findOurs finding = iota + 1
	// findFree: the key may be claimed in place of the row.
	findFree
	// findTaken: the claim is answered by what the row says.
	findTaken
	// findBad: the row can't be understood.
	findBad
)

// expirySlack covers clocks that differ between hosts.
const expirySlack = time.Hour

// judge says what the row found means for a claim by writer. The claim is only
// meaningful with findTaken.
func judge(row *cloud.Row, writer string, fingerprint uint64, now time.Time) (finding, ports.Claim) {
	if row == nil {
		return findFree, ports.Claim{}
	}
	if row.Writer == writer {
		return findOurs, ports.Claim{}
	}
	r, err := decodeRow(row)
	if err != nil {
		return findBad, ports.Claim{}
	}
	ended := r.State == stateDone || r.State == stateUnknown
	expired := !row.Expires.IsZero() && now.After(row.Expires.Add(expirySlack))
	if r.State == stateReleased || (ended && expired) {
		return findFree, ports.Claim{}
	}
	return findTaken, answerOf(r, fingerprint)
}

// answerOf returns the claim's answer when r stands under its key.
func answerOf(r record, fingerprint uint64) ports.Claim {
	switch {
	case r.Fingerprint != fingerprint:
		return ports.Claim{State: ports.ClaimConflict, Outcome: outcome.NotRun}
	case r.State == stateDone:
		return ports.Claim{State: ports.ClaimDone, Answer: r.Answer, Outcome: outcome.Ran}
	default:
		return ports.Claim{State: ports.ClaimInFlight, Outcome: outcome.Unknown, RetryAfter: inFlightRetryAfter}
	}
}

// recordOf returns the row body for the end of a request.
func recordOf(host string, fingerprint uint64, o outcome.Outcome, a *ports.RecordedAnswer) record {
	r := record{Host: host, Fingerprint: fingerprint, State: stateUnknown}
	switch o {
	case outcome.Ran:
		r.State, r.Answer = stateDone, a
	case outcome.NotRun:
		r.State, r.Fingerprint = stateReleased, 0
	}
	return r
}
