package ledger

import (
	"cmp"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/cloud"
)

// Options configures a Ledger.
type Options struct {
	Table cloud.Table
	// Host is the name of this host; it is part of every writer.
	Host string
	// Incarnation tells this process from earlier ones of the same name; 0
	// takes the time of New in nanoseconds.
	Incarnation uint64
	// Retention is how long a key is kept.
	Retention time.Duration
	// ClaimTimeout bounds the wait of one Claim.
	ClaimTimeout time.Duration
	// CallTimeout bounds one call of the table service.
	CallTimeout time.Duration
	// ClaimCallsPerSecond and OutcomeCallsPerSecond bound the calls of this
	// host; below them nothing waits to be batched. Outcomes are recorded after
	// the answer and gather for longer.
	ClaimCallsPerSecond, OutcomeCallsPerSecond float64
	// ClaimCallsInFlight is the number of claim calls open at once.
	ClaimCallsInFlight int
	// AnswerBytes is the largest body that is kept with an order.
	AnswerBytes int
	// PendingLimit is the number of orders that may wait for their end to be
	// recorded before claims are refused.
	PendingLimit int
	// PendingAnswerBytes bounds the kept bodies that wait to be recorded.
	PendingAnswerBytes int
	// BreakerAfter is the number of failed calls in a row that open the
	// breaker; ProbeInterval is the time between two probes while it is open.
	BreakerAfter  int
	ProbeInterval time.Duration
	Clock         clockwork.Clock
	Logger        *zap.Logger
	// Registerer takes the metrics; nil leaves them out.
	Registerer prometheus.Registerer
}

// Hints for callers.
const (
	inFlightRetryAfter    = 2 * time.Second
	unavailableRetryAfter = time.Second
)

func (o *Options) setDefaults() {
	const (
		retention          = 24 * time.Hour
		claimTimeout       = 800 * time.Millisecond
		callTimeout        = 400 * time.Millisecond
		claimCalls         = 15
		outcomeCalls       = 2
		claimCallsInFlight = 2
		answerBytes        = 16 << 10
		pendingLimit       = 10_000
		pendingAnswerBytes = 8 << 20
		breakerAfter       = 3
		probeInterval      = time.Second
	)
	o.Retention = cmp.Or(o.Retention, retention)
	o.ClaimTimeout = cmp.Or(o.ClaimTimeout, claimTimeout)
	o.CallTimeout = cmp.Or(o.CallTimeout, callTimeout)
	o.ClaimCallsPerSecond = cmp.Or(o.ClaimCallsPerSecond, claimCalls)
	o.OutcomeCallsPerSecond = cmp.Or(o.OutcomeCallsPerSecond, outcomeCalls)
	o.ClaimCallsInFlight = cmp.Or(o.ClaimCallsInFlight, claimCallsInFlight)
	o.AnswerBytes = cmp.Or(o.AnswerBytes, answerBytes)
	o.PendingLimit = cmp.Or(o.PendingLimit, pendingLimit)
	o.PendingAnswerBytes = cmp.Or(o.PendingAnswerBytes, pendingAnswerBytes)
	o.BreakerAfter = cmp.Or(o.BreakerAfter, breakerAfter)
	o.ProbeInterval = cmp.Or(o.ProbeInterval, probeInterval)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(o.Clock.Now().UnixNano())
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}

func (o *Options) validate() error {
	switch {
	case o.Table == nil:
		return errors.New("ledger: Table is nil")
	case o.Host == "":
		return errors.New("ledger: Host is empty")
	case o.Retention < 0 || o.ClaimTimeout < 0 || o.CallTimeout < 0 || o.ProbeInterval < 0:
		return errors.New("ledger: durations must be positive")
	case o.ClaimCallsPerSecond < 0 || o.OutcomeCallsPerSecond < 0 || o.ClaimCallsInFlight < 0:
		return errors.New("ledger: call rates and ClaimCallsInFlight must be positive")
	default:
		return nil
	}
}
