package host

import (
	"context"
	"net/netip"
	"reflect"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/handoff"
	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/owner"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// reconcileInterval is the time between two checks for changes.
	reconcileInterval = 200 * time.Millisecond
	// fullReconcileInterval is the time after which the specs are derived again
	// although no change was detected. The expiry of a drain mark in the
	// balancer, for one, advances no change counter.
	fullReconcileInterval = 5 * time.Second
)

// Limits of the ledger's calls to the table service, in calls per second of all
// hosts together.
const (
	claimCallsPerSecond   = 300
	outcomeCallsPerSecond = 40
)

// reconciler updates the components that make decisions whenever the tables,
// the members or the states of targets have changed.
type reconciler struct {
	components *components
	resolve    resolveFunc
	// handoffEnabled is false on a host that dispatches all requests directly
	// instead of handing them over to owners.
	handoffEnabled bool
	clock          clockwork.Clock
	log            *zap.Logger
	wake           chan struct{}

	// applied is the input of the specs that the components have.
	applied input
}

func newReconciler(h *Host, clock clockwork.Clock) *reconciler {
	return &reconciler{
		components:     &h.components,
		resolve:        h.components.resolver.Targets,
		handoffEnabled: h.settings.Host.Handoff,
		clock:          clock,
		log:            h.log,
		wake:           make(chan struct{}, 1),
	}
}

// input is the state from which specs are derived, with the specs themselves.
type input struct {
	tables *table.Tables
	peers  []handoff.Peer
	hosts  int
	// changes is the sum of the change counters of the balancer and the
	// resolver.
	changes uint64
	specs   specs
	// derivedAt is the time when the specs were derived.
	derivedAt time.Time
}

// unchangedSince reports whether the input equals the last one and that one is
// not older than fullReconcileInterval; the specs need not be derived again.
func (in *input) unchangedSince(last *input) bool {
	return in.tables == last.tables && in.hosts == last.hosts && in.changes == last.changes &&
		slices.Equal(in.peers, last.peers) && in.derivedAt.Sub(last.derivedAt) < fullReconcileInterval
}

// requestReconcile makes run reconcile without waiting for the next tick.
func (r *reconciler) requestReconcile() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *reconciler) run(ctx context.Context) error {
	ticker := r.clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		r.reconcile()
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-ticker.Chan():
		}
	}
}

// reconcile derives the specs and applies them when something has changed.
func (r *reconciler) reconcile() {
	now := r.clock.Now()
	r.components.crashGuard.setHosts(r.components.members.Members())
	r.components.balancer.EndWarmups(now)
	r.components.quotas.update()
	next := input{
		tables: r.components.syncer.Current(), peers: r.ownerCandidates(), hosts: len(r.components.members.LiveHosts()),
		changes: r.components.balancer.AvailabilityGeneration() + r.components.resolver.Generation(), derivedAt: now,
	}
	if next.unchangedSince(&r.applied) {
		return
	}
	if r.applied.tables == nil || r.applied.tables.Version != next.tables.Version {
		r.warnUnreadWarmups(next.tables)
	}
	next.specs = buildSpecs(next.tables, r.resolve, func(pool string) map[netip.AddrPort]balance.TargetState {
		return lo.KeyBy(r.components.balancer.States(now, pool), func(s balance.TargetState) netip.AddrPort { return s.Addr })
	})
	if !r.handoffEnabled {
		next.specs.dispatchDirectly()
	}
	if reflect.DeepEqual(next.specs, r.applied.specs) && slices.Equal(next.peers, r.applied.peers) && next.hosts == r.applied.hosts {
		r.applied = next
		return
	}
	r.apply(now, next)
}

// apply updates the components with new specs.
func (r *reconciler) apply(now time.Time, next input) {
	if err := r.components.balancer.Update(now, next.specs.balancing); err != nil {
		r.log.Error("balancer rejected the pools of this version; retrying at the next reconciliation", zap.Uint64("version", next.tables.Version), zap.Error(err))
		return
	}
	hosts := float64(max(1, next.hosts))
	r.components.ledger.SetCallRates(claimCallsPerSecond/hosts, outcomeCallsPerSecond/hosts)
	r.components.directAdmission.Update(next.specs.poolCapacity)
	r.components.groupAdmission.Update(next.specs.groupCapacity)
	r.components.meter.SetSlots(next.specs.groupSlots)
	r.components.handoff.Update(next.peers, next.specs.handoffs)
	r.components.prober.Update(next.specs.probes)
	r.announceDrains(next.specs)
	r.applied = next
}

// announceDrains announces to the peers the targets that have begun to drain
// according to the host list, which other hosts read later. Targets under the
// operator's drain key are not announced: the key takes effect and ends on all
// hosts with the tables, while a drain mark held by peers would outlast it.
func (r *reconciler) announceDrains(s specs) {
	for name, draining := range s.hostListDrains {
		for _, target := range draining {
			if !lo.Contains(r.applied.specs.hostListDrains[name], target) {
				r.components.node.AnnounceDrain(target)
			}
		}
	}
}

// ownerCandidates returns the live hosts, which may own groups; none when
// handoff is disabled.
func (r *reconciler) ownerCandidates() []handoff.Peer {
	if !r.handoffEnabled {
		return nil
	}
	live := lo.Filter(r.components.members.Members(), func(m membership.Member, _ int) bool {
		return m.State == membership.Live
	})
	return lo.Map(live, func(m membership.Member, _ int) handoff.Peer {
		return handoff.Peer{Member: owner.Member{Name: m.Name, FailureDomain: m.FailureDomain}, Addr: m.Addr}
	})
}
