package host

import (
	"maps"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/admin"
	"github.com/chestnutfield/chestnutfield/admin/api"
	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/query"
	"github.com/chestnutfield/chestnutfield/handoff"
	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/peer"
	"github.com/chestnutfield/chestnutfield/settings"
)

// provideAdmin registers the admin server and its status source.
func provideAdmin(i do.Injector) {
	do.Provide(i, newStatus)
	do.Provide(i, func(i do.Injector) (*admin.Server, error) {
		s := do.MustInvoke[*settings.Settings](i)
		serverTLS, err := s.Admin.TLS()
		if err != nil {
			return nil, err
		}
		return admin.New(admin.Options{
			Token:    s.Admin.Token,
			TLS:      serverTLS,
			Commands: do.MustInvoke[*command.Handler](i),
			Queries:  do.MustInvoke[*query.Reader](i),
			Config:   do.MustInvoke[*config.Syncer](i),
			Status:   do.MustInvoke[*status](i),
			Metrics:  do.MustInvoke[*prometheus.Registry](i),
		})
	})
}

// status reports the state of this host, its peers and its targets.
type status struct {
	members  *membership.Service
	node     *peer.Node
	balancer *balance.Balancer
	handoff  *handoff.Balancer
	syncer   *config.Syncer
	clock    clockwork.Clock
	stopping atomic.Bool
}

var _ admin.StatusSource = (*status)(nil)

func newStatus(i do.Injector) (*status, error) {
	return &status{
		members:  do.MustInvoke[*membership.Service](i),
		node:     do.MustInvoke[*peer.Node](i),
		balancer: do.MustInvoke[*balance.Balancer](i),
		handoff:  do.MustInvoke[*handoff.Balancer](i),
		syncer:   do.MustInvoke[*config.Syncer](i),
		clock:    do.MustInvoke[clockwork.Clock](i),
	}, nil
}

// Self describes this host.
func (s *status) Self() api.HostStatus { return hostStatus(s.members.Self()) }

// Stopping reports whether a graceful stop has begun.
func (s *status) Stopping() bool { return s.stopping.Load() }

// Peers describes the other hosts as this host knows them, with the version that
// each last reported as installed.
func (s *status) Peers() []api.HostStatus {
	now := s.clock.Now()
	self := s.members.Self().Name
	live := lo.Keyify(s.members.LiveHosts())
	heard := lo.KeyBy(s.node.Versions(), func(v peer.HostVersion) string { return v.Host })
	others := lo.Filter(s.members.Members(), func(m membership.Member, _ int) bool { return m.Name != self })
	return lo.Map(others, func(m membership.Member, _ int) api.HostStatus {
		h := hostStatus(m)
		_, h.Live = live[m.Name]
		if v, ok := heard[m.Name]; ok {
			h.Version, h.VersionAge = v.Version, age(now, v.HeardAt)
		}
		return h
	})
}

func age(now, then time.Time) time.Duration { return max(now.Sub(then), 0) }

func hostStatus(m membership.Member) api.HostStatus {
	return api.HostStatus{
		Name: m.Name, FailureDomain: m.FailureDomain,
		State: m.State.String(),
	}
}

// Pools describes the pools in force and the states of their targets.
func (s *status) Pools() []api.PoolStatus {
	now := s.clock.Now()
	t := s.syncer.Current()
	names := lo.Keys(t.Pools)
	slices.Sort(names)
	return lo.Map(names, func(name string, _ int) api.PoolStatus {
		return api.PoolStatus{
			Name: name, Service: t.Pools[name].Service, Targets: s.targets(now, name),
			Owners: lo.Map(s.handoff.Owners(name), func(o handoff.GroupOwner, _ int) api.GroupOwner {
				return api.GroupOwner{FailureDomain: o.Group.FailureDomain, Host: o.Host}
			}),
		}
	})
}

// targets describes the targets of a pool. InFlight counts the requests that
// this host dispatched directly and those that it dispatched as owner of a
// group. The state of a target in a group that this host owns is the one by
// which the host dispatches as its owner.
func (s *status) targets(now time.Time, pool string) []api.TargetStatus {
	self := s.members.Self().Name
	owned := map[netip.AddrPort]balance.TargetState{}
	for _, o := range s.handoff.Owners(pool) {
		if o.Host == self {
			maps.Copy(owned, lo.KeyBy(s.balancer.States(now, o.Group.String()), func(ts balance.TargetState) netip.AddrPort { return ts.Addr }))
		}
	}
	return lo.Map(s.balancer.States(now, pool), func(ts balance.TargetState, _ int) api.TargetStatus {
		t := api.TargetStatus{Addr: ts.Addr, FailureDomain: ts.FailureDomain, State: ts.State, InFlight: ts.InFlight,
			RateLimit: ts.RateLimit, LimitReason: ts.LimitReason, WarmupLeft: ts.WarmupLeft}
		if group, ok := owned[ts.Addr]; ok {
			t.State, t.InFlight = group.State, t.InFlight+group.InFlight
		}
		return t
	})
}
