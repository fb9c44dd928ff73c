package upstreamd

import (
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/chestnutfield/chestnutfield/lab/runlog"
	"github.com/chestnutfield/chestnutfield/lab/workload"
)

// Options configures a Server.
type Options struct {
	// Slots is the number of requests served at once.
	Slots int
	// Queue is the number of requests that may wait for a slot.
	Queue int
	// Connections is the number of connections held at once; further ones
	// are closed.
	Connections int
	// ConnectTime is the time that a new connection takes.
	ConnectTime time.Duration
	// ServiceTime is drawn from for requests that state no service time.
	ServiceTime workload.Distribution
	// ColdRamp is the time that a restarted target takes to full speed.
	ColdRamp time.Duration
	// DrainGrace is the time after which work sent to a leaving target
	// counts as late.
	DrainGrace time.Duration
	// Seed fixes what is drawn.
	Seed uint64
	// Log records what ran; nil makes a log of its own.
	Log *runlog.Log
}

// Defaults returns the options of a target of today's sizes.
func Defaults() Options {
	return Options{
		Slots: 2, Queue: 16, Connections: 250, ConnectTime: time.Millisecond,
		ServiceTime: workload.Distribution{Shape: workload.Exponential, Mean: 20 * time.Millisecond},
		ColdRamp:    3 * time.Second, DrainGrace: 2 * time.Second, Seed: 1,
	}
}

// Server is one target.
type Server struct {
	opts  Options
	noise noise
	born  time.Time
	http  *http.Server
	addr  net.Addr

	slots    *semaphore.Weighted
	inFlight atomic.Int64
	queued   atomic.Int64
	conns    atomic.Int64
	counters counters

	mu        sync.Mutex
	behavior  Behavior
	frozen    string
	drainFrom time.Time
	restarted time.Time
	open      map[net.Conn]struct{}
	rand      *rand.Rand
}

// New returns a target that is not yet listening.
func New(o Options) (*Server, error) {
	if o.Slots < 1 || o.Queue < 0 || o.Connections < 1 {
		return nil, errors.Errorf("upstream: slots %d, queue %d, connections %d: expected at least 1, 0 and 1",
			o.Slots, o.Queue, o.Connections)
	}
	if err := o.ServiceTime.Validate(); err != nil {
		return nil, errors.Wrap(err, "upstream")
	}
	if o.Log == nil {
		o.Log = runlog.New()
	}
	s := &Server{
		opts: o, noise: newNoise(o.Seed), born: time.Now(),
		slots: semaphore.NewWeighted(int64(o.Slots)),
		open:  map[net.Conn]struct{}{},
		rand:  workload.NewRand(o.Seed, 's'),
	}
	s.http = &http.Server{
		Handler:   s.handler(),
		ConnState: s.track,
		ErrorLog:  log.New(io.Discard, "", 0),
	}
	return s, nil
}

// Start listens on addr (IP:PORT, port 0 picks one) and serves until Close.
func (s *Server) Start(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "upstream")
	}
	s.addr = l.Addr()
	go func() { _ = s.http.Serve(&slowListener{Listener: l, server: s}) }()
	return nil
}

// Addr is the address that Start listens on.
func (s *Server) Addr() string { return s.addr.String() }

// Close stops at once.
func (s *Server) Close() error { return s.http.Close() }

// Behavior returns the behavior in force.
func (s *Server) Behavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior
}

// SetBehavior replaces the behavior in force.
func (s *Server) SetBehavior(b Behavior) error {
	if err := b.Validate(); err != nil {
		return err
	}
	report := s.accurateReport()
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Report == Frozen && s.behavior.Report != Frozen {
		s.frozen = report
	}
	if b.Drain != s.behavior.Drain {
		s.drainFrom = time.Now()
	}
	s.behavior = b
	return nil
}

// Restart cuts all connections and starts cold.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restarted = time.Now()
	for c := range s.open {
		_ = c.Close()
	}
}

// track keeps the open connections and their number.
func (s *Server) track(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.mu.Lock()
		s.open[c] = struct{}{}
		s.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
		s.conns.Add(-1)
	}
}

// slowListener takes time for each new connection and refuses those beyond
// the limit.
type slowListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the limit.
func (l *slowListener) Accept() (net.Conn, error) {
	s := l.server
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		s.counters.opened.Add(1)
		if s.conns.Load() >= int64(s.opts.Connections) {
			s.counters.refused.Add(1)
			_ = c.Close()
			continue
		}
		storeMax(&s.counters.peakConns, s.conns.Add(1))
		return &slowConn{Conn: c, ready: time.Now().Add(s.opts.ConnectTime)}, nil
	}
}

// slowConn yields no byte before it is ready.
type slowConn struct {
	net.Conn
	ready time.Time
	once  sync.Once
}

// Read reads after the connection has become ready.
func (c *slowConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(time.Until(c.ready)) })
	return c.Conn.Read(p)
}

func storeMax(v *atomic.Int64, n int64) {
	for old := v.Load(); n > old && !v.CompareAndSwap(old, n); old = v.Load() {
		continue
	}
}
