package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/internal/token"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/router"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// Server is the callers' side of one entry host.
type Server struct {
	opts     Options
	limits   Limits
	names    *names
	router   *router.Holder
	upstream *upstream.Client
	metrics  *metrics
	watcher  *watcher
	http     *fasthttp.Server
	// peerToken is expected of peers; unused without a PeerSide.
	peerToken token.Token

	// retiring is set once the end of a planned stop is near; stopping once
	// it has begun.
	retiring atomic.Bool
	stopping atomic.Bool
	mu       sync.Mutex
	listener net.Listener
	// attempts counts attempts that run on goroutines of their own.
	attempts sync.WaitGroup
	// connections counts the open connections of callers.
	connections atomic.Int64
}

// New returns a server that is ready to Serve.
func New(opts Options) (*Server, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	m, err := newMetrics(opts.Registerer, opts.Limits.CallerLabels)
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
		names:    newNames(*opts.Dialect),
		router:   router.NewHolder(opts.Tables),
		upstream: opts.Client,
		metrics:  m,
		watcher:  w,
	}
	if opts.PeerSide != nil {
		s.peerToken = token.New(opts.PeerSide.Token)
	}
	s.http = s.newHTTP()
	return s, nil
}

// newHTTP is the HTTP server under the fiber application.
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
			if s.stopping.Load() || s.retiring.Load() {
				ctx.SetConnectionClose()
			}
		},
		ErrorHandler:                 s.refuseMalformed,
		ExpectHandler:                s.expect,
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
		Logger:                       quietLogger{},
	}
}

// prefetchBytes is the part of a body of known length that the HTTP server
// reads before it calls the handler. The rest is read by the call, under its
// own deadline.
const prefetchBytes = 1

// quietLogger drops the HTTP server's lines; counters tell what they would.
type quietLogger struct{}

// Printf drops a line.
func (quietLogger) Printf(string, ...any) {}

// fiberRoutes says that fiber routes the request; it answers others itself.
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

// Serve takes callers from the listener until Shutdown, and returns nil then.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	if s.listener != nil || s.stopping.Load() {
		s.mu.Unlock()
		return errors.New("proxy: Serve was called before")
	}
	s.listener = ln
	s.mu.Unlock()
	done := make(chan struct{})
	defer close(done)
	go s.closeIdle(done)
	err := s.http.Serve(&callerListener{Listener: ln, server: s})
	if s.stopping.Load() {
		return nil
	}
	return errors.Wrap(err, "proxy: serve")
}

// idleSweep is the time between closings of idle connections to upstreams.
const idleSweep = 5 * time.Second

// closeIdle closes idle connections to upstreams now and then.
func (s *Server) closeIdle(done <-chan struct{}) {
	ticker := s.opts.Clock.NewTicker(idleSweep)
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

// Accept returns the next caller's connection.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		bound := int64(l.server.limits.Connections)
		if open := l.server.connections.Add(1); bound > 0 && open > bound {
			l.server.connections.Add(-1)
			l.server.refuseConnection(nc)
			continue
		}
		c := &callerConn{Conn: nc, server: l.server}
		l.server.watcher.add(c)
		return c, nil
	}
}

// connectionRefusal returns the answer to a connection beyond the bound.
func connectionRefusal(n *names) []byte {
	b := []byte("HTTP/1.1 503 Service Unavailable\r\n" +
		"Proxy-Status: chestnutfield; error=connection_limit_reached\r\n")
	if n.Outcome != "" {
		b = appendLine(b, n.Outcome, outcome.NotRun.String())
	}
	return append(b, "Retry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"...)
}

// refuseConnection answers before any request was read.
func (s *Server) refuseConnection(nc net.Conn) {
	_ = nc.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = nc.Write(connectionRefusal(s.names))
	_ = nc.Close()
}

func (s *Server) forget(c *callerConn) {
	s.watcher.remove(c)
	s.connections.Add(-1)
}

// CloseIdle closes upstream connections that were not used for a while and
// returns their number. The embedder calls it now and then.
func (s *Server) CloseIdle() int { return s.upstream.CloseIdle(false) }

// Retire prepares a planned stop: everything is served as before, and every
// answer asks its caller to use another connection.
func (s *Server) Retire() { s.retiring.Store(true) }

// Shutdown is a planned stop. It refuses new connections at once, answers
// what is in flight and what still arrives on kept connections for a moment
// with Connection: close, and returns when the last answer is written. When
// the context ends first, the connections left are closed and its error is
// returned.
func (s *Server) Shutdown(ctx context.Context) error {
	if !s.stopping.CompareAndSwap(false, true) {
		return errors.New("proxy: Shutdown was called before")
	}
	s.opts.Logger.Info("stopping: no new connections")
	s.mu.Lock()
	ln := s.listener
	s.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
	err := s.drain(ctx)
	for _, c := range s.watcher.all() {
		c.hangup()
		c.Close()
	}
	s.watcher.stop()
	s.upstream.CloseIdle(true)
	s.opts.Logger.Info("stopped", zap.Error(err))
	return err
}

func (s *Server) drain(ctx context.Context) error {
	select {
	case <-s.opts.Clock.After(s.limits.LastRequests):
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	if err := s.http.ShutdownWithContext(ctx); err != nil && ctx.Err() != nil {
		return errors.WithStack(ctx.Err())
	}
	done := make(chan struct{})
	go func() {
		s.attempts.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// refuseMalformed answers what the HTTP server could not parse.
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

// refuse answers a request that never became a call.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, p *problem) {
	if c, ok := ctx.Conn().(*callerConn); ok && p.closes {
		c.lingering.Store(true)
	}
	s.metrics.refused(p)
	answerProblem(ctx, p, s.names)
	if s.opts.PeerSide != nil {
		ctx.Response.Header.Set(headerHandover, p.outcome.String())
	}
}

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	conn, in, m, p := s.check(ctx)
	if p != nil {
		s.logRefused(in, p)
		s.refuse(ctx, p)
		return
	}
	s.serve(newCall(s, ctx, conn, in, m))
}

// expect answers a caller that waits with its body. What is refused by its
// header alone is refused before the body is sent.
func (s *Server) expect(ctx *fasthttp.RequestCtx) int {
	if _, _, _, p := s.check(ctx); p != nil {
		p.closes = true
		s.refuse(ctx, p)
		return p.status
	}
	return fasthttp.StatusContinue
}

// check reads the header and finds the route.
func (s *Server) check(ctx *fasthttp.RequestCtx) (*callerConn, *inbound, router.Match, *problem) {
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
	if p := s.overLimits(&ctx.Request.Header, in); p != nil {
		return conn, in, router.Match{}, p
	}
	m, p := s.match(&ctx.Request.Header, in)
	return conn, in, m, p
}

// overLimits refuses what exceeds the limits of the tables in force. A body of
// unannounced length is bounded while it is read.
func (s *Server) overLimits(h *fasthttp.RequestHeader, in *inbound) *problem {
	limits := s.opts.Tables.Current().Limits
	line := len(in.method) + len(in.target) + len(" ") + len(" HTTP/1.1\r\n")
	if limits.HeaderBytes > 0 && line+len(h.RawHeaders()) > limits.HeaderBytes {
		return tooLarge(fasthttp.StatusRequestHeaderFieldsTooLarge, "request header is too large")
	}
	if limits.BodyBytes > 0 && in.length > limits.BodyBytes {
		return tooLarge(fasthttp.StatusRequestEntityTooLarge, "request body is too large")
	}
	return nil
}

// match says what the request is and where it goes.
func (s *Server) match(h *fasthttp.RequestHeader, in *inbound) (router.Match, *problem) {
	if s.opts.PeerSide != nil {
		return s.peerMatch(h)
	}
	if s.opts.Configured != nil && !s.opts.Configured() {
		return router.Match{}, newProblem(outcome.NotConfigured, outcome.NotRun, "no configuration is in force yet")
	}
	return s.route(in)
}

// route finds the route. A path that an upstream may read in another way must
// lead to the same route either way.
func (s *Server) route(in *inbound) (router.Match, *problem) {
	r := s.router.Router()
	q := in.query()
	m, ok := r.Match(q)
	if normal := normalPath(in.path); normal != in.path {
		q.Path = normal
		if n, okNormal := r.Match(q); okNormal != ok || n.Route != m.Route {
			return router.Match{}, malformed("path is ambiguous")
		}
	}
	if !ok {
		return router.Match{}, newProblem(outcome.NoRoute, outcome.NotRun, "no route matches")
	}
	return m, nil
}
