package host

import (
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/owner"
	"github.com/chestnutfield/chestnutfield/table"
)

// warmupMembersTTL is the time between two readings of the list of members. A host that
// joins acquires its lease several seconds after the others know it.
const warmupMembersTTL = 100 * time.Millisecond

// warmupMembership is what warmupRoles needs of the membership.
type warmupMembership interface {
	Self() membership.Member
	Members() []membership.Member
	ShareDivisor() int
	Held() bool
	Informed() bool
}

// warmupRoles derives this host's part in warm-up rates from the membership: the owner
// of a group has the part of the holder, all hosts share the rest. It implements
// balance.WarmupRoles and is safe for concurrent use.
type warmupRoles struct {
	members warmupMembership

	mu      sync.Mutex
	readAt  time.Time
	live    []owner.Member
	tenures map[owner.Group]*owner.Tenure
}

var _ balance.WarmupRoles = (*warmupRoles)(nil)

func newWarmupRoles(i do.Injector) (*warmupRoles, error) {
	return &warmupRoles{members: do.MustInvoke[*membership.Service](i), tenures: map[owner.Group]*owner.Tenure{}}, nil
}

// WarmupRole implements balance.WarmupRoles. A host that knows no other and holds no
// lease has no role: when a deployment starts for the first time, each of its hosts
// reads an empty list.
func (r *warmupRoles) WarmupRole(now time.Time, pool, failureDomain string) balance.WarmupRole {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, g := r.members.Held(), owner.Group{Pool: pool, FailureDomain: failureDomain}
	t := r.tenures[g]
	if t == nil {
		t = &owner.Tenure{}
		r.tenures[g] = t
	}
	t.Update(now, r.first(now, g) && (held || len(r.live) > 1), held)
	return balance.WarmupRole{
		Role: backpressure.Role{HeldSince: t.Since(), Hosts: r.members.ShareDivisor()}, Confirmed: t.Confirmed(),
	}
}

// reads reports whether this host reads the warm-ups of a pool's targets in a failure
// domain as their owner. A lone host does so before it has a role, since it would refuse
// requests to warm targets until then.
func (r *warmupRoles) reads(now time.Time, pool, failureDomain string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.first(now, owner.Group{Pool: pool, FailureDomain: failureDomain}) && (r.members.Held() || r.members.Informed())
}

// first reports whether this host is the owner of a group by its list of members. The
// caller holds the lock.
func (r *warmupRoles) first(now time.Time, g owner.Group) bool {
	if r.readAt.IsZero() || now.Sub(r.readAt) >= warmupMembersTTL {
		r.readAt = now
		r.live = lo.FilterMap(r.members.Members(), func(m membership.Member, _ int) (owner.Member, bool) {
			return owner.Member{Name: m.Name, FailureDomain: m.FailureDomain}, m.State == membership.Live
		})
	}
	m, ok := owner.Assign(g, r.live)
	return ok && m.Name == r.members.Self().Name
}

// dispatchDirectly marks the pools as ones without owners, for a host that hands nothing
// over.
func (s *specs) dispatchDirectly() {
	for name, spec := range s.balancing {
		spec.Warmup.Owned = false
		s.balancing[name] = spec
	}
}

// warmupSpec returns the warm-up rate of a pool.
func warmupSpec(p table.Pool) balance.WarmupSpec {
	return balance.WarmupSpec{Pool: p.Name, PerSecond: p.WarmupPerSecond, Owned: p.UsesOwners(), Probed: readsWarmups(p)}
}

// readsWarmups reports whether probes can read the warm-ups of a pool's targets.
func readsWarmups(p table.Pool) bool {
	return p.ProbeBudget > 0 && (p.LoadPath != "" || p.HealthPath != "")
}

// warnUnreadWarmups logs pools whose warm-up rate has no effect.
func (r *reconciler) warnUnreadWarmups(t *table.Tables) {
	for _, p := range t.Pools {
		if p.WarmupPerSecond > 0 && !readsWarmups(p) {
			r.log.Warn("pool has a warm-up rate without load_path, health_path or probe_budget; its targets are never taken as cold",
				zap.Uint64("version", t.Version), zap.String("pool", p.Name))
		}
	}
}
