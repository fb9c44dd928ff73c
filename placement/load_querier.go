package placement

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/dialect"
	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// The ways in which a queried target reports no load.
var (
	// ErrNoLoadReport means that the response carries no load report.
	ErrNoLoadReport = errors.New("response to the load query carries no load report; the target's load is unknown")
	// ErrWrongTarget means that another target answered at the address.
	ErrWrongTarget = errors.New("another target answered the load query; the target is not chosen")
)

// LoadQuerier queries the load of a target.
type LoadQuerier interface {
	// QueryLoad returns the load report of t from its health path. The error
	// matches ErrNoLoadReport or ErrWrongTarget, or is that of the connection
	// or of parsing the report.
	QueryLoad(ctx context.Context, t registry.Target, path string) (load.Report, error)
}

// HTTPLoadQuerier queries a target's health path over the connections that
// requests use as well.
type HTTPLoadQuerier struct {
	Client  *upstream.Client
	Dialect dialect.Dialect
	// Observer receives what the responses say about the requests that the targets
	// take; nil ignores it.
	Observer SignalObserver
}

// SignalObserver receives what responses to load queries say.
type SignalObserver interface {
	RecordSignal(instance registry.Instance, s backpressure.Signal)
	RecordMalformed(instance registry.Instance, err error)
}

// observe passes on what a response says. It never shows that a target has no rate
// limit: health checks may be answered without the headers of other responses.
func (q HTTPLoadQuerier) observe(instance registry.Instance, x *upstream.Exchange) {
	if q.Observer == nil {
		return
	}
	s, err := q.Dialect.Signal(x.Header().StatusCode(), x.HeaderValues)
	if err != nil {
		q.Observer.RecordMalformed(instance, err)
	}
	s.HeardAt = time.Now()
	if s.Limited {
		s.SentAt = s.HeardAt
	}
	q.Observer.RecordSignal(instance, s)
}

// maxQueryConnections bounds the connections to one target that load queries
// open.
const maxQueryConnections = 32

// Connect implements Connector.
func (q HTTPLoadQuerier) Connect(ctx context.Context, t registry.Target) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Second)
	}
	exchange, err := q.Client.Open(ctx, upstream.OpenOptions{Target: t.Addr, Limit: math.MaxInt, Deadline: deadline, New: true})
	if err != nil {
		return err
	}
	exchange.Close()
	return nil
}

// QueryLoad implements LoadQuerier. Without a deadline in ctx it gives up after
// one second.
func (q HTTPLoadQuerier) QueryLoad(ctx context.Context, t registry.Target, path string) (load.Report, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Second)
	}
	exchange, err := q.Client.Open(ctx, upstream.OpenOptions{Target: t.Addr, Limit: maxQueryConnections, Deadline: deadline, Idempotent: true})
	if err != nil {
		return load.Report{}, err
	}
	defer exchange.Close()
	header := "GET " + path + " HTTP/1.1\r\nHost: " + t.Addr.String() + "\r\n\r\n"
	if err := exchange.Send([]byte(header), nil); err != nil {
		return load.Report{}, err
	}
	if err := exchange.ReadHeader(false); err != nil {
		return load.Report{}, err
	}
	if err := exchange.DiscardBody(); err != nil {
		return load.Report{}, err
	}
	if id := exchange.HeaderValue(q.Dialect.Identity); id != "" && id != t.ID {
		return load.Report{}, ErrWrongTarget
	}
	q.observe(t.Instance, exchange)
	text := exchange.HeaderValue(q.Dialect.Load)
	if text == "" {
		return load.Report{}, ErrNoLoadReport
	}
	return q.Dialect.ParseLoad(text)
}
