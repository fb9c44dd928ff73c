package quota

import (
	"net/netip"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/lb"
)

// permit is a token of a quota host.
type permit struct {
	client    *Client
	shard     *shard
	workspace string
	// by is the value of the metrics' label of the same name.
	by string
	// quotaHost is the address of the quota host, invalid for this host.
	quotaHost netip.AddrPort
	messageID uint64
	returned  atomic.Bool
}

var _ lb.QuotaPermit = (*permit)(nil)

// Return implements lb.QuotaPermit.
func (p *permit) Return() {
	if !p.returned.CompareAndSwap(false, true) {
		return
	}
	p.client.requests.WithLabelValues("returned", p.by).Inc()
	if p.by == bySelf {
		p.shard.giveBack(p.client.Clock.Now(), p.workspace)
		return
	}
	p.client.sendReturn(p, false)
}

// sendReturn gives back a token, or withdraws a request without an answer. When the
// message is lost, so is the token.
func (c *Client) sendReturn(p *permit, unanswered bool) {
	notice := returnNotice{Workspace: p.workspace, MessageID: p.messageID, Unanswered: unanswered}
	if err := c.Node.Notify(p.quotaHost, kindReturn, notice); err != nil {
		c.Logger.Debug("token could not be given back; it is lost", zap.Stringer("to", p.quotaHost), zap.Error(err))
	}
}

// bridgedPermit is the permit of a request that was admitted without an answer of the
// quota host.
type bridgedPermit struct {
	shard     *shard
	workspace string
	returned  atomic.Bool
}

// Return implements lb.QuotaPermit. A quota host that was already told of the request
// keeps its token.
func (p *bridgedPermit) Return() {
	if p.returned.CompareAndSwap(false, true) {
		p.shard.neverRan(p.workspace)
	}
}

// noPermit is the permit of a request whose workspace has no quota.
type noPermit struct{}

// Return implements lb.QuotaPermit.
func (noPermit) Return() {}
