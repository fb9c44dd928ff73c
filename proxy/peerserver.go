package proxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/router"
	"github.com/chestnutfield/chestnutfield/table"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// Headers between the host that received a request and the owner of a group
// of targets. They are neither accepted from nor forwarded to callers and
// upstreams.
const (
	headerGroup      = "Chestnut-Group"
	headerClass      = "Chestnut-Class"
	headerIdempotent = "Chestnut-Idempotent"
	headerPeerToken  = "Chestnut-Peer-Token"
	// headerHandover says where the owner's response comes from:
	// handoverAnswered for an upstream's response, or the outcome in the
	// owner's own reply.
	headerHandover   = "Chestnut-Handover"
	handoverAnswered = "answered"
	// handoverRefused is what a relay says of a request that another relay would
	// refuse as well.
	handoverRefused = "refused"
	idempotentValue = "1"
	// headerRank and headerObjective are the rank and the latency objective, in
	// milliseconds, of the request's route. Without them both are 0.
	headerRank      = "Chestnut-Rank"
	headerObjective = "Chestnut-Objective-Ms"
)

// errPeerLost: the request may have run, but no upstream's response arrived.
var errPeerLost = errors.New("peer's Chestnut-Handover is neither answered nor not-run: the owner lost the request, or the peer is not an owner; response discarded")

// maxPeerConnections bounds the connections to one peer.
const maxPeerConnections = 1024

// PeerServerOptions makes a Server accept requests that other hosts hand over
// to this host as the owner of a group of targets. Such a server neither
// matches routes nor uses a ledger; the host that received the request has done
// both.
type PeerServerOptions struct {
	// Token is the token that peers must send; "" requires none.
	Token string
	// Relay is true when peers hand over requests because they don't reach the
	// targets: any host could take them.
	Relay bool
	// Load returns the load of a group as text for peers; ok is false when it
	// is unknown.
	Load func(group string) (text string, ok bool)
}

// peerMatch returns the group and class that the header of a peer's request
// names, as a route and a pool.
func (s *Server) peerMatch(h *fasthttp.RequestHeader) (router.Match, *localReply) {
	if !s.peerToken.Matches(h.Peek(headerPeerToken)) {
		p := malformed("peer token is wrong")
		p.status = fasthttp.StatusForbidden
		return router.Match{}, p
	}
	group := string(h.Peek(headerGroup))
	poolName, _, _ := strings.Cut(group, "@")
	pool, ok := s.opts.Tables.Current().Pools[poolName]
	if !ok {
		return router.Match{}, newLocalReply(outcome.NoTarget, outcome.NotRun, "pool of the group is unknown here")
	}
	class := table.Class(h.Peek(headerClass))
	switch class {
	case table.Lookup, table.Order, table.Batch:
	default:
		return router.Match{}, malformed("class is unknown")
	}
	pool.Name = group
	return router.Match{
		Route: &table.Route{
			Name: group, Pool: group, Class: class,
			Idempotent: string(h.Peek(headerIdempotent)) == idempotentValue,
			Rank:       parsePeerNumber(h.Peek(headerRank)),
			Objective:  time.Duration(parsePeerNumber(h.Peek(headerObjective))) * time.Millisecond,
		},
		Pool: &pool,
	}, nil
}

// maxPeerNumber bounds the numbers in headers of peers.
const maxPeerNumber = 1 << 30

// parsePeerNumber parses a number in a peer's header; 0 if it is missing or invalid.
func parsePeerNumber(text []byte) int {
	n, err := strconv.Atoi(string(text))
	if err != nil || n < 0 || n > maxPeerNumber {
		return 0
	}
	return n
}

// handoverOf returns what the host says to a peer of a request that it answers
// itself.
func (c *call) handoverOf(p *localReply) string {
	opts := c.server.opts.PeerServer
	if opts == nil || !opts.Relay || p.outcome != outcome.NotRun {
		return p.outcome.String()
	}
	switch p.reason {
	case outcome.QueueFull, outcome.RateLimited, outcome.DeadlinePassed, outcome.Quarantined:
		return handoverRefused
	}
	return p.outcome.String()
}

// setPeerHeaders sets the header lines that tell a peer where the response
// comes from and the load of the group. It does nothing for callers.
func (c *call) setPeerHeaders(handover string) {
	opts := c.server.opts.PeerServer
	if opts == nil {
		return
	}
	h := &c.rc.Response.Header
	h.Set(headerHandover, handover)
	if name := c.server.names.RequestID; name != "" && c.in.requestID != "" {
		h.Set(name, c.in.requestID)
	}
	if opts.Load == nil {
		return
	}
	if text, ok := opts.Load(c.match.Pool.Name); ok {
		h.Set(lb.HeaderGroupLoad, text)
	}
}

// appendPeerHeaders appends the header lines of a request that is handed
// over.
func (c *call) appendPeerHeaders(b []byte, t *upstreamAttempt) []byte {
	group, ok := groupOf(t.picked)
	if !ok {
		return b
	}
	b = appendLine(b, headerGroup, group)
	b = appendLine(b, headerClass, string(c.match.Route.Class))
	if c.match.Route.Idempotent {
		b = appendLine(b, headerIdempotent, idempotentValue)
	}
	if rank := c.match.Route.Rank; rank > 0 {
		b = appendLine(b, headerRank, strconv.Itoa(rank))
	}
	if objective := c.match.Route.Objective; objective > 0 {
		b = appendLine(b, headerObjective, strconv.FormatInt(objective.Milliseconds(), 10))
	}
	b = c.appendPeerAccess(b, t)
	if token := c.server.opts.PeerToken; token != "" {
		b = appendLine(b, headerPeerToken, token)
	}
	return b
}

func appendLine(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// groupOf returns the group of an attempt that goes to a peer.
func groupOf(a lb.Attempt) (string, bool) {
	if p, ok := a.(lb.PeerAttempt); ok {
		return p.Group()
	}
	return "", false
}

// readHandover reads the value of headerHandover in a peer's response. It
// returns an error when the response does not come from an upstream and the
// request may have run.
func (t *upstreamAttempt) readHandover(handover string) error {
	if _, ok := groupOf(t.picked); !ok {
		return nil
	}
	switch handover {
	case handoverAnswered:
		return nil
	case outcome.NotRun.String():
		t.notRun = true
		return nil
	case handoverRefused:
		t.notRun, t.refused = true, true
		return nil
	}
	if t.status == fasthttp.StatusGatewayTimeout {
		return errors.WithStack(upstream.ErrTimeout)
	}
	return errPeerLost
}
