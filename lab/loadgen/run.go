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

// maxConnections limits the connections to one entry host.
const maxConnections = 4096

// Hosts lists the entry hosts that the platform's own balancer spreads callers
// over.
type Hosts interface {
	// Addresses returns the IP:PORT of the hosts that are considered live.
	Addresses() []string
}

// Options configures a run.
type Options struct {
	Hosts   Hosts
	Classes []Class
	// Timeout is the time after which a caller gives up on its request.
	Timeout time.Duration
	// CallerDelay is the one-way delay between callers and entry hosts. It is
	// added to each latency twice; the run does not wait for it.
	CallerDelay time.Duration
	// OnProgress, if not nil, is called about once a second with the numbers
	// of ended and of planned requests.
	OnProgress func(ended, planned int)
}

// Outcome is the outcome of a request for its caller.
type Outcome uint8

// The outcomes.
const (
	// Answered: the complete response to this request.
	Answered Outcome = iota + 1
	// NotRun: refused; the response says that the request has not run.
	NotRun
	// Unknown: the response says that the request may have run.
	Unknown
	// InFlight: another copy of the order is in flight, or its outcome is
	// unknown.
	InFlight
	// Failed: any other error response.
	Failed
	// Lost: no response, or a connection closed before the announced end of the
	// body.
	Lost
	// Wrong: a body that is not the response to this request.
	Wrong
	// Truncated: the start of the right body, which ended early without an
	// error.
	Truncated
)

// String returns the name that tables and result files use.
func (e Outcome) String() string {
	return [...]string{"", "answered", "not-run", "unknown", "in-flight", "failed", "lost", "wrong", "truncated"}[e]
}

// Record is what happened to one request.
type Record struct {
	Request Request
	// Host is the address of the entry host that it was sent to.
	Host    string
	Outcome Outcome
	Status  int
	// Latency is the time from the planned start to the end of the response,
	// caller delay included.
	Latency time.Duration
	// RetryAfter is true when the response had a Retry-After header.
	RetryAfter bool
}

// Run sends the planned requests and returns one record per request, in the
// order of the plan. When ctx ends, it sends no further requests and returns the
// records of those already sent.
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

// waitUntil waits until a time. It returns false when the context ended first.
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

// runner holds the state of one call of Run.
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

// send sends one request once, without retries, and classifies its response.
func (r *runner) send(req Request, planned time.Time) Record {
	hosts := r.opts.Hosts.Addresses()
	if len(hosts) == 0 {
		return Record{Request: req, Outcome: Lost}
	}
	httpReq, httpResp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpReq)
	defer fasthttp.ReleaseResponse(httpResp)
	host := hosts[int(req.HostSelector)%len(hosts)]
	class := r.opts.Classes[req.Class]
	writeRequest(httpReq, host, class, req)
	err := r.client(host).DoTimeout(httpReq, httpResp, r.opts.Timeout)
	rec := Record{Request: req, Host: host, Latency: time.Since(planned) + 2*r.opts.CallerDelay}
	if err != nil {
		rec.Outcome = classifyError(err)
		return rec
	}
	rec.Status = httpResp.StatusCode()
	rec.RetryAfter = len(httpResp.Header.Peek(fasthttp.HeaderRetryAfter)) > 0
	rec.Outcome = classifyResponse(class, req, httpResp)
	return rec
}

// writeRequest fills in the method, address, headers and body of a request.
func writeRequest(httpReq *fasthttp.Request, host string, c Class, req Request) {
	httpReq.Header.SetMethod(c.Method)
	httpReq.SetRequestURI("http://" + host + req.Path)
	httpReq.Header.Set(workload.TokenHeader, req.Token)
	httpReq.Header.Set(workload.CallerHeader, req.Caller)
	httpReq.Header.Set(workload.ServiceTimeHeader, req.ServiceTime.String())
	httpReq.Header.Set(workload.ResponseBytesHeader, strconv.Itoa(c.ResponseBytes))
	if req.Key != "" {
		httpReq.Header.Set(workload.IdempotencyHeader, req.Key)
	}
	if c.BodyBytes > 0 {
		httpReq.SetBody(bytes.Repeat([]byte{'b'}, c.BodyBytes))
	}
}

// classifyError classifies a request that received no complete response. A request
// for which no connection could be opened has certainly not run.
func classifyError(err error) Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotRun
	}
	return Lost
}

// classifyResponse classifies a response. Either copy of an order may have run, so
// the response to the other copy is right too.
func classifyResponse(c Class, req Request, httpResp *fasthttp.Response) Outcome {
	switch {
	case string(httpResp.Header.Peek(workload.OutcomeHeader)) == "not-run", len(httpResp.Header.Peek(workload.NotRunHeader)) > 0:
		return NotRun
	case httpResp.StatusCode() == fasthttp.StatusConflict && len(httpResp.Header.Peek(workload.OutcomeHeader)) > 0:
		return InFlight
	case string(httpResp.Header.Peek(workload.OutcomeHeader)) == "unknown":
		return Unknown
	case httpResp.StatusCode() != fasthttp.StatusOK:
		return Failed
	}
	match := workload.Compare(req.Token, c.ResponseBytes, httpResp.Body())
	if match != workload.Complete && req.OtherToken != "" {
		match = workload.Compare(req.OtherToken, c.ResponseBytes, httpResp.Body())
	}
	switch match {
	case workload.Complete:
		return Answered
	case workload.Truncated:
		return Truncated
	default:
		return Wrong
	}
}
