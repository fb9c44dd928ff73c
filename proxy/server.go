package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/chestnutfield/chestnutfield/internal/keepaccept"
	"github.com/chestnutfield/chestnutfield/internal/logging"
	"github.com/chestnutfield/chestnutfield/internal/token"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/router"
	"github.com/chestnutfield/chestnutfield/shutdown"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// Server is the HTTP server for callers, or for peers with PeerServerOptions.
type Server struct {
	opts     Options
	limits   Limits
	names    *headerNames
	router   *router.Cache
	upstream *upstream.Client
	metrics  *metrics
	watcher  *watcher
	bodies   *bodyBudget
	http     *fasthttp.Server
	// peerToken is the token that peers must send; unused without
	// PeerServerOptions.
	peerToken token.Token

	// keepAlivesDisabled is set when a planned stop begins, stopping when no more
	// connections are accepted. schedule is that of the stop, nil until it begins.
	keepAlivesDisabled atomic.Bool
	stopping           atomic.Bool
	schedule           atomic.Pointer[shutdown.Schedule]
	// durations are those of the requests that ended.
	durations shutdown.Durations
	mu        sync.Mutex
	listener  net.Listener
	// attempts counts hedged attempts, which run on goroutines of their own.
	attempts sync.WaitGroup
	// connections counts the open connections of callers.
	connections atomic.Int64
	// malformedLog bounds the log lines about malformed headers of targets.
	malformedLog rate.Sometimes
}

// New returns a Server that is ready to Serve.
func New(opts Options) (*Server, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	m, err := newMetrics(opts.Registerer, opts.Limits)
	if err != nil {
		return nil, err
	}
	w, err := newWatcher()
	if err != nil {
		return nil, err
	}
	s := &Server{
		opts:     opts,
		limits:   opts.Limits,
		names:    newHeaderNames(*opts.Dialect),
		router:   router.NewCache(opts.Tables),
		upstream: opts.Client,
		metrics:  m,
		watcher:  w,
		bodies:   newBodyBudget(opts.Limits.UploadBufferBytes),

		malformedLog: rate.Sometimes{Interval: malformedLogInterval},
	}
	if opts.PeerServer != nil {
		s.peerToken = token.New(opts.PeerServer.Token)
	}
	s.http = s.newHTTP()
	return s, nil
}

// newHTTP returns the HTTP server with the fiber application as its handler.
func (s *Server) newHTTP() *fasthttp.Server {
	app := fiber.New(fiber.Config{DisablePreParseMultipartForm: true, StreamRequestBody: true})
	app.Use(func(c fiber.Ctx) error {
		s.handle(c.RequestCtx())
		return nil
	})
	inner := app.Handler()
	return &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			if fiberRoutes(ctx) {
				inner(ctx)
			} else {
				s.handle(ctx)
			}
			if s.stopping.Load() || s.keepAlivesDisabled.Load() {
				ctx.SetConnectionClose()
			}
		},
		ErrorHandler:                 s.refuseMalformed,
		ExpectHandler:                s.handleExpect,
		ConnState:                    connState,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		ReadBufferSize:               s.limits.HeaderBytes,
		ReadTimeout:                  s.limits.HeaderTimeout,
		IdleTimeout:                  s.limits.IdleTimeout,
		MaxRequestBodySize:           prefetchBytes,
		// The proxy counts the same events in its metrics.
		Logger: logging.Discard{},
	}
}

// prefetchBytes is how much of a body of known length the HTTP server reads
// before it calls the handler. The call reads the rest, under its own
// deadline.
const prefetchBytes = 1

// fiberRoutes reports whether fiber passes the request to the handler. It
// answers other requests itself, so they must bypass it.
func fiberRoutes(ctx *fasthttp.RequestCtx) bool {
	if target := ctx.RequestURI(); len(target) == 0 || target[0] != '/' {
		return false
	}
	switch string(ctx.Method()) {
	case fiber.MethodGet, fiber.MethodHead, fiber.MethodPost, fiber.MethodPut, fiber.MethodDelete,
		fiber.MethodOptions, fiber.MethodTrace, fiber.MethodPatch:
		return true
	}
	return false
}

func connState(c net.Conn, state fasthttp.ConnState) {
	if cc, ok := c.(*callerConn); ok && state == fasthttp.StateIdle {
		cc.expectRequest()
	}
}

// Serve accepts connections from the listener until Shutdown, and then
// returns nil.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	if s.listener != nil || s.stopping.Load() {
		s.mu.Unlock()
		return errors.New("proxy: Serve was called before, or Shutdown has begun; not serving")
	}
	s.listener = ln
	s.mu.Unlock()
	done := make(chan struct{})
	defer close(done)
	go s.closeIdle(done)
	err := s.http.Serve(&callerListener{Listener: keepaccept.Wrap(ln, "callers", s.opts.Logger), server: s})
	if s.stopping.Load() {
		return nil
	}
	return errors.Wrap(err, "proxy: serve callers")
}

// idleSweepInterval is the time between two closings of idle upstream
// connections.
const idleSweepInterval = 5 * time.Second

// closeIdle closes idle upstream connections every idleSweepInterval.
func (s *Server) closeIdle(done <-chan struct{}) {
	ticker := s.opts.Clock.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			s.upstream.CloseIdle(false)
		case <-done:
			return
		}
	}
}

// callerListener wraps accepted connections.
type callerListener struct {
	net.Listener
	server *Server
}

// Accept returns the next caller's connection. It refuses and closes those
// above Limits.Connections.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limit := int64(l.server.limits.Connections)
		if open := l.server.connections.Add(1); limit > 0 && open > limit {
			l.server.connections.Add(-1)
			l.server.refuseConnection(nc)
			continue
		}
		c := &callerConn{Conn: nc, server: l.server}
		l.server.watcher.add(c)
		return c, nil
	}
}

// connectionRefusal returns the raw response on a connection above
// Limits.Connections.
func connectionRefusal(n *headerNames) []byte {
	b := []byte("HTTP/1.1 503 Service Unavailable\r\n" +
		"Proxy-Status: chestnutfield; error=connection_limit_reached\r\n")
	if n.Outcome != "" {
		b = appendLine(b, n.Outcome, outcome.NotRun.String())
	}
	return append(b, "Retry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"...)
}

// refuseConnection writes a 503 response without reading a request, and closes
// the connection.
func (s *Server) refuseConnection(nc net.Conn) {
	_ = nc.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = nc.Write(connectionRefusal(s.names))
	_ = nc.Close()
}

func (s *Server) removeConnection(c *callerConn) {
	s.watcher.remove(c)
	s.connections.Add(-1)
}

// CloseIdle closes upstream connections that were idle for longer than their
// limit and returns their number. The embedding program may call it
// periodically.
func (s *Server) CloseIdle() int { return s.upstream.CloseIdle(false) }

// refuseMalformed answers a request that the HTTP server could not parse.
func (s *Server) refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	p := malformed("request could not be parsed")
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &small):
		p = tooLarge(fasthttp.StatusRequestHeaderFieldsTooLarge, "request header is too large")
	case errors.As(err, &netErr) && netErr.Timeout():
		p.status, p.detail = fasthttp.StatusRequestTimeout, "request header did not arrive in time"
	}
	s.refuse(ctx, p)
}

// refuse answers a request for which no call was created.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, p *localReply) {
	if c, ok := ctx.Conn().(*callerConn); ok && p.closesConnection {
		c.lingerOnClose.Store(true)
	}
	s.metrics.countRefusal(p)
	writeLocalReply(ctx, p, s.names)
	if s.opts.PeerServer != nil {
		ctx.Response.Header.Set(headerHandover, p.outcome.String())
	}
}

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	conn, in, m, p := s.checkRequest(ctx)
	if p != nil {
		s.logRefused(in, p)
		s.refuse(ctx, p)
		return
	}
	s.serve(newCall(s, ctx, conn, in, m))
}

// handleExpect answers an Expect: 100-continue. A request that its header
// alone rules out is refused before the body is sent.
func (s *Server) handleExpect(ctx *fasthttp.RequestCtx) int {
	if _, _, _, p := s.checkRequest(ctx); p != nil {
		p.closesConnection = true
		s.refuse(ctx, p)
		return p.status
	}
	return fasthttp.StatusContinue
}

// checkRequest validates the header and finds the route.
func (s *Server) checkRequest(ctx *fasthttp.RequestCtx) (*callerConn, *inbound, router.Match, *localReply) {
	conn, ok := ctx.Conn().(*callerConn)
	if !ok {
		panic("proxy: connection did not come from the listener")
	}
	if conn.bareLF {
		return conn, nil, router.Match{}, malformed("request line does not end in CRLF")
	}
	in, p := parseInbound(&ctx.Request.Header, s.names)
	if p != nil {
		return conn, nil, router.Match{}, p
	}
	if p := s.checkLimits(&ctx.Request.Header, in); p != nil {
		return conn, in, router.Match{}, p
	}
	m, p := s.match(&ctx.Request.Header, in)
	return conn, in, m, p
}
