package proxy

import (
	"math"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/router"
	"github.com/chestnutfield/chestnutfield/table"
)

// Headers with what the host that received a request found out about its
// workspace. The name of the workspace is in the dialect's own header.
const (
	// headerWeight is the quota rate of the workspace in requests a second. Only
	// with it does the workspace header come from a host; without it, it is a
	// caller's own header, which is passed on where the tables have no workspaces.
	headerWeight = "Chestnut-Weight"
	// headerKeyDigest is the digest of the key by which the workspace was found.
	headerKeyDigest = "Chestnut-Key-Digest"
	// headerKeyVersion is the version of the tables that the key was last looked up
	// in.
	headerKeyVersion = "Chestnut-Key-Version"
	// headerPublic says that the route needs no key.
	headerPublic = "Chestnut-Public"
	publicValue  = "1"
	// headerRegions are the regions that may serve the request, comma separated.
	headerRegions = "Chestnut-Regions"
	headerUpload  = "Chestnut-Upload"
	uploadValue   = "1"
)

// appendPeerAccess appends the header lines about workspace and regions to a
// request that is handed over.
func (c *call) appendPeerAccess(b []byte, t *upstreamAttempt) []byte {
	a := &c.in.access
	// Without a name, the key was withdrawn here and the route is public.
	if a.workspace != nil && t.workspace != "" {
		b = appendLine(b, headerWeight, strconv.FormatFloat(a.workspace.RatePerSecond, 'g', -1, 64))
		digest, _ := a.digest.MarshalText()
		b = appendLine(b, headerKeyDigest, string(digest))
		if version := c.keyVersion(); version != unknownKeyVersion {
			b = appendLine(b, headerKeyVersion, strconv.FormatUint(version, 10))
		}
	}
	if c.match.Route.Public {
		b = appendLine(b, headerPublic, publicValue)
	}
	if len(a.regions) > 0 {
		b = appendLine(b, headerRegions, strings.Join(a.regions, ","))
	}
	if c.match.Route.Upload {
		b = appendLine(b, headerUpload, uploadValue)
	}
	return b
}

// unknownKeyVersion stands for the version of a host that does not send one, which
// no tables reach.
const unknownKeyVersion = math.MaxUint64

// keyVersion returns the version of the tables that the key was last looked up in.
func (c *call) keyVersion() uint64 {
	if c.server.opts.PeerServer != nil && !c.in.access.knownHere {
		return c.in.access.keyVersion
	}
	return c.server.router.Router().Version()
}

// readPeerAccess reads what another host says about workspace and regions of a
// request.
func (s *Server) readPeerAccess(h *fasthttp.RequestHeader, in *inbound, m *router.Match) *localReply {
	m.Route.Upload = string(h.Peek(headerUpload)) == uploadValue
	m.Route.Public = string(h.Peek(headerPublic)) == publicValue
	in.access.keyVersion = unknownKeyVersion
	if weight := h.Peek(headerWeight); len(weight) > 0 && s.names.Workspace != "" {
		rate, _ := strconv.ParseFloat(string(weight), 64)
		in.access.workspace = &table.Workspace{Name: string(h.Peek(s.names.Workspace)), RatePerSecond: max(rate, 0)}
		in.lines = withoutLines(in.lines, func(name, _ []byte) bool { return s.names.isWorkspace(name) })
		if in.access.digest.UnmarshalText(h.Peek(headerKeyDigest)) == nil {
			w := s.router.Router().Keys().Lookup(in.access.digest)
			in.access.knownHere = w != nil && w.Name == in.access.workspace.Name
			if version, err := strconv.ParseUint(string(h.Peek(headerKeyVersion)), 10, 64); err == nil {
				in.access.keyVersion = version
			}
		}
	}
	if regions := string(h.Peek(headerRegions)); regions != "" {
		return s.restrictRegions(in, strings.Split(regions, ","), nil)
	}
	return nil
}
