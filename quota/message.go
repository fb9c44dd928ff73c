package quota

import (
	"time"

	"github.com/chestnutfield/chestnutfield/hostmsg"
)

// The kinds of messages.
const (
	kindDelegate hostmsg.Kind = iota + 60
	kindResponds
	kindContact
	kindToken
	kindReturn
)

// delegateNotice delegates the sender's part of the quotas of shards. Hosts is the
// number of hosts that the sender knows.
type delegateNotice struct {
	_      struct{} `cbor:",toarray"`
	Host   string
	Hosts  int
	Shards shardSet
}

// contactNotice asks whether a host responds.
type contactNotice struct {
	_    struct{} `cbor:",toarray"`
	Host string
}

// respondsNotice answers a delegateNotice or a contactNotice. Host is the sender.
type respondsNotice struct {
	_    struct{} `cbor:",toarray"`
	Host string
}

// tokenRequest asks the quota host for a token, by the quota that the tables of the
// sender say in their version. Times are in milliseconds.
type tokenRequest struct {
	_           struct{} `cbor:",toarray"`
	Workspace   string
	Rate, Burst float64
	Version     uint64
	MaxWait     int64
	// Bridged is the number of requests admitted without a token.
	Bridged int
}

// tokenResponse answers a tokenRequest. Wait is in microseconds, Fraction the part
// of the quota delegated to the quota host.
type tokenResponse struct {
	_                struct{} `cbor:",toarray"`
	Verdict          verdict
	Wait             int64
	Fraction, Tokens float32
}

func newTokenResponse(d decision) tokenResponse {
	return tokenResponse{Verdict: d.verdict, Wait: d.wait.Microseconds(), Fraction: float32(d.fraction), Tokens: float32(d.tokens)}
}

func (r tokenResponse) decision() decision {
	return decision{
		verdict: r.Verdict, wait: time.Duration(r.Wait) * time.Microsecond,
		fraction: float64(r.Fraction), tokens: float64(r.Tokens),
	}
}

// returnNotice gives back the token of the tokenRequest with a message ID, because
// the request never ran or the response came too late.
type returnNotice struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	MessageID uint64
	// Unanswered is true when no response arrived.
	Unanswered bool
}
