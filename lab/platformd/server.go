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
	// maxBodyBytes bounds a request body; the largest are objects.
	maxBodyBytes = 64 << 20
	// readBufferBytes bounds the header of a request; signed calls are long.
	readBufferBytes = 16 << 10
)

// Options configures a Server. The zero value is usable.
type Options struct {
	// Faults are in force from the start.
	Faults Faults
	// ReadsPerSecond and WritesPerSecond are the capacity of the table
	// service in items; calls beyond it are throttled. 0 sets no limit.
	ReadsPerSecond  int
	WritesPerSecond int
	// Clock is the time source; nil is the real clock.
	Clock clockwork.Clock
}

// Server is one stand-in platform.
type Server struct {
	clock    clockwork.Clock
	rows     *rowStore
	objects  *objectStore
	hosts    *hostList
	faults   *faultSwitch
	stats    *recorder
	capacity capacity
	http     *fasthttp.Server

	mu       sync.Mutex
	listener net.Listener
}

// New returns a Server that holds nothing.
func New(o Options) *Server {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Server{
		clock:    o.Clock,
		rows:     newRowStore(),
		objects:  newObjectStore(),
		hosts:    newHostList(o.Clock),
		faults:   &faultSwitch{faults: o.Faults},
		stats:    newRecorder(o.Clock),
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

// Start listens on addr (IP:PORT, port 0 picks one) and serves until Close.
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

// Addr is the address that Start listens on.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// URL is the base address for clients.
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

// storeHandler serves a call to a store and says whether it wrote.
type storeHandler func(ctx *fasthttp.RequestCtx) (wrote bool)

// withFaults applies the faults in force around one call to a store.
func (s *Server) withFaults(ctx *fasthttp.RequestCtx, h storeHandler) {
	f := s.faults.current()
	if f.Slow > 0 {
		s.clock.Sleep(time.Duration(f.Slow))
	}
	switch {
	case f.Cut:
		cut(ctx)
	case f.Down:
		unavailable(ctx)
	default:
		if wrote := h(ctx); wrote && s.faults.takeAckLost() {
			ctx.Response.Reset()
			cut(ctx)
		}
	}
}

// unavailable answers as a store that is down does.
func unavailable(ctx *fasthttp.RequestCtx) {
	if len(ctx.Request.Header.Peek(targetHeader)) > 0 {
		writeTableError(ctx, fasthttp.StatusServiceUnavailable, tableError{Type: "ServiceUnavailable", Message: "the service is unavailable"})
		return
	}
	writeObjectError(ctx, fasthttp.StatusServiceUnavailable, "ServiceUnavailable", "the service is unavailable")
}

// cut closes the connection with no answer.
func cut(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// splitObjectPath splits /bucket/key.
func splitObjectPath(path string) (bucket, key string) {
	bucket, key, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return bucket, key
}
