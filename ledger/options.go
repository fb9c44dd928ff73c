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
	// Host is the name of this host; it is part of every writer ID.
	Host string
	// Incarnation distinguishes this process from earlier ones on the same
	// host; 0 selects the time of New in Unix nanoseconds.
	Incarnation uint64
	// Retention is how long the row of a key is kept.
	Retention time.Duration
	// ClaimTimeout is the maximum time that one Claim waits.
	ClaimTimeout time.Duration
	// CallTimeout is the timeout of one call to the table service.
	CallTimeout time.Duration
	// ClaimCallsPerSecond and OutcomeCallsPerSecond limit the calls of this
	// host to the table service; below these rates no write waits to be
	// batched. No caller waits until an outcome is recorded, so the limit for
	// outcomes can be lower and their batches larger.
	ClaimCallsPerSecond, OutcomeCallsPerSecond float64
	// ClaimCallsInFlight is the number of concurrent claim calls.
	ClaimCallsInFlight int
	// MaxResponseBytes is the size of the largest response body that is stored.
	MaxResponseBytes int
	// MaxPendingOrders is the number of orders with an unrecorded outcome or
	// release at which new claims are refused.
	MaxPendingOrders int
	// MaxPendingResponseBytes limits the total size of the response bodies that
	// wait to be recorded; beyond it, responses are not stored.
	MaxPendingResponseBytes int
	// BreakerFailures is the number of consecutive failed calls that opens the
	// circuit breaker; ProbeInterval is the time between probes while it is
	// open.
	BreakerFailures int
	ProbeInterval   time.Duration
	Clock           clockwork.Clock
	Logger          *zap.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// Retry-after times given to callers.
const (
	inFlightRetryAfter    = 2 * time.Second
	unavailableRetryAfter = time.Second
)

func (o *Options) setDefaults() {
	const (
		retention               = 24 * time.Hour
		claimTimeout            = 800 * time.Millisecond
		callTimeout             = 400 * time.Millisecond
		claimCalls              = 15
		outcomeCalls            = 2
		claimCallsInFlight      = 2
		maxResponseBytes        = 16 << 10
		maxPendingOrders        = 10_000
		maxPendingResponseBytes = 8 << 20
		breakerFailures         = 3
		probeInterval           = time.Second
	)
	o.Retention = cmp.Or(o.Retention, retention)
	o.ClaimTimeout = cmp.Or(o.ClaimTimeout, claimTimeout)
	o.CallTimeout = cmp.Or(o.CallTimeout, callTimeout)
	o.ClaimCallsPerSecond = cmp.Or(o.ClaimCallsPerSecond, claimCalls)
	o.OutcomeCallsPerSecond = cmp.Or(o.OutcomeCallsPerSecond, outcomeCalls)
	o.ClaimCallsInFlight = cmp.Or(o.ClaimCallsInFlight, claimCallsInFlight)
	o.MaxResponseBytes = cmp.Or(o.MaxResponseBytes, maxResponseBytes)
	o.MaxPendingOrders = cmp.Or(o.MaxPendingOrders, maxPendingOrders)
	o.MaxPendingResponseBytes = cmp.Or(o.MaxPendingResponseBytes, maxPendingResponseBytes)
	o.BreakerFailures = cmp.Or(o.BreakerFailures, breakerFailures)
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
		return errors.New("ledger: Options.Table is nil")
	case o.Host == "":
		return errors.New("ledger: Options.Host is empty")
	case o.Retention < 0 || o.ClaimTimeout < 0 || o.CallTimeout < 0 || o.ProbeInterval < 0:
		return errors.New("ledger: Retention, ClaimTimeout, CallTimeout and ProbeInterval must not be negative")
	case o.ClaimCallsPerSecond < 0 || o.OutcomeCallsPerSecond < 0 || o.ClaimCallsInFlight < 0:
		return errors.New("ledger: ClaimCallsPerSecond, OutcomeCallsPerSecond and ClaimCallsInFlight must not be negative")
	default:
		return nil
	}
}
