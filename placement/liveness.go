package placement

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/upstream"
)

const (
	// livenessTries is the number of times that a target is asked whether it lives:
	// a kept connection may have been lost with its target alive.
	livenessTries = 2
	// livenessTimeout bounds one of them.
	livenessTimeout = 300 * time.Millisecond
)

// Responds reports whether the process of a pool's target responds to this host: to a
// load query, be it with bytes that are no HTTP response, or, where a query would count
// as a request or wait like one, to a new connection. A target of an unknown pool counts
// as responding, and so does an evacuated one, which is not asked.
func (b *Balancer) Responds(ctx context.Context, pool string, instance registry.Instance, addr netip.AddrPort) bool {
	p := (*b.pools.Load())[pool].ofTarget(instance.ID)
	if p == nil || p.isEvacuated(instance) {
		return true
	}
	t := registry.Target{Entry: registry.Entry{Instance: instance, Addr: addr}}
	return lo.SomeBy(lo.Range(livenessTries), func(int) bool {
		tryCtx, cancel := context.WithTimeout(ctx, livenessTimeout)
		defer cancel()
		return b.respondsOnce(tryCtx, p, t)
	})
}

func (b *Balancer) respondsOnce(ctx context.Context, p *partition, t registry.Target) bool {
	path, skip := p.queryPath()
	if prober, ok := b.opts.LoadQuerier.(Prober); ok && (skip || p.takesNoQueries(b.opts.Clock.Now(), t.Instance)) {
		return prober.Probe(ctx, t, "") == nil
	}
	_, err := b.opts.LoadQuerier.QueryLoad(ctx, t, path)
	return err == nil || errors.Is(err, ErrNoLoadReport) || errors.Is(err, upstream.ErrMalformed)
}

// takesNoQueries reports whether a target names a rate limit, for which a query
// counts, or wants no request from this host for a while.
func (p *partition) takesNoQueries(now time.Time, instance registry.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := lo.Find(p.targets, func(t *target) bool { return t.Instance == instance })
	return ok && !t.queryable(now)
}

// queryable reports whether the target may be queried.
func (t *target) queryable(now time.Time) bool {
	return !t.evacuated && !t.named.InForce() && !now.Before(t.pausedUntil)
}
