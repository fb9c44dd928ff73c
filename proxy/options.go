package proxy

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/dialect"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// Options wires a Server. Tables and Balancer are required.
type Options struct {
	Tables   ports.Tables
	Balancer ports.Balancer
	// Admission is asked before dispatch; nil admits every request.
	Admission ports.Admission
	// Retries bounds further attempts; nil allows none but those that follow
	// attempts which certainly did not run.
	Retries ports.RetryBudget
	// Ledger keeps orders at most once; nil refuses every keyed order.
	Ledger ports.Ledger
	// Membership gives the divisor of shared limits; nil stands for one host.
	Membership ports.Membership
	// Clock is the clock of decisions; nil selects the real one.
	Clock clockwork.Clock
	// Registerer takes the metrics; nil registers none.
	Registerer prometheus.Registerer
	// Logger writes changes of state; nil writes none.
	Logger *zap.Logger
	Limits Limits
	// PeerSide, when set, makes the server take requests from other hosts in
	// place of callers.
	PeerSide *PeerSide
	// PeerToken is sent with requests that are handed over to peers.
	PeerToken string
	Upstream  upstream.Options
	// Client holds the connections to targets; nil makes one by Upstream.
	Client *upstream.Client
	// Dialect names the headers of callers and upstreams; nil selects the
	// product's own.
	Dialect *dialect.Dialect
	// Configured says that a configuration is in force; until then every
	// request is refused as not run. nil stands for always.
	Configured func() bool
	// RequestLog is told how each request ended; nil tells nobody.
	RequestLog RequestLog
}

// Limits bounds what a caller can ask of the host. Zero values select the
// defaults.
type Limits struct {
	// HeaderBytes bounds the header of a request (431 beyond).
	HeaderBytes int
	// HeaderTimeout bounds the arrival of a header, from its first byte.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a kept connection waits for a request.
	IdleTimeout time.Duration
	// WriteStall is how long a caller may take no byte of its answer.
	WriteStall time.Duration
	// HeldBodyBytes bounds the request body that is held before dispatch.
	// Larger ones are streamed and sent to one target only.
	HeldBodyBytes int
	// KeyedBodyBytes bounds the body of an order with an Idempotency-Key
	// (413 beyond).
	KeyedBodyBytes int
	// HeldAnswerBytes bounds the answer body that is held before it is
	// given. Larger ones are streamed.
	HeldAnswerBytes int
	// HoldUnknownLength holds answers of unannounced length too, up to
	// HeldAnswerBytes, so that one that breaks off can be tried again.
	HoldUnknownLength bool
	// HedgeShare is the part of a route's objective after which a second copy
	// of a lookup is sent, on routes that name no time of their own; 0 sends
	// none there.
	HedgeShare float64
	// RecordBytes bounds the answer that is recorded with an order key.
	RecordBytes int
	// PlainAnswerBytes bounds an answer of unannounced length to an HTTP/1.0
	// caller (502 beyond).
	PlainAnswerBytes int
	// Timeout is for routes that name none.
	Timeout time.Duration
	// SettleTimeout bounds the recording of an order's end.
	SettleTimeout time.Duration
	// LastRequests is how long kept connections stay open after a stop
	// begins, so that a request on its way is still answered.
	LastRequests time.Duration
	// Connections bounds the connections of all callers; 0 sets no bound.
	Connections int
	// CallerLabels bounds the callers that have metrics of their own.
	CallerLabels int
}

// DefaultLimits returns the limits that zero values select.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:      16 << 10,
		HeaderTimeout:    10 * time.Second,
		IdleTimeout:      75 * time.Second,
		WriteStall:       30 * time.Second,
		HeldBodyBytes:    64 << 10,
		KeyedBodyBytes:   1 << 20,
		HeldAnswerBytes:  64 << 10,
		RecordBytes:      16 << 10,
		PlainAnswerBytes: 8 << 20,
		Timeout:          30 * time.Second,
		SettleTimeout:    2 * time.Second,
		LastRequests:     250 * time.Millisecond,
		CallerLabels:     64,
	}
}

// withDefaults fills every zero limit.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	orDefault(&l.HeaderBytes, d.HeaderBytes)
	orDefault(&l.HeaderTimeout, d.HeaderTimeout)
	orDefault(&l.IdleTimeout, d.IdleTimeout)
	orDefault(&l.WriteStall, d.WriteStall)
	orDefault(&l.HeldBodyBytes, d.HeldBodyBytes)
	orDefault(&l.KeyedBodyBytes, d.KeyedBodyBytes)
	orDefault(&l.HeldAnswerBytes, d.HeldAnswerBytes)
	orDefault(&l.RecordBytes, d.RecordBytes)
	orDefault(&l.PlainAnswerBytes, d.PlainAnswerBytes)
	orDefault(&l.Timeout, d.Timeout)
	orDefault(&l.SettleTimeout, d.SettleTimeout)
	orDefault(&l.LastRequests, d.LastRequests)
	orDefault(&l.CallerLabels, d.CallerLabels)
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
		return o, errors.New("proxy options: Tables is required")
	}
	if o.Balancer == nil {
		return o, errors.New("proxy options: Balancer is required")
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Dialect == nil {
		own := dialect.Own()
		o.Dialect = &own
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Upstream.Clock == nil {
		o.Upstream.Clock = o.Clock
	}
	if o.Client == nil {
		o.Client = upstream.New(o.Upstream)
	}
	o.Limits = o.Limits.withDefaults()
	return o, nil
}
