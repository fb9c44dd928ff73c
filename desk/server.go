package desk

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/mesh"
	"github.com/chestnutfield/chestnutfield/ports"
)

const (
	// queuedAfter is the time after which a request that still waits is told
	// so; it is shorter than firstAnswer by the way there and back.
	queuedAfter = 8 * time.Millisecond
	// keepRefused is how long a refusal is kept for a question that is repeated.
	keepRefused = time.Second
	// keepAfterDeadline is how long a placed request counts as at its target
	// when nobody tells of its end.
	keepAfterDeadline = time.Second
)

// asked names a question of a host.
type asked struct {
	from     netip.AddrPort
	question uint64
}

// entry is what became of a question so far.
type entry struct {
	cancel  context.CancelFunc
	answer  placeAnswer
	attempt ports.Attempt
	expire  clockwork.Timer
}

// Server places the requests of other hosts.
type Server struct {
	placer ports.Placer
	clock  clockwork.Clock
	log    *zap.Logger

	mu      sync.Mutex
	entries map[asked]*entry
}

// Serve takes the questions that arrive at a node.
func Serve(node *mesh.Node, placer ports.Placer, clock clockwork.Clock, log *zap.Logger) *Server {
	s := &Server{placer: placer, clock: clock, log: log, entries: map[asked]*entry{}}
	node.Handle(kindPlace, s.place)
	node.Handle(kindDone, s.done)
	node.Handle(kindCancel, s.cancel)
	return s
}

// place answers a question, once more when it is repeated.
func (s *Server) place(m mesh.Message) {
	var q placeQuestion
	if !s.decode(m, &q) {
		return
	}
	key := asked{m.From, m.ID()}
	s.mu.Lock()
	if e := s.entries[key]; e != nil {
		answer := e.answer
		s.mu.Unlock()
		m.Answer(answer)
		return
	}
	now := s.clock.Now()
	query := q.query(now)
	ctx, cancel := context.WithTimeout(context.Background(), query.Deadline.Sub(now))
	e := &entry{cancel: cancel, answer: placeAnswer{State: queued}}
	s.entries[key] = e
	e.expire = s.clock.AfterFunc(query.Deadline.Sub(now)+keepAfterDeadline, func() { s.end(key, abandoned) })
	s.mu.Unlock()
	go s.run(ctx, key, e, query, m)
}

// run waits for a target.
func (s *Server) run(ctx context.Context, key asked, e *entry, q ports.PlaceQuery, m mesh.Message) {
	late := s.clock.AfterFunc(queuedAfter, func() { m.Answer(placeAnswer{State: queued}) })
	a, refusal := s.placer.Place(ctx, q)
	late.Stop()
	answer := answerOf(a, refusal)
	s.mu.Lock()
	_, wanted := s.entries[key]
	e.answer, e.attempt = answer, a
	if refusal != nil {
		e.expire.Reset(keepRefused)
	}
	s.mu.Unlock()
	if !wanted {
		if a != nil {
			a.Done(s.clock.Now(), abandoned)
		}
		return
	}
	m.Answer(answer)
}

func (s *Server) done(m mesh.Message) {
	var d doneNews
	if s.decode(m, &d) {
		s.end(asked{m.From, d.Question}, d.feedback())
	}
}

func (s *Server) cancel(m mesh.Message) {
	var c cancelNews
	if s.decode(m, &c) {
		s.end(asked{m.From, c.Question}, abandoned)
	}
}

// abandoned is the end of a request that says nothing of its target.
var abandoned = ports.Feedback{Result: ports.Result{Verdict: ports.Abandoned}}

// decode reads a message; one that is malformed is logged and dropped.
func (s *Server) decode(m mesh.Message, to any) bool {
	if err := m.Decode(to); err != nil {
		s.log.Debug("message to the desk is malformed", zap.Stringer("from", m.From), zap.Error(err))
		return false
	}
	return true
}

// end forgets a question.
func (s *Server) end(key asked, f ports.Feedback) {
	s.mu.Lock()
	e := s.entries[key]
	delete(s.entries, key)
	s.mu.Unlock()
	if e == nil {
		return
	}
	e.expire.Stop()
	e.cancel()
	if e.attempt != nil {
		e.attempt.Done(s.clock.Now(), f)
	}
}

// Open is the number of requests that the desk counts as waiting or placed.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}
