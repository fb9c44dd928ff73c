package balance

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/chestnutfield/chestnutfield/lb"
)

// maxRejectionLines is the number of log lines a second about rejections.
const maxRejectionLines = 5

// rejections holds what this host knows of rejections, by target: a target may be in
// several pools.
type rejections struct {
	host string
	seed uint64
	log  *zap.Logger
	// lines limits the log.
	lines    *rate.Limiter
	mu       sync.RWMutex
	byTarget map[netip.AddrPort]*rejection
}

func newRejections(o Options) *rejections {
	log := o.Logger
	if log == nil {
		log = zap.NewNop()
	}
	return &rejections{
		host: o.Host, seed: o.Seed, log: log, lines: rate.NewLimiter(maxRejectionLines, maxRejectionLines),
		byTarget: map[netip.AddrPort]*rejection{},
	}
}

// of returns the state of a target, and creates it if it is unknown.
func (r *rejections) of(target netip.AddrPort) *rejection {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byTarget[target]
	if known == nil {
		known = newRejection(r.seed, xxhash.Sum64String(r.host+"/"+target.String()))
		r.byTarget[target] = known
	}
	return known
}

// all returns the states by target.
func (r *rejections) all() map[netip.AddrPort]*rejection {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make(map[netip.AddrPort]*rejection, len(r.byTarget))
	for target, known := range r.byTarget {
		out[target] = known
	}
	return out
}

// retain removes the targets that are in none of the pools.
func (r *rejections) retain(specs map[string]PoolSpec) {
	used := map[netip.AddrPort]bool{}
	for _, spec := range specs {
		for _, t := range spec.Targets {
			used[t.Addr] = true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for target := range r.byTarget {
		if !used[target] {
			delete(r.byTarget, target)
		}
	}
}

func (r *rejections) info(now time.Time, message string, fields ...zap.Field) {
	if r.lines.AllowN(now, 1) {
		r.log.Info(message, fields...)
	}
}

var _ lb.RejectionExchange = (*Balancer)(nil)

// OutgoingRejections returns the reports that are in force or were refuted recently.
func (b *Balancer) OutgoingRejections(now time.Time) []lb.TargetRejection {
	var out []lb.TargetRejection
	for target, known := range b.rejections.all() {
		report, ok := known.outgoing(now)
		if !ok {
			continue
		}
		t := lb.TargetRejection{Target: target, SinceAge: now.Sub(report.since), RenewedAge: now.Sub(report.renewedAt)}
		if !report.servedAt.IsZero() {
			t.Served, t.ServedAge = true, now.Sub(report.servedAt)
		}
		out = append(out, t)
	}
	return out
}

// IncomingRejections merges the reports of a peer. Those of unknown targets are
// ignored.
func (b *Balancer) IncomingRejections(now time.Time, from string, reports []lb.TargetRejection) (news bool) {
	known := b.rejections.all()
	for _, in := range reports {
		state := known[in.Target]
		if state == nil {
			continue
		}
		report := rejectionReport{since: now.Add(-in.SinceAge), renewedAt: now.Add(-in.RenewedAge)}
		if in.Served {
			report.servedAt = now.Add(-in.ServedAge)
		}
		switch state.merge(now, report, b.shareDivisor()) {
		case unchanged:
			continue
		case reportedNow:
			b.recordRejection(eventReceived)
			b.rejections.info(now, "another host reports that a target rejects all requests; only trial requests are sent to it unless one is served meanwhile",
				zap.Stringer("target", in.Target), zap.String("peer", from), zap.Duration("since", in.SinceAge))
		case refutedNow:
			// The sender learns of it from the response; nobody else needs to be told.
			b.recordRejection(eventRefuted)
			continue
		case returnedNow:
			for _, p := range *b.pools.Load() {
				p.endRejection(now, in.Target)
			}
			b.recordRejection(eventReturned)
			b.rejections.info(now, "another host had a request served by a target that was reported to reject all; using it as before",
				zap.Stringer("target", in.Target), zap.String("peer", from))
		}
		news = true
	}
	return news
}

// recordRejection counts a change of a report, which changes where requests go.
func (b *Balancer) recordRejection(event string) {
	b.metrics.rejectionReports.WithLabelValues(event).Inc()
	b.availabilityGeneration.Add(1)
}

// The values of the metric's label "event".
const (
	eventMade     = "made"
	eventReceived = "received"
	eventRefuted  = "refuted"
	eventReturned = "returned"
)

// recordResult records what the result of a request says about rejections. It returns
// true when other hosts should be told. The caller holds the pool's lock.
func (p *pool) recordResult(now time.Time, a *attempt, verdict lb.Verdict) (news bool) {
	t := a.target
	switch verdict {
	case lb.Succeeded:
		switch t.rejection.served(now, a.sent) {
		case refutedNow:
			p.balancer.recordRejection(eventRefuted)
			return false
		case returnedNow:
			t.health.endRejection(now)
			p.balancer.recordRejection(eventReturned)
			p.balancer.rejections.info(now, "target that was reported to reject all requests has served one; using it and telling the other hosts",
				zap.Stringer("target", t.addr))
			return true
		}
		return false
	case lb.Failed, lb.TimedOut:
		t.rejection.failed()
		return false
	case lb.Shed:
		if t.rejection.rejected(now, p.balancer.shareDivisor()) {
			return true
		}
	}
	return false
}

// reportRejections reports a target that this host has ejected for its rejections. It
// returns true when other hosts should be told. The caller holds the pool's lock.
func (p *pool) reportRejections(now time.Time, t *target) bool {
	if t.health.phase != ejected || !t.rejection.report(now, p.balancer.shareDivisor()) {
		return false
	}
	p.balancer.recordRejection(eventMade)
	p.balancer.rejections.info(now, "target rejects all requests of this host; telling the other hosts and sending it trial requests only",
		zap.Stringer("target", t.addr), zap.String("pool", p.name))
	return true
}

// endRejection ends the ejection of a target that rejected all requests of this host
// and serves those of others, unless that was done lately: the target may reject the
// requests of this host alone.
func (p *pool) endRejection(now time.Time, addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.find(addr); t != nil && now.Sub(t.returnedAt) > rejectionExpiry {
		t.returnedAt = now
		t.health.endRejection(now)
	}
}
