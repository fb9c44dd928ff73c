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
	// Connections is the maximum number of open connections. Further ones
	// are closed.
	Connections int
	// ConnectTime is the time that a new connection needs before it serves
	// its first request.
	ConnectTime time.Duration
	// ServiceTime is the distribution of the service times of requests that
	// don't specify one.
	ServiceTime workload.Distribution
	// ColdStartTime is the time that a restarted target needs to reach full
	// speed.
	ColdStartTime time.Duration
	// DrainGrace is the time after the start of a drain from which arriving
	// requests count as late.
	DrainGrace time.Duration
	// Seed is the seed of the random numbers.
	Seed uint64
	// Log records the requests that arrived and ran; nil means a new log.
	Log *runlog.Log
}

// DefaultOptions returns the options of a target of the usual size: 2 slots, a
// queue of 16, 250 connections and a mean service time of 20 ms.
func DefaultOptions() Options {
	return Options{
		Slots: 2, Queue: 16, Connections: 250, ConnectTime: time.Millisecond,
		ServiceTime:   workload.Distribution{Shape: workload.Exponential, Mean: 20 * time.Millisecond},
		ColdStartTime: 3 * time.Second, DrainGrace: 2 * time.Second, Seed: 1,
	}
}

// Server is one stand-in target.
type Server struct {
	opts      Options
	noise     noise
	createdAt time.Time
	http      *http.Server
	addr      net.Addr

	slots     *semaphore.Weighted
	inFlight  atomic.Int64
	queued    atomic.Int64
	connCount atomic.Int64
	counters  counters

	mu           sync.Mutex
	behavior     Behavior
	frozenReport string
	drainStart   time.Time
	restartedAt  time.Time
	openConns    map[net.Conn]struct{}
	rand         *rand.Rand
}

// New returns a target that does not listen yet; call Start.
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
		opts: o, noise: newNoise(o.Seed), createdAt: time.Now(),
		slots:     semaphore.NewWeighted(int64(o.Slots)),
		openConns: map[net.Conn]struct{}{},
		rand:      workload.NewRand(o.Seed, 's'),
	}
	s.http = &http.Server{
		Handler:   s.handler(),
		ConnState: s.trackConn,
		ErrorLog:  log.New(io.Discard, "", 0),
	}
	return s, nil
}

// Start listens on addr (IP:PORT; port 0 selects a free port) and serves in the
// background until Close.
func (s *Server) Start(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "upstream")
	}
	s.addr = l.Addr()
	go func() { _ = s.http.Serve(&delayingListener{Listener: l, server: s}) }()
	return nil
}

// Addr returns the address on which Start listens.
func (s *Server) Addr() string { return s.addr.String() }

// Close stops the server at once and closes all connections.
func (s *Server) Close() error { return s.http.Close() }

// Behavior returns the current behavior.
func (s *Server) Behavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior
}

// SetBehavior replaces the behavior. It returns an error if b is invalid.
func (s *Server) SetBehavior(b Behavior) error {
	if err := b.Validate(); err != nil {
		return err
	}
	report := s.accurateReport()
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Report == ReportFrozen && s.behavior.Report != ReportFrozen {
		s.frozenReport = report
	}
	if b.Drain != s.behavior.Drain {
		s.drainStart = time.Now()
	}
	s.behavior = b
	return nil
}

// Restart simulates a restart: it closes all connections and begins the slow
// phase of a cold start.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restartedAt = time.Now()
	for c := range s.openConns {
		_ = c.Close()
	}
}

// trackConn maintains the set of open connections and their number.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.mu.Lock()
		s.openConns[c] = struct{}{}
		s.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.openConns, c)
		s.mu.Unlock()
		s.connCount.Add(-1)
	}
}

// delayingListener delays each new connection by ConnectTime and closes those
// that exceed the limit.
type delayingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the limit.
func (l *delayingListener) Accept() (net.Conn, error) {
	s := l.server
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		s.counters.opened.Add(1)
		if s.connCount.Load() >= int64(s.opts.Connections) {
			s.counters.refused.Add(1)
			_ = c.Close()
			continue
		}
		storeMax(&s.counters.peakConns, s.connCount.Add(1))
		return &delayedConn{Conn: c, ready: time.Now().Add(s.opts.ConnectTime)}, nil
	}
}

// delayedConn delays its first read until ready.
type delayedConn struct {
	net.Conn
	ready time.Time
	once  sync.Once
}

// Read implements net.Conn.
func (c *delayedConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(time.Until(c.ready)) })
	return c.Conn.Read(p)
}

// storeMax sets v to the maximum of v and n.
func storeMax(v *atomic.Int64, n int64) {
	for old := v.Load(); n > old && !v.CompareAndSwap(old, n); old = v.Load() {
		continue
	}
}
