package proxy

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/dialect"
	"github.com/chestnutfield/chestnutfield/hedge"
	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/patience"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// Options configures a Server. Tables and Balancer are required.
type Options struct {
	Tables   lb.Tables
	Balancer lb.Balancer
	// Admission admits or refuses requests before their first dispatch; nil
	// admits every request.
	Admission lb.Admission
	// Retries bounds retries; nil allows only retries of attempts that
	// certainly did not run.
	Retries lb.RetryBudget
	// ExtraAttempts is set when operators limit the copies of idempotent requests;
	// nil sends them as Limits.HedgeObjectiveFraction says, within Retries.
	ExtraAttempts *ExtraAttempts
	// Guard refuses requests that end targets; nil refuses none.
	Guard lb.RequestGuard
	// Quota admits the requests of workspaces within their quotas; nil sets none.
	Quota lb.Quota
	// Ledger ensures that keyed orders run at most once; nil refuses every
	// keyed order.
	Ledger lb.Ledger
	// Membership provides the number of hosts that share the connections of a
	// target; nil means one host.
	Membership lb.Membership
	// Clock is the clock that decisions use; nil selects the real one.
	Clock clockwork.Clock
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
	// Logger logs state changes; nil logs nothing.
	Logger *zap.Logger
	Limits Limits
	// PeerServer, when set, makes the server accept requests from other hosts
	// instead of callers.
	PeerServer *PeerServerOptions
	// PeerToken is sent with requests that are handed over to peers.
	PeerToken string
	// Responses counts and logs the responses that are not HTTP/1.1; nil does
	// neither. A Client has its own.
	Responses *http1.Monitor
	Upstream  upstream.Options
	// Client holds the connections to targets; nil creates one from Upstream.
	Client *upstream.Client
	// Dialect names the headers that callers and upstreams use; nil selects
	// the project's own names.
	Dialect *dialect.Dialect
	// Configured reports whether a configuration is in force; until then
	// every request is refused as not run. nil means always.
	Configured func() bool
	// TablesConfirmed reports whether the tables in force were the newest a short
	// time ago, so that a key that they don't contain is not a new one. nil means
	// always.
	TablesConfirmed func() bool
	// RoutesConfirmed reports the same of routes; nil selects TablesConfirmed.
	RoutesConfirmed func() bool
	// Patience estimates how long callers had waited before a request; nil takes each
	// request for a first one.
	Patience *patience.Estimator
	// RequestLog receives a record of each request when it ends; nil disables
	// the log.
	RequestLog RequestLog
}

// ExtraAttempts decides about the copies of idempotent requests.
type ExtraAttempts struct {
	// Delays says after what time a copy is sent. While it does not know,
	// Limits.HedgeObjectiveFraction does.
	Delays *hedge.Delays
	// Budget limits the copies; nil when the Balancer does. Queries then bounds how often
	// it is asked; nil sets no bound.
	Budget  lb.RetryBudget
	Queries *hedge.Queries
}

// Limits bounds what callers can use of the host. Zero values select the
// defaults.
type Limits struct {
	// HeaderBytes bounds the header of a request; a larger one is answered
	// with 431.
	HeaderBytes int
	// HeaderTimeout bounds the arrival of a header, counted from its first
	// byte.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection stays open between requests.
	IdleTimeout time.Duration
	// WriteStallTimeout is how long a caller may accept no byte of its
	// response.
	WriteStallTimeout time.Duration
	// BufferedBodyBytes bounds the request body that is buffered before
	// dispatch. Larger bodies are streamed and sent to one target only.
	BufferedBodyBytes int
	// UploadBufferBytes is the memory in which the bodies of all uploads together
	// are received whole before a target is chosen; bodies that don't fit are
	// streamed like all others. 0 streams all of them.
	UploadBufferBytes int
	// MaxKeyedBodyBytes bounds the body of an order with an Idempotency-Key; a
	// larger one is answered with 413.
	MaxKeyedBodyBytes int
	// BufferedResponseBytes bounds the response body that is buffered before
	// it is forwarded. Larger ones are streamed.
	BufferedResponseBytes int
	// BufferUnknownLength buffers responses of unannounced length too, up to
	// BufferedResponseBytes, so that a truncated one can be retried.
	BufferUnknownLength bool
	// HedgeObjectiveFraction is the fraction of a route's latency objective
	// after which a lookup is hedged, on routes that set no hedge delay of
	// their own and allow retries; 0 disables hedging on those routes.
	HedgeObjectiveFraction float64
	// RecordedResponseBytes bounds the response that is recorded with an
	// order key.
	RecordedResponseBytes int
	// HTTP10ResponseBytes bounds a response of unannounced length to an
	// HTTP/1.0 caller; a larger one is answered with 502.
	HTTP10ResponseBytes int
	// Timeout applies to routes that set none.
	Timeout time.Duration
	// RecordOutcomeTimeout bounds the call that gives an order's outcome to the
	// ledger.
	RecordOutcomeTimeout time.Duration
	// ShutdownDelay is how long idle connections stay open after a shutdown
	// begins, so that a request already on its way is still answered.
	ShutdownDelay time.Duration
	// Connections bounds the connections of all callers; 0 means no limit.
	Connections int
	// MaxCallerLabels bounds the number of callers with metric labels of
	// their own.
	MaxCallerLabels int
	// MaxWorkspaceLabels bounds the number of workspaces with metric labels of
	// their own.
	MaxWorkspaceLabels int
}

// DefaultLimits returns the limits that zero values select.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:           16 << 10,
		HeaderTimeout:         10 * time.Second,
		IdleTimeout:           75 * time.Second,
		WriteStallTimeout:     30 * time.Second,
		BufferedBodyBytes:     64 << 10,
		MaxKeyedBodyBytes:     1 << 20,
		BufferedResponseBytes: 64 << 10,
		RecordedResponseBytes: 16 << 10,
		HTTP10ResponseBytes:   8 << 20,
		Timeout:               30 * time.Second,
		RecordOutcomeTimeout:  2 * time.Second,
		ShutdownDelay:         250 * time.Millisecond,
		MaxCallerLabels:       64,
		MaxWorkspaceLabels:    256,
	}
}

// withDefaults replaces every zero limit by its default.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	orDefault(&l.HeaderBytes, d.HeaderBytes)
	orDefault(&l.HeaderTimeout, d.HeaderTimeout)
	orDefault(&l.IdleTimeout, d.IdleTimeout)
	orDefault(&l.WriteStallTimeout, d.WriteStallTimeout)
	orDefault(&l.BufferedBodyBytes, d.BufferedBodyBytes)
	orDefault(&l.MaxKeyedBodyBytes, d.MaxKeyedBodyBytes)
	orDefault(&l.BufferedResponseBytes, d.BufferedResponseBytes)
	orDefault(&l.RecordedResponseBytes, d.RecordedResponseBytes)
	orDefault(&l.HTTP10ResponseBytes, d.HTTP10ResponseBytes)
	orDefault(&l.Timeout, d.Timeout)
	orDefault(&l.RecordOutcomeTimeout, d.RecordOutcomeTimeout)
	orDefault(&l.ShutdownDelay, d.ShutdownDelay)
	orDefault(&l.MaxCallerLabels, d.MaxCallerLabels)
	orDefault(&l.MaxWorkspaceLabels, d.MaxWorkspaceLabels)
	return l
}

// orDefault replaces a value that is not positive.
func orDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

func (o Options) withDefaults() (Options, error) {
	if o.Tables == nil {
		return o, errors.New("proxy: Options.Tables is nil, a value is required")
	}
	if o.Balancer == nil {
		return o, errors.New("proxy: Options.Balancer is nil, a value is required")
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Dialect == nil {
		own := dialect.Default()
		o.Dialect = &own
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Upstream.Clock == nil {
		o.Upstream.Clock = o.Clock
	}
	if o.Client == nil {
		o.Upstream.Responses = o.Responses
		o.Client = upstream.New(o.Upstream)
	}
	if o.RoutesConfirmed == nil {
		o.RoutesConfirmed = o.TablesConfirmed
	}
	o.Limits = o.Limits.withDefaults()
	return o, nil
}
