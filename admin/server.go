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
	"github.com/chestnutfield/chestnutfield/config/rows"
	"github.com/chestnutfield/chestnutfield/internal/token"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	readTimeout  = 15 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = time.Minute
	// headerBytes bounds the header of a request.
	headerBytes = 8 << 10
	// bodyBytes leaves room above table.MaxFileBytes, so that a file somewhat
	// too large is answered by name.
	bodyBytes   = 2 * table.MaxFileBytes
	concurrency = 256
)

// Commands changes the tables.
type Commands interface {
	Do(ctx context.Context, r command.Request) command.Result
	Ask(ctx context.Context, id string, base uint64) command.Result
}

// Queries reads the accepted tables.
type Queries interface {
	Tables(ctx context.Context) (*table.Tables, error)
	History(ctx context.Context, limit int) ([]rows.Change, error)
}

// Config is the configuration in force on this host.
type Config interface {
	Current() *table.Tables
	Status() config.Status
}

// StatusSource is what this host knows of itself, its peers and its targets.
type StatusSource interface {
	// Self names this host; its version is filled in from Config.
	Self() api.HostStatus
	Peers() []api.HostStatus
	Pools() []api.PoolStatus
	// Stopping is true once a planned stop has begun.
	Stopping() bool
}

// Options configures a Server.
type Options struct {
	// Token is the bearer token, "" for none.
	Token string
	// TLS serves TLS when set. With ClientAuth RequireAndVerifyClientCert a
	// client certificate is a proof of access.
	TLS      *tls.Config
	Commands Commands
	Queries  Queries
	Config   Config
	Status   StatusSource
	// Metrics is what /metrics shows.
	Metrics prometheus.Gatherer
}

// Server serves the admin API.
type Server struct {
	opts  Options
	token token.Token
	http  *fasthttp.Server

	// mu guards what Serve and Shutdown tell each other.
	mu       sync.Mutex
	listener net.Listener
	stopping bool
}

// New returns a Server that serves nothing yet.
func New(o Options) (*Server, error) {
	if o.Commands == nil || o.Queries == nil || o.Config == nil || o.Status == nil || o.Metrics == nil {
		return nil, errors.New("admin: commands, queries, config, status and metrics are required")
	}
	s := &Server{opts: o, token: token.New(o.Token)}
	app := fiber.New(fiber.Config{ErrorHandler: answerError, Immutable: true, BodyLimit: bodyBytes})
	s.routes(app)
	s.http = &fasthttp.Server{
		Handler: app.Handler(), Name: "chestnutfield", CloseOnShutdown: true,
		MaxRequestBodySize: bodyBytes, ReadBufferSize: headerBytes, Concurrency: concurrency,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		ErrorHandler: answerUnreadable,
		// The library logs the head of a request that it can't read, which
		// may hold a token.
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
	v1.Get(api.ChangesPath+"/:id", s.ask)
	for _, kind := range []rows.Kind{rows.Pools, rows.Routes} {
		t := v1.Group("/" + string(kind))
		t.Get("/", s.list(kind))
		t.Post(api.ApplyPath, s.apply(kind))
		t.Get(api.HistoryPath, s.history(kind))
		t.Get(api.RowPath+"/:name", s.get(kind))
		t.Delete(api.RowPath+"/:name", s.remove(kind))
	}
}

// answerUnreadable answers a request that could not be read.
func answerUnreadable(ctx *fasthttp.RequestCtx, err error) {
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

// Serve serves a listener until Shutdown. A listener off loopback is refused
// unless access needs a token or a client certificate.
func (s *Server) Serve(l net.Listener) error {
	if !s.guarded() && !onLoopback(l.Addr()) {
		return errors.Errorf("admin: %s is off loopback: expected a token or TLS with client certificates", l.Addr())
	}
	if s.opts.TLS != nil {
		l = tls.NewListener(l, s.opts.TLS)
	}
	if !s.begin(l) {
		return nil
	}
	err := s.http.Serve(l)
	if s.stopped() {
		return nil
	}
	return errors.Wrap(err, "admin")
}

// begin takes the listener to serve; false when Shutdown was called before.
func (s *Server) begin(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	return !s.stopping
}

func (s *Server) stopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Shutdown stops taking connections and waits for requests under way. A Serve
// that comes later returns at once: the HTTP server forgets a shutdown that it
// gets before it serves.
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

func (s *Server) guarded() bool {
	return !s.token.Empty() || (s.opts.TLS != nil && s.opts.TLS.ClientAuth == tls.RequireAndVerifyClientCert)
}

func onLoopback(a net.Addr) bool {
	tcp, ok := a.(*net.TCPAddr)
	return ok && tcp.IP.IsLoopback()
}
