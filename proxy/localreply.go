package proxy

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/outcome"
)

// localReply is a response that the host generates itself.
type localReply struct {
	status  int
	reason  outcome.Reason
	outcome outcome.Outcome
	// detail goes into Proxy-Status and the body.
	detail string
	// retryAfter is rounded up to whole seconds; zero selects minRetryAfter
	// on a 503.
	retryAfter time.Duration
	// closesConnection is true when the caller's connection is closed after
	// the reply.
	closesConnection bool
	// alreadyWritten is true when the response was written before, as a
	// replayed one is.
	alreadyWritten bool
}

const minRetryAfter = time.Second

// reasonStatus maps reasons to status codes.
var reasonStatus = map[outcome.Reason]int{
	outcome.NoRoute:           fasthttp.StatusNotFound,
	outcome.NoTarget:          fasthttp.StatusServiceUnavailable,
	outcome.LimitReached:      fasthttp.StatusServiceUnavailable,
	outcome.QueueFull:         fasthttp.StatusServiceUnavailable,
	outcome.RateLimited:       fasthttp.StatusServiceUnavailable,
	outcome.Quarantined:       fasthttp.StatusServiceUnavailable,
	outcome.UnknownKey:        fasthttp.StatusUnauthorized,
	outcome.QuotaExceeded:     fasthttp.StatusTooManyRequests,
	outcome.DeadlinePassed:    fasthttp.StatusServiceUnavailable,
	outcome.LedgerUnavailable: fasthttp.StatusServiceUnavailable,
	outcome.Stopping:          fasthttp.StatusServiceUnavailable,
	outcome.NotConfigured:     fasthttp.StatusServiceUnavailable,
	outcome.KeyInFlight:       fasthttp.StatusConflict,
	outcome.KeyReused:         fasthttp.StatusUnprocessableEntity,
	outcome.UpstreamLost:      fasthttp.StatusBadGateway,
	outcome.UpstreamTimeout:   fasthttp.StatusGatewayTimeout,
	outcome.BadRequest:        fasthttp.StatusBadRequest,
	outcome.TooLarge:          fasthttp.StatusRequestEntityTooLarge,
	outcome.CallerGone:        fasthttp.StatusBadGateway,
	outcome.Interrupted:       fasthttp.StatusBadGateway,
	outcome.UpstreamFailed:    fasthttp.StatusBadGateway,
}

// proxyErrors maps reasons to the error types of RFC 9209, section 2.3.
var proxyErrors = map[outcome.Reason]string{
	outcome.NoRoute:           "destination_not_found",
	outcome.NoTarget:          "destination_unavailable",
	outcome.LimitReached:      "connection_limit_reached",
	outcome.QueueFull:         "connection_limit_reached",
	outcome.RateLimited:       "connection_limit_reached",
	outcome.Quarantined:       "http_request_denied",
	outcome.UnknownKey:        "http_request_denied",
	outcome.QuotaExceeded:     "http_request_denied",
	outcome.DeadlinePassed:    "connection_timeout",
	outcome.LedgerUnavailable: "proxy_internal_error",
	outcome.Stopping:          "proxy_internal_response",
	outcome.NotConfigured:     "proxy_internal_response",
	outcome.KeyInFlight:       "http_request_denied",
	outcome.KeyReused:         "http_request_denied",
	outcome.UpstreamLost:      "connection_terminated",
	outcome.UpstreamTimeout:   "http_response_timeout",
	outcome.BadRequest:        "http_request_error",
	outcome.TooLarge:          "http_request_error",
	outcome.CallerGone:        "connection_terminated",
	outcome.Interrupted:       "connection_terminated",
	outcome.UpstreamFailed:    "http_protocol_error",
}

func newLocalReply(reason outcome.Reason, o outcome.Outcome, detail string) *localReply {
	return &localReply{status: o.Status(reasonStatus[reason]), reason: reason, outcome: o, detail: detail}
}

// afterDispatch returns the reply for a request that was passed on to a target.
func (p *localReply) afterDispatch(o outcome.Outcome) *localReply {
	sent := *p
	sent.outcome, sent.status = o, o.Status(p.status)
	if sent.status != p.status && sent.status == fasthttp.StatusGatewayTimeout {
		sent.reason = outcome.UpstreamTimeout
	}
	return &sent
}

func malformed(detail string) *localReply {
	p := newLocalReply(outcome.BadRequest, outcome.NotRun, detail)
	p.closesConnection = true
	return p
}

func tooLarge(status int, detail string) *localReply {
	p := newLocalReply(outcome.TooLarge, outcome.NotRun, detail)
	p.status, p.closesConnection = status, true
	return p
}

func upgradeRefused() *localReply {
	p := malformed("Upgrade and CONNECT are not supported")
	p.status = fasthttp.StatusNotImplemented
	return p
}

// writeLocalReply writes a response that the host generates itself.
func writeLocalReply(ctx *fasthttp.RequestCtx, p *localReply, n *headerNames) {
	resp := &ctx.Response
	resp.Reset()
	resp.SetStatusCode(p.status)
	resp.Header.SetContentType("text/plain; charset=utf-8")
	resp.Header.Set("Proxy-Status", `chestnutfield; error=`+proxyErrors[p.reason]+`; details="`+p.detail+`"`)
	if n.Outcome != "" {
		resp.Header.Set(n.Outcome, p.outcome.String())
	}
	if p.reason == outcome.UnknownKey && n.KeyScheme != "" {
		resp.Header.Set(fasthttp.HeaderWWWAuthenticate, n.KeyScheme+` realm="chestnutfield"`)
	}
	if p.status == fasthttp.StatusServiceUnavailable || p.retryAfter > 0 {
		resp.Header.Set("Retry-After", retryAfter(p.retryAfter, n.FractionalRetryAfter))
	}
	resp.SetBodyString(p.reason.String() + ": " + p.detail + "\n")
	if p.closesConnection {
		resp.SetConnectionClose()
	}
}

// retryAfter formats d in seconds: rounded up to whole seconds and at least
// minRetryAfter or, when fractions are allowed, rounded up to milliseconds.
func retryAfter(d time.Duration, fractions bool) string {
	if fractions && d > 0 {
		return strconv.FormatFloat(math.Ceil(d.Seconds()*1000)/1000, 'f', -1, 64)
	}
	d = max(d, minRetryAfter)
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
