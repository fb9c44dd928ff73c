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

// readyTimeout bounds the reading of one question about readiness.
const readyTimeout = 5 * time.Second

// MetricsPath is where the metrics are served, beside the readiness.
const MetricsPath = "/metrics"

// readyServer answers whether the host takes new connections, and serves the
// metrics.
type readyServer struct {
	path     string
	ready    func() bool
	stopping atomic.Bool
	http     *fasthttp.Server
}

func newReadyServer(path string, ready func() bool, metrics prometheus.Gatherer) *readyServer {
	s := &readyServer{path: path, ready: ready}
	show := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	s.http = &fasthttp.Server{
		NoDefaultServerHeader: true, NoDefaultDate: true, ReadTimeout: readyTimeout, Logger: logging.Quiet{},
		ReadBufferSize: 4 << 10,
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch string(ctx.Path()) {
			case s.path:
				ctx.SetStatusCode(s.status())
			case MetricsPath:
				show(ctx)
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
