package admin

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/admin/api"
	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/internal/token"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	readTimeout  = 15 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 8 << 10
	// maxBodyBytes exceeds table.MaxFileBytes, so that a file that is slightly
	// too large is rejected with an error that names the file.
	maxBodyBytes = 2 * table.MaxFileBytes
	// maxConnections bounds the connections that are served at the same time.
	maxConnections = 256
)

// Commands changes the tables and reports the outcome of earlier changes.
type Commands interface {
	Do(ctx context.Context, r command.Request) command.Result
	ChangeOutcome(ctx context.Context, id string, base uint64) command.Result
}

// Queries reads the accepted tables and their history.
type Queries interface {
	Tables(ctx context.Context) (*table.Tables, error)
	History(ctx context.Context, limit int) ([]schema.Change, error)
}

// Config is the configuration in force on this host.
type Config interface {
	Current() *table.Tables
	Status() config.Status
}

// StatusSource reports what this host knows about itself, its peers and its
// targets.
type StatusSource interface {
	// Self describes this host, without the configuration version, which the
	// server takes from Config.
	Self() api.HostStatus
	Peers() []api.HostStatus
	Pools() []api.PoolStatus
	// Stopping reports whether a graceful stop has begun.
	Stopping() bool
}

// Options configures a Server.
type Options struct {
	// Token is the bearer token that requests must carry; "" means none.
	Token string
	// TLS makes the server use TLS when set. Clients are authenticated by their
	// certificates if ClientAuth is tls.RequireAndVerifyClientCert.
	TLS      *tls.Config
	Commands Commands
	Queries  Queries
	Config   Config
	Status   StatusSource
	// Metrics is the source of /metrics.
	Metrics prometheus.Gatherer
}

// Server serves the admin API.
type Server struct {
	opts  Options
	token token.Token
	http  *fasthttp.Server

	// mu guards listener and stopping, which Serve and Shutdown share.
	mu       sync.Mutex
	listener net.Listener
	stopping bool
}

// New returns a Server; call Serve to start it.
func New(o Options) (*Server, error) {
	if o.Commands == nil || o.Queries == nil || o.Config == nil || o.Status == nil || o.Metrics == nil {
		return nil, errors.New("admin: commands, queries, config, status and metrics are required")
	}
	s := &Server{opts: o, token: token.New(o.Token)}
	app := fiber.New(fiber.Config{ErrorHandler: respondError, Immutable: true, BodyLimit: maxBodyBytes})
	s.routes(app)
	s.http = &fasthttp.Server{
		Handler: app.Handler(), Name: "chestnutfield", CloseOnShutdown: true,
		MaxRequestBodySize: maxBodyBytes, ReadBufferSize: maxHeaderBytes, Concurrency: maxConnections,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		ErrorHandler: respondUnreadable,
		// The library logs the header of a request that it can't parse, which
		// may contain a token.
		Logger: log.New(io.Discard, "", 0),
	}
	return s, nil
}

func (s *Server) routes(app *fiber.App) {
	app.Get(api.HealthPath, func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get(api.ReadyPath, s.readiness)
	app.Use(s.authorize)
	app.Get(api.MetricsPath, adaptor.HTTPHandler(promhttp.HandlerFor(s.opts.Metrics, promhttp.HandlerOpts{})))
	v1 := app.Group(api.Prefix)
	v1.Get(api.StatusPath, s.status)
	v1.Get(api.ChangesPath+"/:id", s.changeOutcome)
	for _, kind := range []schema.TableName{schema.Pools, schema.Routes, schema.Workspaces} {
		t := v1.Group("/" + string(kind))
		t.Get("/", s.list(kind))
		t.Post(api.ApplyPath, s.apply(kind))
		t.Get(api.HistoryPath, s.history(kind))
		t.Get(api.RowPath+"/:name", s.get(kind))
		t.Delete(api.RowPath+"/:name", s.remove(kind))
	}
	domains := v1.Group("/" + string(schema.Domains))
	domains.Get("/", s.list(schema.Domains))
	domains.Get(api.HistoryPath, s.history(schema.Domains))
	domains.Post(api.RowPath+"/:name", s.changeDomain(schema.Evacuate))
	domains.Delete(api.RowPath+"/:name", s.changeDomain(schema.Restore))
}

// respondUnreadable responds to a request that could not be read or parsed.
func respondUnreadable(ctx *fasthttp.RequestCtx, err error) {
	status, message := fasthttp.StatusBadRequest, "the request can't be parsed"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, message = fasthttp.StatusRequestEntityTooLarge, "the body is too large"
	case errors.As(err, &small):
		status, message = fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is too large"
	}
	ctx.Error(message, status)
}

// Serve serves a listener until Shutdown. It returns an error for a listener
// that is not on loopback unless a token or client certificates are required.
func (s *Server) Serve(l net.Listener) error {
	if !s.requiresAuth() && !isLoopback(l.Addr()) {
		return errors.Errorf("admin: not serving %s, which is not a loopback address: expected a token or TLS with client certificates", l.Addr())
	}
	if s.opts.TLS != nil {
		l = tls.NewListener(l, s.opts.TLS)
	}
	if !s.registerListener(l) {
		return nil
	}
	err := s.http.Serve(l)
	if s.isStopping() {
		return nil
	}
	return errors.Wrap(err, "admin")
}

// registerListener records the listener for Shutdown to close. It returns false when
// Shutdown has been called already.
func (s *Server) registerListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	return !s.stopping
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Shutdown stops accepting connections and waits for requests in progress. A
// later Serve returns at once; Server tracks this itself because the HTTP server
// ignores a shutdown that comes before it serves.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		l.Close()
	}
	return s.http.ShutdownWithContext(ctx)
}

func (s *Server) requiresAuth() bool {
	return !s.token.Empty() || (s.opts.TLS != nil && s.opts.TLS.ClientAuth == tls.RequireAndVerifyClientCert)
}

func isLoopback(a net.Addr) bool {
	tcp, ok := a.(*net.TCPAddr)
	return ok && tcp.IP.IsLoopback()
}
