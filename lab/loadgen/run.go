package loadgen

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/lab/workload"
)

// maxConnections bounds the connections to one entry host.
const maxConnections = 4096

// Hosts answers which entry hosts the platform's balancer spreads callers over.
type Hosts interface {
	// Addresses returns the IP:PORT of the hosts that are believed live.
	Addresses() []string
}

// Options configures a run.
type Options struct {
	Hosts   Hosts
	Classes []Class
	// Timeout is the time after which a caller gives up.
	Timeout time.Duration
	// CallerDelay is the one-way delay between callers and entry hosts; it is
	// added to the latency twice and not waited for.
	CallerDelay time.Duration
	// OnProgress is called about once a second with the requests ended so
	// far; nil reports nothing.
	OnProgress func(ended, planned int)
}

// End is how a request ended for its caller.
type End uint8

// The ends.
const (
	// Answered: the caller's own answer, whole.
	Answered End = iota + 1
	// NotRun: refused, and said not to have run.
	NotRun
	// Unknown: said that it may have run.
	Unknown
	// InFlight: another copy of the order is in flight or its end is unknown.
	InFlight
	// Failed: another error answer.
	Failed
	// Lost: no answer, or a connection cut before the announced end.
	Lost
	// Wrong: an answer to another request.
	Wrong
	// Truncated: a shorter body that ended cleanly.
	Truncated
)

// String names the end.
func (e End) String() string {
	return [...]string{"", "answered", "not-run", "unknown", "in-flight", "failed", "lost", "wrong", "truncated"}[e]
}

// Record is what happened to one request.
type Record struct {
	Request Request
	// Host is the address of the entry host that it was sent to.
	Host   string
	End    End
	Status int
	// Latency is the time from the intended start, caller delay included.
	Latency time.Duration
	// RetryAfter says that a refusal told the caller when to come back.
	RetryAfter bool
}

// Run sends the plan and returns one record a request, in the plan's order.
func Run(ctx context.Context, o Options, plan []Request) []Record {
	r := runner{opts: o, clients: map[string]*fasthttp.HostClient{}, records: make([]Record, len(plan))}
	stop := r.reportProgress()
	defer stop()
	var wg sync.WaitGroup
	start := time.Now()
	for i, req := range plan {
		if !waitUntil(ctx, start.Add(req.At)) {
			r.records = r.records[:i]
			break
		}
		wg.Go(func() {
			r.records[i] = r.send(req, start.Add(req.At))
			r.ended.Add(1)
		})
	}
	wg.Wait()
	r.close()
	return r.records
}

// waitUntil waits for a time; false when the context ended.
func waitUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

type runner struct {
	opts    Options
	records []Record
	ended   atomic.Int64

	mu      sync.Mutex
	clients map[string]*fasthttp.HostClient
}

func (r *runner) reportProgress() (stop func()) {
	if r.opts.OnProgress == nil {
		return func() {}
	}
	planned := len(r.records)
	tick := time.NewTicker(time.Second)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-tick.C:
				r.opts.OnProgress(int(r.ended.Load()), planned)
			case <-done:
				return
			}
		}
	}()
	return func() { tick.Stop(); close(done) }
}

func (r *runner) client(addr string) *fasthttp.HostClient {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.clients[addr]; c != nil {
		return c
	}
	c := &fasthttp.HostClient{
		Addr: addr, MaxConns: maxConnections, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:       func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, r.opts.Timeout) },
	}
	r.clients[addr] = c
	return c
}

func (r *runner) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.clients {
		c.CloseIdleConnections()
	}
}

// send sends one request once and judges its answer.
func (r *runner) send(req Request, intended time.Time) Record {
	hosts := r.opts.Hosts.Addresses()
	if len(hosts) == 0 {
		return Record{Request: req, End: Lost}
	}
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	host := hosts[int(req.Entry)%len(hosts)]
	class := r.opts.Classes[req.Class]
	writeRequest(q, host, class, req)
	err := r.client(host).DoTimeout(q, a, r.opts.Timeout)
	rec := Record{Request: req, Host: host, Latency: time.Since(intended) + 2*r.opts.CallerDelay}
	if err != nil {
		rec.End = endOfError(err)
		return rec
	}
	rec.Status = a.StatusCode()
	rec.RetryAfter = len(a.Header.Peek(fasthttp.HeaderRetryAfter)) > 0
	rec.End = judge(class, req, a)
	return rec
}

func writeRequest(q *fasthttp.Request, host string, c Class, req Request) {
	q.Header.SetMethod(c.Method)
	q.SetRequestURI("http://" + host + req.Path)
	q.Header.Set(workload.TokenHeader, req.Token)
	q.Header.Set(workload.CallerHeader, req.Caller)
	q.Header.Set(workload.ServiceTimeHeader, req.ServiceTime.String())
	q.Header.Set(workload.SizeHeader, strconv.Itoa(c.AnswerBytes))
	if req.Key != "" {
		q.Header.Set(workload.IdempotencyHeader, req.Key)
	}
	if c.BodyBytes > 0 {
		q.SetBody(bytes.Repeat([]byte{'b'}, c.BodyBytes))
	}
}

// endOfError classifies a request that got no whole answer. A request for
// which no connection could be opened certainly did not run.
func endOfError(err error) End {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotRun
	}
	return Lost
}

// judge says how an answer ends its request.
func judge(c Class, req Request, a *fasthttp.Response) End {
	switch {
	case string(a.Header.Peek(workload.OutcomeHeader)) == "not-run", len(a.Header.Peek(workload.NotRunHeader)) > 0:
		return NotRun
	case a.StatusCode() == fasthttp.StatusConflict && len(a.Header.Peek(workload.OutcomeHeader)) > 0:
		return InFlight
	case string(a.Header.Peek(workload.OutcomeHeader)) == "unknown":
		return Unknown
	case a.StatusCode() != fasthttp.StatusOK:
		return Failed
	}
	match := workload.Compare(req.Token, c.AnswerBytes, a.Body())
	if match != workload.Whole && req.Twin != "" {
		match = workload.Compare(req.Twin, c.AnswerBytes, a.Body())
	}
	switch match {
	case workload.Whole:
		return Answered
	case workload.Truncated:
		return Truncated
	default:
		return Wrong
	}
}
