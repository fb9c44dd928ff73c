package platformd

import (
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxBodyBytes is the maximum length of a request body. Objects are the
	// longest.
	maxBodyBytes = 64 << 20
	// readBufferBytes is the maximum length of a request header. Signed calls
	// have long headers.
	readBufferBytes = 16 << 10
)

// Options configures a Server. The zero value is usable.
type Options struct {
	// Faults are the initial faults.
	Faults Faults
	// ReadsPerSecond and WritesPerSecond are the capacity of the table
	// service in items per second. Calls that exceed it are throttled. 0
	// means no limit.
	ReadsPerSecond  int
	WritesPerSecond int
	// Clock is the time source; nil means the real clock.
	Clock clockwork.Clock
}

// Server serves the table service, the object store and the host list.
type Server struct {
	clock    clockwork.Clock
	rows     *rowStore
	objects  *objectStore
	hosts    *hostList
	faults   *faultState
	stats    *statsRecorder
	capacity capacity
	http     *fasthttp.Server

	mu       sync.Mutex
	listener net.Listener
}

// New returns an empty Server. Call Start to serve.
func New(o Options) *Server {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Server{
		clock:    o.Clock,
		rows:     newRowStore(),
		objects:  newObjectStore(),
		hosts:    newHostList(o.Clock),
		faults:   &faultState{faults: o.Faults},
		stats:    newStatsRecorder(o.Clock),
		capacity: newCapacity(o.ReadsPerSecond, o.WritesPerSecond),
	}
	s.http = &fasthttp.Server{
		Handler:            s.Handle,
		MaxRequestBodySize: maxBodyBytes,
		ReadBufferSize:     readBufferBytes,
		CloseOnShutdown:    true,
		Name:               "chestnutlab",
	}
	return s
}

// Start listens on addr (IP:PORT; port 0 selects a free port) and serves in the
// background until Close.
func (s *Server) Start(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "platform stand-in")
	}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	go func() { _ = s.http.Serve(l) }()
	return nil
}

// Addr returns the address on which Start listens, "" before Start.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// URL returns the base URL for clients.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close stops serving.
func (s *Server) Close() error { return s.http.Shutdown() }

// Handle serves one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/faults":
		s.handleFaults(ctx)
	case path == "/stats":
		writeJSON(ctx, s.Stats())
	case path == "/hostlist":
		s.handleHostList(ctx)
	case path == "/" && len(ctx.Request.Header.Peek(targetHeader)) > 0:
		s.withFaults(ctx, s.handleTable)
	default:
		s.withFaults(ctx, s.handleObject)
	}
}

// storeHandler serves a call to a store and reports whether it wrote.
type storeHandler func(ctx *fasthttp.RequestCtx) (wrote bool)

// withFaults serves one call to a store with the current faults.
func (s *Server) withFaults(ctx *fasthttp.RequestCtx, h storeHandler) {
	f := s.faults.current()
	if f.Slow > 0 {
		s.clock.Sleep(time.Duration(f.Slow))
	}
	switch {
	case f.Cut:
		closeWithoutResponse(ctx)
	case f.Down:
		writeUnavailable(ctx)
	default:
		if wrote := h(ctx); wrote && s.faults.takeLostAck() {
			ctx.Response.Reset()
			closeWithoutResponse(ctx)
		}
	}
}

// writeUnavailable responds with status 503 in the protocol of the store called.
func writeUnavailable(ctx *fasthttp.RequestCtx) {
	if len(ctx.Request.Header.Peek(targetHeader)) > 0 {
		writeTableError(ctx, fasthttp.StatusServiceUnavailable, tableError{Type: "ServiceUnavailable", Message: "the service is unavailable"})
		return
	}
	writeObjectError(ctx, fasthttp.StatusServiceUnavailable, "ServiceUnavailable", "the service is unavailable")
}

// closeWithoutResponse closes the connection without a response.
func closeWithoutResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// splitObjectPath splits the path /bucket/key.
func splitObjectPath(path string) (bucket, key string) {
	bucket, key, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return bucket, key
}
