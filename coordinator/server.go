package coordinator

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/registry"
)

const (
	// queuedResponseDelay is the time after which a request that still waits is
	// answered with queued; it is shorter than firstResponseTimeout by the
	// network round trip.
	queuedResponseDelay = 8 * time.Millisecond
	// refusalRetention is how long a refusal is kept to answer a repeated
	// request.
	refusalRetention = time.Second
	// placedRetention is how long after its deadline a placed request still
	// counts as in flight at its target when nobody reports its end.
	placedRetention = time.Second
)

// requestKey identifies a placeRequest by its sender and message ID.
type requestKey struct {
	from      netip.AddrPort
	messageID uint64
}

// pendingRequest is the state of one placeRequest.
type pendingRequest struct {
	cancel   context.CancelFunc
	response placeResponse
	attempt  lb.Attempt
	expire   clockwork.Timer
}

// Server places the requests of other hosts for a host that is their
// coordinator. It is safe for concurrent use.
type Server struct {
	node   *hostmsg.Node
	placer *placement.Balancer
	reach  placement.Reachability
	clock  clockwork.Clock
	log    *zap.Logger

	mu      sync.Mutex
	pending map[requestKey]*pendingRequest
}

// NewServer returns a server that handles the placement messages arriving at a
// node. It refuses those for pools that this host does not reach; a nil reach stands
// for a host that reaches all.
func NewServer(node *hostmsg.Node, placer *placement.Balancer, reach placement.Reachability, clock clockwork.Clock, log *zap.Logger) *Server {
	s := &Server{node: node, placer: placer, reach: reach, clock: clock, log: log, pending: map[requestKey]*pendingRequest{}}
	node.Handle(kindPlace, s.place)
	node.Handle(kindPlaceExtended, s.placeExtended)
	node.Handle(kindDone, s.done)
	node.Handle(kindCancel, s.cancel)
	return s
}

// place handles a placeRequest.
func (s *Server) place(m hostmsg.Message) {
	var q placeRequest
	if s.decode(m, &q) {
		s.accept(m, q.Pool, q.placeQuery)
	}
}

// accept starts to place a request; a repeated one gets the current response
// again.
func (s *Server) accept(m hostmsg.Message, pool string, placeQuery func(now time.Time) lb.PlaceQuery) {
	if s.reach != nil && s.reach.Cut(pool) {
		m.Respond(placeResponse{State: refused, Reason: outcome.NoTarget, RetryAfter: cutOff})
		return
	}
	key := requestKey{m.From, m.ID()}
	s.mu.Lock()
	if r := s.pending[key]; r != nil {
		response := r.response
		s.mu.Unlock()
		m.Respond(response)
		return
	}
	now := s.clock.Now()
	query := placeQuery(now)
	ctx, cancel := context.WithTimeout(context.Background(), query.Deadline.Sub(now))
	r := &pendingRequest{cancel: cancel, response: placeResponse{State: queued}}
	s.pending[key] = r
	r.expire = s.clock.AfterFunc(query.Deadline.Sub(now)+placedRetention, func() { s.finish(key, abandoned) })
	s.mu.Unlock()
	go s.waitForTarget(ctx, key, r, query, m)
}

// waitForTarget waits until the request is placed or refused, and responds.
func (s *Server) waitForTarget(ctx context.Context, key requestKey, r *pendingRequest, q lb.PlaceQuery, m hostmsg.Message) {
	queuedTimer := s.clock.AfterFunc(queuedResponseDelay, func() { m.Respond(placeResponse{State: queued}) })
	a, refusal := s.placer.Place(ctx, q)
	queuedTimer.Stop()
	response := newPlaceResponse(a, refusal)
	s.mu.Lock()
	_, isPending := s.pending[key]
	r.response, r.attempt = response, a
	if refusal != nil {
		r.expire.Reset(refusalRetention)
	}
	s.mu.Unlock()
	if !isPending {
		if a != nil {
			a.Done(s.clock.Now(), abandoned)
		}
		return
	}
	s.tellKnown(m, q, response)
	s.tellWarmup(m, q, response)
	m.Respond(response)
}

// tellKnown tells a host what this one knows of rate limits in the partition of a
// request, before the response to it.
func (s *Server) tellKnown(m hostmsg.Message, q lb.PlaceQuery, r placeResponse) {
	known := knownLimits(s.clock.Now(), s.placer, q.Pool, q.Partition, r.instance())
	if len(known) == 0 {
		return
	}
	if err := s.node.Notify(m.From, kindKnown, knownNotice{MessageID: m.ID(), Known: known}); err != nil {
		s.log.Debug("rate limits not told to the requesting host; it asks again for targets that it knows to have one", zap.Stringer("to", m.From), zap.Error(err))
	}
}

func (s *Server) done(m hostmsg.Message) {
	var d doneNotice
	if s.decode(m, &d) {
		s.finish(requestKey{m.From, d.MessageID}, d.feedback())
	}
}

func (s *Server) cancel(m hostmsg.Message) {
	var c cancelNotice
	if s.decode(m, &c) {
		s.finish(requestKey{m.From, c.MessageID}, abandoned)
	}
}

// abandoned is the end of a request that says nothing of its target.
var abandoned = lb.Feedback{Result: lb.Result{Verdict: lb.Abandoned}}

// decode decodes a message; a malformed one is logged and dropped.
func (s *Server) decode(m hostmsg.Message, dst any) bool {
	if err := m.Decode(dst); err != nil {
		s.log.Debug("placement message is malformed; it is dropped", zap.Stringer("from", m.From), zap.Error(err))
		return false
	}
	return true
}

// finish removes a request and ends its attempt.
func (s *Server) finish(key requestKey, f lb.Feedback) {
	s.mu.Lock()
	r := s.pending[key]
	if r == nil {
		s.mu.Unlock()
		return
	}
	delete(s.pending, key)
	// An attempt that is set later is ended by waitForTarget.
	a := r.attempt
	s.mu.Unlock()
	r.expire.Stop()
	r.cancel()
	switch {
	case a == nil:
	case f.ConnectFailed:
		go s.verifyFailure(a, f)
	default:
		a.Done(s.clock.Now(), f)
	}
}

// verifyTimeout bounds the check of a target that another host could not connect to.
const verifyTimeout = 700 * time.Millisecond

// verifyFailure ends an attempt of another host that could not connect to its target.
// If the target responds to this host, the link of the other one has failed, which
// that host knows itself.
func (s *Server) verifyFailure(a lb.Attempt, f lb.Feedback) {
	target, ok := a.(interface {
		Pool() string
		Instance() registry.Instance
	})
	if ok {
		ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
		defer cancel()
		if s.placer.Responds(ctx, target.Pool(), target.Instance(), a.Target()) {
			s.log.Info("target that another host could not connect to responds to this one; it stays in use", zap.String("target", target.Instance().ID))
			f = abandoned
		}
	}
	a.Done(s.clock.Now(), f)
}

// PendingCount returns the number of requests that the server counts as waiting
// or placed.
func (s *Server) PendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}
