package proxy

import (
	"bytes"
	"slices"
	"strings"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/attempt"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/router"
	"github.com/chestnutfield/chestnutfield/table"
)

// access is what a request may use: the workspace that its key belongs to and the
// regions that may serve it.
type access struct {
	// keyRequired is true when the tables that the request was routed by have
	// workspaces, so that its lines hold neither a key nor a workspace's name.
	keyRequired bool
	// digest is the digest of the key that the workspace was found by.
	digest table.KeyDigest
	// workspace is nil for a request without a workspace.
	workspace *table.Workspace
	// regions are the regions whose targets may serve the request, nil for all.
	regions []string
	// knownHere is true for a request of a peer whose key is valid by this host's
	// own tables.
	knownHere bool
	// keyVersion is, for a request of a peer, the version of the peer's tables that
	// its key was valid in.
	keyVersion uint64
}

// workspaceName returns the name of the workspace, "" when there is none.
func (a *access) workspaceName() string {
	if a.workspace == nil {
		return ""
	}
	return a.workspace.Name
}

// weight returns the request's weight among the workspaces, 0 for the usual one.
func (a *access) weight() float64 {
	if a.workspace == nil {
		return 0
	}
	return a.workspace.RatePerSecond
}

// authorize finds the workspace of a caller's request and applies what the
// workspace says about rank and regions to the match. It removes the key and the
// caller's own workspace headers from the lines that are forwarded.
func (s *Server) authorize(r *router.Router, in *inbound, m *router.Match) *localReply {
	if keys := r.Keys(); keys.Required() {
		key, ok := in.takeCredentials(s.names)
		in.access.keyRequired = true
		if ok {
			in.access.digest = table.DigestKey(key)
			in.access.workspace = keys.Lookup(in.access.digest)
		}
		if in.access.workspace == nil && !m.Route.Public {
			return s.refuseKey(r, ok)
		}
	}
	w := in.access.workspace
	if w == nil {
		return s.restrictRegions(in, m.Route.Regions, nil)
	}
	if w.Rank != nil && *w.Rank != m.Route.Rank {
		route := *m.Route
		route.Rank = *w.Rank
		m.Route = &route
	}
	return s.restrictRegions(in, m.Route.Regions, w.Regions)
}

// refuseKey returns the reply to a request without a valid key. While the tables
// may be outdated, a well-formed key that is unknown may be a new one: the caller
// is asked to try again, since a 401 would tell it that its key is wrong.
func (s *Server) refuseKey(r *router.Router, wellFormed bool) *localReply {
	if wellFormed && s.mayBeIncomplete(r, s.opts.TablesConfirmed) {
		return mayBeOutdated("API key is unknown and the configuration may be outdated")
	}
	detail := "API key is unknown"
	if !wellFormed {
		detail = "expected exactly one Authorization header with the scheme " + s.names.KeyScheme
	}
	return newLocalReply(outcome.UnknownKey, outcome.NotRun, detail)
}

// restrictRegions sets the regions that may serve a request: those that its route
// and its workspace have in common. It refuses a request for which there are none,
// and one that a balancer without regions would place.
func (s *Server) restrictRegions(in *inbound, route, workspace []string) *localReply {
	switch {
	case len(route) == 0 && len(workspace) == 0:
		return nil
	case len(route) == 0:
		in.access.regions = workspace
	case len(workspace) == 0:
		in.access.regions = route
	default:
		in.access.regions = lo.Intersect(route, workspace)
	}
	if _, ok := s.opts.Balancer.(lb.QueueingBalancer); !ok || len(in.access.regions) == 0 {
		return newLocalReply(outcome.NoTarget, outcome.NotRun, "no target in the regions that may serve the request")
	}
	return nil
}

// takeCredentials removes the Authorization lines and the caller's workspace
// headers. It returns the key; ok is false unless there is exactly one
// Authorization line and it has the dialect's scheme.
func (in *inbound) takeCredentials(n *headerNames) (key string, ok bool) {
	authorizations := 0
	in.lines = withoutLines(in.lines, func(name, value []byte) bool {
		if !equalName(name, fasthttp.HeaderAuthorization) {
			return n.isWorkspace(name)
		}
		authorizations++
		key, ok = n.keyOf(value)
		return true
	})
	in.trailer = n.withoutWorkspace(in.trailer)
	return key, ok && authorizations == 1
}

// withoutLines removes the header lines whose names match, in place.
func withoutLines(lines []byte, match func(name, value []byte) bool) []byte {
	kept := lines[:0]
	for rest := lines; len(rest) > 0; {
		end := bytes.IndexByte(rest, '\n') + 1
		line := rest[:end]
		rest = rest[end:]
		if name, value, _ := bytes.Cut(line, []byte(":")); !match(name, value) {
			kept = append(kept, line...)
		}
	}
	return kept
}

// keyOf returns the key of the value of an Authorization header.
func (n *headerNames) keyOf(value []byte) (key string, ok bool) {
	value = bytes.TrimSpace(value)
	space := bytes.IndexAny(value, " \t")
	if space < 0 || n.KeyScheme == "" || !strings.EqualFold(string(value[:space]), n.KeyScheme) {
		return "", false
	}
	return string(bytes.TrimSpace(value[space:])), true
}

// isWorkspace reports whether a header name is that of the workspace header. Some
// servers don't distinguish underscores from dashes, so neither does this.
func (n *headerNames) isWorkspace(name []byte) bool {
	if len(name) != len(n.Workspace) || n.Workspace == "" {
		return false
	}
	return equalName(bytes.ReplaceAll(name, []byte("_"), []byte("-")), n.Workspace)
}

// withoutWorkspace removes the workspace header from the value of a Trailer header.
func (n *headerNames) withoutWorkspace(trailer string) string {
	if trailer == "" {
		return ""
	}
	names := strings.Split(trailer, ",")
	kept := slices.DeleteFunc(names, func(name string) bool { return n.isWorkspace([]byte(strings.TrimSpace(name))) })
	if len(kept) == len(names) {
		return trailer
	}
	return strings.TrimSpace(strings.Join(kept, ","))
}

// forwardsTrailer reports whether a trailer of the caller may be forwarded.
func (c *call) forwardsTrailer(name []byte) bool {
	if kindOf(name) != lineOther {
		return false
	}
	name = bytes.TrimSpace(name)
	return !c.in.access.keyRequired || !equalName(name, fasthttp.HeaderAuthorization) && !c.server.names.isWorkspace(name)
}

// authorizeAttempt looks the key of the request up in the tables now in force and
// sets the workspace that the target is told of. It returns the reason for which
// the attempt may not be sent, 0 when it may.
func (c *call) authorizeAttempt(t *upstreamAttempt) outcome.Reason {
	a := &c.in.access
	t.workspace = a.workspaceName()
	r, ofPeer := c.server.router.Router(), c.server.opts.PeerServer != nil
	if ofPeer && !a.knownHere && r.Version() < a.keyVersion {
		// The host that received the request has checked its key, which may be newer
		// than the tables here.
		return 0
	}
	keys := r.Keys()
	switch {
	case !keys.Required():
		return 0
	case !a.keyRequired && !ofPeer:
		// Tables with workspaces came into force meanwhile. The lines may hold a
		// key, which no target may receive.
		return outcome.NotConfigured
	case a.workspace == nil:
		return 0
	}
	if w := keys.Lookup(a.digest); w != nil && w.Name == a.workspace.Name {
		return 0
	}
	if c.match.Route.Public {
		t.workspace = ""
		return 0
	}
	return outcome.UnknownKey
}

// refuseAttempt ends an attempt that may not be sent.
func (c *call) refuseAttempt(t *upstreamAttempt, reason outcome.Reason) attempt.Action {
	t.x.Close()
	c.endAttempt(t, lb.Abandoned)
	return c.step(attempt.Event{Kind: attempt.Refused, Attempt: t.number, Reason: reason})
}

// refusedKeyDetail returns the detail of the end of a request by authorizeAttempt, ""
// for all other ends.
func refusedKeyDetail(reason outcome.Reason) string {
	if reason == outcome.UnknownKey || reason == outcome.NotConfigured {
		return endDetails[reason]
	}
	return ""
}

// ledgerCaller returns the caller as the ledger knows it. Callers of different
// workspaces never share an order key; "\n" can't be part of a header value.
func (c *call) ledgerCaller() string {
	if name := c.in.access.workspaceName(); name != "" {
		return name + "\n" + c.in.caller
	}
	return c.in.caller
}

// uploadBytes returns the size of the body of an upload, as far as it is known; 0
// for other requests.
func (c *call) uploadBytes() int64 {
	if !c.match.Route.Upload {
		return 0
	}
	return max(c.body.length, int64(len(c.body.buffered)))
}
