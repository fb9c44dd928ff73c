package handoff

import (
	"context"
	"time"

	"github.com/chestnutfield/chestnutfield/lb"
)

// admission admits requests immediately when they will be handed to the owner of
// a group, which queues them itself. Requests dispatched directly go through
// next.
type admission struct {
	balancer *Balancer
	next     lb.Admission
}

// Admission returns the lb.Admission to use with b. When a pool has no groups,
// or none of its owners can be reached, its requests are admitted by next.
func (b *Balancer) Admission(next lb.Admission) lb.Admission {
	return &admission{balancer: b, next: next}
}

// Admit admits the request immediately or delegates to next.
func (a *admission) Admit(ctx context.Context, q lb.AdmitQuery) (lb.Permit, *lb.Refusal) {
	if a.balancer.hasReachableOwner(q.Pool) {
		return noopPermit{}, nil
	}
	return a.next.Admit(ctx, q)
}

// hasReachableOwner reports whether a pool has a group whose owner can be reached.
func (b *Balancer) hasReachableOwner(pool string) bool {
	s := b.snapshot.Load().pools[pool]
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.Available(b.opts.Clock.Now())
}

// noopPermit is the permit of a request that its owner will admit.
type noopPermit struct{}

// Release does nothing.
func (noopPermit) Release(time.Time, lb.Result) {}
