package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/router"
)

// checkLimits refuses a request that exceeds the limits of the current
// tables. A body of unannounced length is bounded while it is read.
func (s *Server) checkLimits(h *fasthttp.RequestHeader, in *inbound) *localReply {
	if s.opts.PeerServer != nil {
		// The host that received the request has checked them.
		return nil
	}
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

// match finds the route and the pool of a request.
func (s *Server) match(h *fasthttp.RequestHeader, in *inbound) (router.Match, *localReply) {
	if s.opts.PeerServer != nil {
		m, p := s.peerMatch(h)
		if p == nil {
			p = s.readPeerAccess(h, in, &m)
		}
		return m, p
	}
	if s.opts.Configured != nil && !s.opts.Configured() {
		return router.Match{}, newLocalReply(outcome.NotConfigured, outcome.NotRun, "no configuration is in force yet")
	}
	r := s.router.Router()
	m, p := s.route(r, in)
	if p == nil {
		p = s.authorize(r, in, &m)
	}
	return m, p
}

// route finds the route. A path that an upstream may normalize must match the
// same route in both forms.
func (s *Server) route(r *router.Router, in *inbound) (router.Match, *localReply) {
	q := in.query()
	m, ok := r.Match(q)
	if normal := normalizedPath(in.path); normal != in.path {
		q.Path = normal
		if n, okNormal := r.Match(q); okNormal != ok || n.Route != m.Route {
			return router.Match{}, malformed("path is ambiguous")
		}
	}
	switch {
	case !ok && s.tablesOutdated(r):
		return router.Match{}, mayBeOutdated("no route matches and the configuration may be outdated")
	case !ok:
		return router.Match{}, newLocalReply(outcome.NoRoute, outcome.NotRun, "no route matches")
	case m.Route.Unusable:
		return router.Match{}, mayBeOutdated("entry of the route can't be used")
	}
	return m, nil
}

// tablesOutdated reports whether a newer version than that of r, or an entry that was
// left out of it, may have what a request needs.
func (s *Server) tablesOutdated(r *router.Router) bool {
	if r.Incomplete() || s.opts.TablesConfirmed != nil && !s.opts.TablesConfirmed() {
		return true
	}
	// What is confirmed may have come into force since r was loaded.
	return s.router.Router() != r
}

// outdatedRetryAfter is the Retry-After of a request that the tables in force can't
// serve and others may: a host that has lost the way to the store finds another
// within about a second.
const outdatedRetryAfter = time.Second

// mayBeOutdated returns the reply to a request that the tables in force can't serve and
// others may. The caller is asked to try again, since 404 and 401 are final.
func mayBeOutdated(detail string) *localReply {
	p := newLocalReply(outcome.NotConfigured, outcome.NotRun, detail)
	p.retryAfter = outdatedRetryAfter
	return p
}
