package gateway

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/chestnutfield/chestnutfield/internal/logging"
)

// readyTimeout bounds reading one request to the readiness server.
const readyTimeout = 5 * time.Second

// MetricsPath is the path of the metrics, on the same address as the readiness
// check.
const MetricsPath = "/metrics"

// readyServer serves the readiness check, which tells whether the host accepts
// new connections, and the metrics.
type readyServer struct {
	path     string
	ready    func() bool
	stopping atomic.Bool
	http     *fasthttp.Server
}

func newReadyServer(path string, ready func() bool, metrics prometheus.Gatherer) *readyServer {
	s := &readyServer{path: path, ready: ready}
	serveMetrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	s.http = &fasthttp.Server{
		NoDefaultServerHeader: true, NoDefaultDate: true, ReadTimeout: readyTimeout, Logger: logging.Discard{},
		ReadBufferSize: 4 << 10,
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch string(ctx.Path()) {
			case s.path:
				ctx.SetStatusCode(s.status())
			case MetricsPath:
				serveMetrics(ctx)
			default:
				ctx.SetStatusCode(fasthttp.StatusNotFound)
			}
		},
	}
	return s
}

func (s *readyServer) status() int {
	if s.stopping.Load() || !s.ready() {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusOK
}

func (s *readyServer) serve(ln net.Listener) error { return s.http.Serve(ln) }
