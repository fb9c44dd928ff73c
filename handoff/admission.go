package handoff

import (
	"context"
	"time"

	"github.com/chestnutfield/chestnutfield/ports"
)

// admission admits at once what will be handed over, for its owner queues it;
// what is dispatched directly is left to next.
type admission struct {
	balancer *Balancer
	next     ports.Admission
}

// Admission returns the admission that goes with the balancer. Without an
// owner to hand to, or while none can be reached, requests of a pool are
// admitted by next.
func (b *Balancer) Admission(next ports.Admission) ports.Admission {
	return &admission{balancer: b, next: next}
}

// Admit admits at once or asks next.
func (a *admission) Admit(ctx context.Context, q ports.AdmitQuery) (ports.Permit, *ports.Refusal) {
	if a.balancer.handsOver(q.Pool) {
		return freePermit{}, nil
	}
	return a.next.Admit(ctx, q)
}

// handsOver reports whether a pool has groups whose owners can be reached.
func (b *Balancer) handsOver(pool string) bool {
	s := b.view.Load().pools[pool]
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.Open(b.opts.Clock.Now())
}

// freePermit holds nothing.
type freePermit struct{}

// Release does nothing.
func (freePermit) Release(time.Time, ports.Result) {}
