package coordinator

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/roster"
)

// kindPlaceExtended is a placeRequest with what older builds can't decode. A
// coordinator of such a build has no handler for it and does not respond.
const kindPlaceExtended hostmsg.Kind = 18

// The lengths of the longest name of a workspace and the longest request ID that are
// sent; longer ones are replaced by their hash, since a message has to fit one packet.
const (
	maxWorkspaceNameBytes = 64
	maxRequestIDBytes     = 128
)

// extendedPlaceRequest asks a coordinator for a target for a request that has a
// workspace, home regions or an upload, or is an order in a deployment that uses any
// of these.
type extendedPlaceRequest struct {
	_         struct{} `cbor:",toarray"`
	Request   placeRequest
	Extension placeExtension
}

// placeExtension is a map, so that later builds can add fields that earlier ones
// ignore. Numbers of removed fields are not used again.
type placeExtension struct {
	Workspace string  `cbor:"1,keyasint,omitempty"`
	Weight    float64 `cbor:"2,keyasint,omitempty"`
	BodyBytes int64   `cbor:"3,keyasint,omitempty"`
	// Regions is null when all regions are allowed; an empty list allows none.
	Regions []string `cbor:"4,keyasint"`
	// Order is true for a request that is not idempotent.
	Order bool `cbor:"5,keyasint,omitempty"`
}

// needsExtension reports whether a placeRequest alone leaves out something of a
// request; inUse says that its deployment uses workspaces, home regions or uploads.
func needsExtension(q lb.PlaceQuery, inUse bool) bool {
	return q.Workspace != "" || q.Regions != nil || q.BodyBytes > 0 || q.Route.Upload || inUse && !q.Route.Idempotent
}

func newPlaceExtension(q lb.PlaceQuery) placeExtension {
	return placeExtension{
		Workspace: shortened(q.Workspace, maxWorkspaceNameBytes), Weight: q.Weight, BodyBytes: q.BodyBytes,
		Regions: q.Regions, Order: !q.Route.Idempotent,
	}
}

// shortened returns a text, or a hash of one that is longer than the maximum in bytes.
func shortened(s string, maximum int) string {
	if len(s) <= maximum {
		return s
	}
	return "#" + strconv.FormatUint(xxhash.Sum64String(s), 16)
}

// placeQuery returns the query of the request. A weight that is no positive number
// counts as none.
func (p extendedPlaceRequest) placeQuery(now time.Time) lb.PlaceQuery {
	q, e := p.Request.placeQuery(now), p.Extension
	q.Workspace, q.BodyBytes, q.Regions, q.Route.Idempotent = e.Workspace, max(e.BodyBytes, 0), e.Regions, !e.Order
	if e.Weight > 0 && !math.IsInf(e.Weight, 0) {
		q.Weight = e.Weight
	}
	return q
}

// requestTarget asks a coordinator for a target and waits until the request is
// placed or refused; ok is false when the coordinator doesn't respond. One that does
// not respond to an extended message is asked with the plain one, since it may be of
// an older build; unless it responded to extended messages lately.
func (c *Client) requestTarget(ctx context.Context, host roster.Host, q lb.PlaceQuery) (a *attempt, refusal *lb.Refusal, ok bool) {
	kind := kindPlace
	extended, known := c.builds.extended(c.Clock.Now(), host.Addr)
	if needsExtension(q, c.Local.Extended(q.Pool)) && (extended || !known) {
		kind = kindPlaceExtended
	}
	a, refusal, ok, silent := c.sendPlace(ctx, host, q, kind)
	extended, _ = c.builds.extended(c.Clock.Now(), host.Addr)
	if silent && kind == kindPlaceExtended && !extended {
		a, refusal, ok, silent = c.sendPlace(ctx, host, q, kindPlace)
		if ok && ctx.Err() == nil && c.builds.record(c.Clock.Now(), host.Addr, false) {
			c.Logger.Info("coordinator responds to plain messages only; it is sent no extended ones for a while", zap.String("desk", host.Name), zap.String("request", q.RequestID))
		}
	}
	if silent {
		c.isolation.recordRequest(false)
	}
	return a, refusal, ok
}

// placeMessage returns the message of that kind that asks a coordinator for a target
// now.
func (c *Client) placeMessage(kind hostmsg.Kind, q lb.PlaceQuery) any {
	request := newPlaceRequest(c.Clock.Now(), q, c.FailureDomain)
	if kind == kindPlace {
		return request
	}
	return extendedPlaceRequest{Request: request, Extension: newPlaceExtension(q)}
}

// drawPartition draws the partition that serves a request; 0 when no target may.
func (c *Client) drawPartition(q lb.PlaceQuery) int {
	if q.BodyBytes > 0 && q.Regions == nil {
		return c.Local.DrawUploadPartition(q.Pool, c.FailureDomain)
	}
	return c.Local.DrawPartitionIn(q.Pool, q.Regions)
}

// placeExtended is place for an extendedPlaceRequest.
func (s *Server) placeExtended(m hostmsg.Message) {
	var q extendedPlaceRequest
	if s.decode(m, &q) {
		s.accept(m, q.Request.Pool, q.placeQuery)
	}
}
