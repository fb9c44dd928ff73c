package probe

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/dialect"
	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/load"
)

// The response headers that a probe reads.
const (
	reportHeader   = "endpoint-load-metrics"
	drainingHeader = "Chestnut-Draining"
)

// warmupHeader is the header with the rest of a target's warm-up.
var warmupHeader = dialect.Default().Warmup

// maxConnsPerTarget is the maximum number of connections to one target at a time.
const maxConnsPerTarget = 1

// httpTransport sends each probe over HTTP on a connection of its own, so that no copy of
// an earlier response is taken for its own.
type httpTransport struct {
	client *fasthttp.Client
}

func newHTTPTransport(timeout time.Duration, responses *http1.Monitor) *httpTransport {
	return &httpTransport{client: &fasthttp.Client{
		Dial: func(addr string) (net.Conn, error) {
			c, err := fasthttp.DialTimeout(addr, timeout)
			if err != nil {
				return nil, err
			}
			return http1.NewConn(c, responses.Observer(http1.HealthCheck, addr)), nil
		},
		Name:                "chestnutfield-probe",
		MaxConnsPerHost:     maxConnsPerTarget,
		ReadTimeout:         timeout,
		WriteTimeout:        timeout,
		MaxResponseBodySize: load.MaxReportBytes,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Probe sends one GET request and returns the load report from the response
// header endpoint-load-metrics or, without that header, from the body of a 200
// response. Without a deadline in ctx, defaultTimeout applies.
func (h *httpTransport) Probe(ctx context.Context, addr netip.AddrPort, path string) Result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr.String() + path)
	req.SetConnectionClose()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := h.client.DoDeadline(req, resp, deadline); err != nil {
		return Result{Failed: true}
	}
	r := Result{
		Report:   string(resp.Header.Peek(reportHeader)),
		Draining: string(resp.Header.Peek(drainingHeader)) == "1",
		Failed:   resp.StatusCode() >= http.StatusInternalServerError,
	}
	if r.Report == "" && resp.StatusCode() == http.StatusOK {
		r.Report = strings.TrimSpace(string(resp.Body()))
	}
	if left := resp.Header.PeekAll(warmupHeader); len(left) > 0 {
		var err error
		r.Warmup, err = backpressure.ParseWarmup(lo.Map(left, func(v []byte, _ int) string { return string(v) }))
		r.Malformed = err != nil
	}
	return r
}
