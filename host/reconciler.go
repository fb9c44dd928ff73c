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
	// reconcileInterval is the time between two looks at what may change.
	reconcileInterval = 200 * time.Millisecond
	// reconcileWhole is the time after which the specs are derived anew
	// although no change was seen.
	reconcileWhole = 5 * time.Second
)

// The calls a second of all hosts together by which the ledger uses the table
// service.
const (
	claimCallsPerSecond   = 300
	outcomeCallsPerSecond = 40
)

// reconciler hands the tables, the members and the state of targets on to the
// parts that decide, whenever one of them has changed.
type reconciler struct {
	parts   *parts
	resolve resolveFunc
	// handOver is false on a host that always dispatches directly.
	handOver bool
	clock    clockwork.Clock
	log      *zap.Logger
	kick     chan struct{}

	last input
}

func newReconciler(h *Host, clock clockwork.Clock) *reconciler {
	return &reconciler{
		parts:    &h.parts,
		resolve:  h.parts.resolver.Targets,
		handOver: h.settings.Host.Handoff,
		clock:    clock,
		log:      h.log,
		kick:     make(chan struct{}, 1),
	}
}

// input is all that the specs are derived from.
type input struct {
	tables *table.Tables
	peers  []handoff.Peer
	hosts  int
	// changes is the count of the balancer and of the resolver.
	changes uint64
	specs   specs
	// derived is when the specs were derived.
	derived time.Time
}

// same reports whether specs derived now would be the same.
func (in *input) same(last *input) bool {
	return in.tables == last.tables && in.hosts == last.hosts && in.changes == last.changes &&
		slices.Equal(in.peers, last.peers) && in.derived.Sub(last.derived) < reconcileWhole
}

// changed asks for a look at once.
func (r *reconciler) changed() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

func (r *reconciler) run(ctx context.Context) error {
	ticker := r.clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		r.look()
		select {
		case <-ctx.Done():
			return nil
		case <-r.kick:
		case <-ticker.Chan():
		}
	}
}

// look brings the parts up to date when something has changed.
func (r *reconciler) look() {
	now := r.clock.Now()
	next := input{
		tables: r.parts.keeper.Current(), peers: r.peers(), hosts: len(r.parts.members.Hosts()),
		changes: r.parts.balancer.Changes() + r.parts.resolver.Changes(), derived: now,
	}
	if next.same(&r.last) {
		return
	}
	next.specs = buildSpecs(next.tables, r.resolve, func(pool string) map[netip.AddrPort]string {
		return lo.SliceToMap(r.parts.balancer.States(now, pool), func(s balance.TargetState) (netip.AddrPort, string) {
			return s.Addr, s.State
		})
	})
	if reflect.DeepEqual(next.specs, r.last.specs) && slices.Equal(next.peers, r.last.peers) && next.hosts == r.last.hosts {
		r.last = next
		return
	}
	r.apply(now, next)
}

// apply hands new specs on to the parts.
func (r *reconciler) apply(now time.Time, next input) {
	if err := r.parts.balancer.Update(now, next.specs.targets); err != nil {
		r.log.Error("pools refused", zap.Uint64("version", next.tables.Version), zap.Error(err))
		return
	}
	hosts := float64(max(1, next.hosts))
	r.parts.ledger.SetCallRates(claimCallsPerSecond/hosts, outcomeCallsPerSecond/hosts)
	r.parts.direct.Update(next.specs.direct)
	r.parts.groups.Update(next.specs.groups)
	r.parts.meter.SetSlots(next.specs.slots)
	r.parts.handoff.Update(next.peers, next.specs.pools)
	r.parts.prober.Update(next.specs.probes)
	r.announceDrains(next.specs)
	r.last = next
}

// announceDrains tells the peers of targets that began to leave by the host
// list, which others read later. The operator's drain key is not announced: it
// reaches all hosts with the tables and ends with them, while a mark that peers
// hold outlasts the key.
func (r *reconciler) announceDrains(s specs) {
	for name, leaving := range s.leaving {
		for _, target := range leaving {
			if !lo.Contains(r.last.specs.leaving[name], target) {
				r.parts.node.AnnounceDrain(target)
			}
		}
	}
}

// peers are the live hosts that may own groups.
func (r *reconciler) peers() []handoff.Peer {
	if !r.handOver {
		return nil
	}
	live := lo.Filter(r.parts.members.Members(), func(m membership.Member, _ int) bool {
		return m.State == membership.Live
	})
	return lo.Map(live, func(m membership.Member, _ int) handoff.Peer {
		return handoff.Peer{Member: owner.Member{Name: m.Name, FailureDomain: m.FailureDomain}, Addr: m.Addr}
	})
}
