package ledger

import (
	"time"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// rowMeaning is what an existing row means for a claim.
type rowMeaning uint8

const (
	// rowOwn: the row is this claim; an earlier attempt to write it took effect.
	rowOwn rowMeaning = iota + 1
	// rowReplaceable: the claim may replace the row, or no row exists.
	rowReplaceable
	// rowTaken: the row decides the result of the claim.
	rowTaken
	// rowUnreadable: the row can't be decoded.
	rowUnreadable
)

// expirySlack is how long after its expiry a row still counts, because clocks
// differ between hosts.
const expirySlack = time.Hour

// classifyRow returns what an existing row means for a claim by writer. The
// returned claim is set only with rowTaken.
func classifyRow(row *cloud.Row, writer string, fingerprint uint64, now time.Time) (rowMeaning, lb.Claim) {
	if row == nil {
		return rowReplaceable, lb.Claim{}
	}
	if row.Writer == writer {
		return rowOwn, lb.Claim{}
	}
	r, err := decodeRow(row)
	if err != nil {
		return rowUnreadable, lb.Claim{}
	}
	ended := r.State == stateDone || r.State == stateUnknown
	expired := !row.Expires.IsZero() && now.After(row.Expires.Add(expirySlack))
	if r.State == stateReleased || (ended && expired) {
		return rowReplaceable, lb.Claim{}
	}
	return rowTaken, claimOf(r, fingerprint)
}

// claimOf returns the result of a claim whose key has the record r.
func claimOf(r record, fingerprint uint64) lb.Claim {
	switch {
	case r.Fingerprint != fingerprint:
		return lb.Claim{State: lb.ClaimConflict, Outcome: outcome.NotRun}
	case r.State == stateDone:
		return lb.Claim{State: lb.ClaimDone, Response: r.Response, Outcome: outcome.Ran}
	default:
		return lb.Claim{State: lb.ClaimInFlight, Outcome: outcome.Unknown, RetryAfter: inFlightRetryAfter}
	}
}

// recordOf returns the row body for the outcome of a request.
func recordOf(host string, fingerprint uint64, o outcome.Outcome, response *lb.RecordedResponse) record {
	r := record{Host: host, Fingerprint: fingerprint, State: stateUnknown}
	switch o {
	case outcome.Ran:
		r.State, r.Response = stateDone, response
	case outcome.NotRun:
		r.State, r.Fingerprint = stateReleased, 0
	}
	return r
}
