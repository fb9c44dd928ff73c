package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/quota"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/settings"
	"github.com/chestnutfield/chestnutfield/table"
)

// leavingMarkDuration is how long a host counts as leaving after the membership last
// said so: several reconciliations.
const leavingMarkDuration = time.Second

// handOverTime is how long a quota host that stops goes on answering after it announced
// that: the others learn of it by gossip (0.5 s), read the members (0.2 s) and change
// their quota host 0.6 s after the last of their delegations, which they send each 0.2 s.
const handOverTime = 1500 * time.Millisecond

// quotas admits requests within the quotas of their workspaces, together with the other
// hosts.
type quotas struct {
	*quota.Client
	messages *messages
	roster   *roster.Roster
	members  *membership.Service
	tables   func() *table.Tables
	clock    clockwork.Clock
	// hostsKnown is true while the roster holds all hosts.
	hostsKnown atomic.Bool
}

func newQuotas(i do.Injector) (*quotas, error) {
	s, m := do.MustInvoke[*settings.Settings](i), do.MustInvoke[*messages](i)
	clock, tables := do.MustInvoke[clockwork.Clock](i), do.MustInvoke[*config.Syncer](i).Current
	hosts := roster.New(rosterHost(membership.Member{Name: s.Host.Name, Addr: s.Listen.Peers, FailureDomain: s.Host.FailureDomain}))
	q := &quotas{messages: m, roster: hosts, members: do.MustInvoke[*membership.Service](i), tables: tables, clock: clock}
	client, err := quota.NewClient(quota.Options{
		Node: m.node, Roster: hosts, Tables: tables, HostsKnown: q.hostsKnown.Load,
		Clock: clock, Logger: do.MustInvoke[*zap.Logger](i), Registerer: do.MustInvoke[*prometheus.Registry](i),
	})
	q.Client = client
	return q, err
}

// run delegates this host's parts of the quotas until the context ends.
func (q *quotas) run(ctx context.Context) error {
	q.Run(ctx)
	return nil
}

// update sets the hosts that share the quotas and, when the tables have one, asks for
// the messages between hosts. A host that is leaving keeps its part and gives up the
// work of a quota host.
func (q *quotas) update() {
	if !hasQuotas(q.tables()) {
		q.hostsKnown.Store(false)
		return
	}
	// Asked before the members are: a list that is known to be complete only now may
	// not have been when it was read.
	known := q.members.HostsKnown()
	members := q.members.Members()
	q.roster.SetHosts(rosterHosts(members))
	until := q.clock.Now().Add(leavingMarkDuration)
	for _, m := range members {
		if m.State == membership.Leaving {
			q.roster.MarkLeaving(m.Name, until)
		}
	}
	q.hostsKnown.Store(known)
	q.messages.need()
}

// handOver waits until the other hosts have changed to another quota host than this one,
// which announced its stop at leftAt, or the context ends.
func (q *quotas) handOver(ctx context.Context, leftAt time.Time) {
	wait := handOverTime - q.clock.Since(leftAt)
	if wait <= 0 || !q.isQuotaHost() {
		return
	}
	select {
	case <-ctx.Done():
	case <-q.clock.After(wait):
	}
}

// isQuotaHost reports whether this host is the first to grant a quota of the tables.
func (q *quotas) isQuotaHost() bool {
	if q.roster.Count() == 1 {
		return false
	}
	return lo.SomeBy(lo.Values(q.tables().Workspaces), func(w table.Workspace) bool {
		return w.RatePerSecond > 0 && q.roster.Preferred(quota.TaskOf(w.Name), 1)[0].Name == q.roster.Self().Name
	})
}

// hasQuotas reports whether a workspace of the tables has a quota.
func hasQuotas(t *table.Tables) bool {
	return lo.SomeBy(lo.Values(t.Workspaces), func(w table.Workspace) bool { return w.RatePerSecond > 0 })
}

// rosterHosts returns the hosts of the membership that have not gone.
func rosterHosts(members []membership.Member) []roster.Host {
	present := lo.Reject(members, func(m membership.Member, _ int) bool { return m.State == membership.Gone })
	return lo.Map(present, func(m membership.Member, _ int) roster.Host { return rosterHost(m) })
}

// rosterHost returns a host as the roster names it. All have the same strength here,
// as the membership knows of none.
func rosterHost(m membership.Member) roster.Host {
	return roster.Host{Name: m.Name, Addr: m.Addr, FailureDomain: m.FailureDomain, Strength: 1}
}
