package placement

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/registry"
)

const (
	// livenessTries is the number of times that a target is asked whether it lives:
	// a kept connection may have been lost with its target alive.
	livenessTries = 2
	// livenessTimeout bounds one of them.
	livenessTimeout = 300 * time.Millisecond
)

// Responds reports whether the process of a pool's target responds to this host. A
// pool whose targets can't be queried counts as responding.
func (b *Balancer) Responds(ctx context.Context, pool string, instance registry.Instance, addr netip.AddrPort) bool {
	p := (*b.pools.Load())[pool].ofTarget(instance.ID)
	if p == nil {
		return true
	}
	path, skip := p.queryPath()
	if skip {
		return true
	}
	t := registry.Target{Entry: registry.Entry{Instance: instance, Addr: addr}}
	if known, ok := p.find(instance); ok {
		t = known
	}
	return lo.SomeBy(lo.Range(livenessTries), func(int) bool {
		tryCtx, cancel := context.WithTimeout(ctx, livenessTimeout)
		defer cancel()
		_, err := b.opts.LoadQuerier.QueryLoad(tryCtx, t, path)
		return err == nil || errors.Is(err, ErrNoLoadReport)
	})
}

// find returns the target with an instance.
func (p *partition) find(instance registry.Instance) (registry.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := lo.Find(p.targets, func(t *target) bool { return t.Instance == instance })
	if !ok {
		return registry.Target{}, false
	}
	return t.Target, true
}
