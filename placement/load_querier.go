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

// Probe implements Prober. Without a path it only opens a connection.
func (q HTTPLoadQuerier) Probe(ctx context.Context, t registry.Target, path string) error {
	exchange, err := q.open(ctx, t, upstream.OpenOptions{Limit: math.MaxInt, New: true})
	if err != nil {
		return err
	}
	defer exchange.Close()
	if path == "" {
		return nil
	}
	return q.get(exchange, t, path)
}

// open opens an exchange that ends with the context or after one second.
func (q HTTPLoadQuerier) open(ctx context.Context, t registry.Target, o upstream.OpenOptions) (*upstream.Exchange, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Second)
	}
	o.Target, o.Deadline = t.Addr, deadline
	return q.Client.Open(ctx, o)
}

// maxOtherResponses bounds the responses to other requests that are skipped before the
// response to a query.
const maxOtherResponses = 4

// errOtherRequest: only responses to requests arrived.
var errOtherRequest = errors.New("the first 4 responses to the load query carry the ID of a request; the target's load is unknown")

// get sends a request for a path and reads the response. A response with the ID of a
// request, and without the target's identity that responses to queries carry, is a copy
// that a faulty target wrote again.
func (q HTTPLoadQuerier) get(exchange *upstream.Exchange, t registry.Target, path string) error {
	header := "GET " + path + " HTTP/1.1\r\nHost: " + t.Addr.String() + "\r\n\r\n"
	if err := exchange.Send([]byte(header), nil); err != nil {
		return err
	}
	for range maxOtherResponses {
		if err := exchange.ReadHeader(false); err != nil {
			return err
		}
		if exchange.HeaderValue(q.Dialect.RequestID) == "" || exchange.HeaderValue(q.Dialect.Identity) != "" {
			return exchange.DiscardBody()
		}
		if err := exchange.Skip(); err != nil {
			return err
		}
	}
	return errOtherRequest
}

// QueryLoad implements LoadQuerier. Without a deadline in ctx it gives up after
// one second.
func (q HTTPLoadQuerier) QueryLoad(ctx context.Context, t registry.Target, path string) (load.Report, error) {
	exchange, err := q.open(ctx, t, upstream.OpenOptions{Limit: maxQueryConnections, Idempotent: true})
	if err != nil {
		return load.Report{}, err
	}
	defer exchange.Close()
	if err := q.get(exchange, t, path); err != nil {
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
