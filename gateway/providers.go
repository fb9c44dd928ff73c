package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/coordinator"
	"github.com/chestnutfield/chestnutfield/detour"
	"github.com/chestnutfield/chestnutfield/hedge"
	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/patience"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/proxy"
	"github.com/chestnutfield/chestnutfield/quarantine"
	"github.com/chestnutfield/chestnutfield/quota"
	"github.com/chestnutfield/chestnutfield/reach"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/retry"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/settings"
	"github.com/chestnutfield/chestnutfield/storesync"
	"github.com/chestnutfield/chestnutfield/table"
	"github.com/chestnutfield/chestnutfield/upstream"
)

const (
	// retrySlackShare is the part of the deployment's retry slack that all hosts
	// together may use at once; the rest covers what they can't know, such as
	// hosts that have just joined.
	retrySlackShare = 0.6
	// hedgeShare is the part of a route's latency objective after which a lookup
	// without a response is sent to a second target: late enough that most are
	// answered before, early enough that the second response may still be in time.
	hedgeShare = 0.6
	// targetIdleTimeout is how long an unused connection to a target stays open
	// when the target names no time of its own.
	targetIdleTimeout = 4 * time.Second
	// connectTimeout bounds connecting to a target: several times the round trip
	// between failure domains.
	connectTimeout = 250 * time.Millisecond
)

// newMonitor returns the monitor that learns from the client's connections; newPlacement
// completes it.
func newMonitor(i do.Injector) (*reach.Monitor, error) {
	o := do.MustInvoke[Options](i)
	m, err := reach.New(reach.Options{Clock: o.Clock, Logger: o.Logger, Registerer: o.Registry})
	if err != nil {
		return nil, err
	}
	do.MustInvoke[*upstream.Client](i).SetContactObserver(m.Contacted)
	return m, nil
}

func newClient(i do.Injector) (*upstream.Client, error) {
	o := do.MustInvoke[Options](i)
	return upstream.New(upstream.Options{
		Clock: o.Clock, Dial: o.DialTarget, ConnectTimeout: connectTimeout, IdleTimeout: targetIdleTimeout,
		// A new connection also for each order that is handed over: a peer that stops
		// may close an idle connection just as an order is being written to it.
		NonIdempotentPeerMaxIdle: -1,
		Responses:                o.Responses,
	}), nil
}

func newRoster(i do.Injector) (*roster.Roster, error) {
	s := do.MustInvoke[*settings.Settings](i)
	return roster.New(roster.Host{
		Name: s.Host.Name, Addr: s.Listen.Peers, FailureDomain: s.Host.FailureDomain, Strength: s.Host.Strength,
	}), nil
}

func newNode(i do.Injector) (*hostmsg.Node, error) {
	o, s := do.MustInvoke[Options](i), do.MustInvoke[*settings.Settings](i)
	return hostmsg.Listen(s.Listen.Peers, o.Logger, o.Registry)
}

// The shares of a pool partition's load queries that its coordinator may send,
// and that all other hosts together may send, and the further queries of one of these
// for each request that it places.
const (
	coordinatorQueryShare      = 0.7
	otherHostsQueryShare       = 0.25
	otherHostQueriesPerRequest = placement.DefaultTargetsQueried
)

func newPlacement(i do.Injector) (*placement.Balancer, error) {
	o, s := do.MustInvoke[Options](i), do.MustInvoke[*settings.Settings](i)
	hosts := do.MustInvoke[*roster.Roster](i)
	monitor := do.MustInvoke[*reach.Monitor](i)
	querier := &placement.HTTPLoadQuerier{Client: do.MustInvoke[*upstream.Client](i), Dialect: o.Dialect}
	placer, err := placement.New(placement.Options{
		LoadQuerier:         querier,
		FailureDomain:       s.Host.FailureDomain,
		Regions:             s.Host.Regions,
		ParseLoad:           o.Dialect.ParseLoad,
		MaxQueriesPerSecond: s.Bounds.ProbesPerSecond,
		QueryAllowance: func(pool string, partition int) placement.QueryAllowance {
			if hosts.Rank(o.Clock.Now(), coordinator.Task(pool, partition))[0].Name == s.Host.Name {
				return placement.QueryAllowance{Share: coordinatorQueryShare}
			}
			return placement.QueryAllowance{Share: otherHostsQueryShare / float64(hosts.Count()), PerRequest: otherHostQueriesPerRequest}
		},
		Reach:      monitor,
		Logger:     o.Logger,
		Seed:       xxhash.Sum64String(s.Host.Name),
		Clock:      o.Clock,
		Registerer: o.Registry,
	})
	if err != nil {
		return nil, err
	}
	querier.Observer, monitor.Prober = placer, placer
	placer.SetExtraAttempts(extraAttempts(s))
	return placer, nil
}

func newCoordinatorClient(i do.Injector) (*coordinator.Client, error) {
	o, s := do.MustInvoke[Options](i), do.MustInvoke[*settings.Settings](i)
	return coordinator.NewClient(coordinator.Options{
		Node: do.MustInvoke[*hostmsg.Node](i), Roster: do.MustInvoke[*roster.Roster](i),
		Local: do.MustInvoke[*placement.Balancer](i), Reach: do.MustInvoke[*reach.Monitor](i), FailureDomain: s.Host.FailureDomain,
		Clock: o.Clock, Logger: o.Logger, Registerer: o.Registry,
	})
}

func newFollower(i do.Injector) (*storesync.Follower, error) {
	o, placer := do.MustInvoke[Options](i), do.MustInvoke[*placement.Balancer](i)
	s := do.MustInvoke[*settings.Settings](i)
	return storesync.New(storesync.Options{
		Source: o.Source, Node: do.MustInvoke[*hostmsg.Node](i), Roster: do.MustInvoke[*roster.Roster](i),
		OnChange: func(targets map[string][]registry.Target, all ...*table.Tables) {
			placer.Update(poolSpecs(targets, all))
		},
		FirstStart: s.Host.FirstStart, Responses: o.Responses,
		Clock: o.Clock, Logger: o.Logger, Registerer: o.Registry,
	})
}

// poolSpecs returns the pools of all given tables with their targets; where tables
// differ, the last ones win. They also say which failure domains are evacuated.
func poolSpecs(targets map[string][]registry.Target, all []*table.Tables) map[string]placement.PoolSpec {
	out := map[string]placement.PoolSpec{}
	for _, t := range all {
		extended := placement.ExtensionInUse(t)
		for name, pool := range t.Pools {
			out[name] = placement.PoolSpec{
				HealthPath: pool.HealthPath, WarmupPerSecond: pool.WarmupPerSecond, Targets: targets[pool.Service],
				Evacuated: all[len(all)-1].Evacuated, Extended: extended,
			}
		}
	}
	return out
}

func newBudget(i do.Injector) (*retry.Budget, error) {
	o, s := do.MustInvoke[Options](i), do.MustInvoke[*settings.Settings](i)
	bounds := retryBounds(s)
	return retry.New(retry.Options{
		Ratio: bounds.Ratio, MinPerSecond: retry.NoMinimum, Burst: bounds.Burst,
		Membership: do.MustInvoke[*roster.Roster](i), Registerer: o.Registry,
	})
}

func newGuard(i do.Injector) (*quarantine.Guard, error) {
	o, s := do.MustInvoke[Options](i), do.MustInvoke[*settings.Settings](i)
	return quarantine.NewGuard(quarantine.Options{
		Node: do.MustInvoke[*hostmsg.Node](i), Roster: do.MustInvoke[*roster.Roster](i),
		Store: o.Suspects, Checker: do.MustInvoke[*placement.Balancer](i), Reach: do.MustInvoke[*reach.Monitor](i),
		FirstStart: s.Host.FirstStart, Clock: o.Clock, Logger: o.Logger, Registerer: o.Registry,
	})
}

func newQuota(i do.Injector) (*quota.Client, error) {
	o, f := do.MustInvoke[Options](i), do.MustInvoke[*storesync.Follower](i)
	return quota.NewClient(quota.Options{
		Node: do.MustInvoke[*hostmsg.Node](i), Roster: do.MustInvoke[*roster.Roster](i),
		Tables: f.Current, HostsKnown: f.HostsKnown,
		Clock: o.Clock, Logger: o.Logger, Registerer: o.Registry,
	})
}

func retryBounds(s *settings.Settings) retry.Bounds {
	return retry.Bounds{Ratio: s.Bounds.RetryRatio - s.ExtraAttempts.Ratio, Burst: s.Bounds.RetrySlack * retrySlackShare}
}

// extraAttempts returns the operator's limit on copies of requests.
func extraAttempts(s *settings.Settings) hedge.Limit {
	return hedge.Limit{Ratio: s.ExtraAttempts.Ratio, PerSecond: s.ExtraAttempts.PerSecond}
}

// newExtraAttempts returns how callers' requests get copies under the operator's limit,
// which placement keeps; nil when there is none.
func newExtraAttempts(s *settings.Settings) *proxy.ExtraAttempts {
	if limit := extraAttempts(s); limit.Enabled() {
		return &proxy.ExtraAttempts{Delays: hedge.NewDelays(limit.Ratio), Queries: hedge.NewQueries(limit)}
	}
	return nil
}

func newProxyServer(i do.Injector) (*proxy.Server, error) {
	o, s := do.MustInvoke[Options](i), do.MustInvoke[*settings.Settings](i)
	f := do.MustInvoke[*storesync.Follower](i)
	return proxy.New(proxy.Options{
		Tables: f, Configured: f.Configured, TablesConfirmed: f.TablesConfirmed,
		Balancer: &detour.Balancer{QueueingBalancer: do.MustInvoke[*coordinator.Client](i), Relays: do.MustInvoke[*detour.Relays](i)}, Retries: do.MustInvoke[*retry.Budget](i), Guard: do.MustInvoke[*quarantine.Guard](i),
		Quota:         do.MustInvoke[*quota.Client](i),
		ExtraAttempts: newExtraAttempts(s),
		Client:        do.MustInvoke[*upstream.Client](i), Dialect: &o.Dialect,
		Clock: o.Clock, Registerer: o.Registry, Logger: o.Logger,
		RequestLog: requestLog{o.Logger},
		Limits:     proxyLimits(s), Patience: patience.New(),
	})
}

func newRelays(i do.Injector) (*detour.Relays, error) {
	o, s := do.MustInvoke[Options](i), do.MustInvoke[*settings.Settings](i)
	return detour.NewRelays(detour.Options{
		Node: do.MustInvoke[*hostmsg.Node](i), Roster: do.MustInvoke[*roster.Roster](i), Reach: do.MustInvoke[*reach.Monitor](i),
		Regions: s.Host.Regions, Port: s.Listen.Relay.Port(), Clock: o.Clock, Logger: o.Logger, Registerer: o.Registry,
	})
}

// relayServer takes requests from hosts that don't reach the targets.
type relayServer struct{ *proxy.Server }

func newRelayServer(i do.Injector) (relayServer, error) {
	o, s := do.MustInvoke[Options](i), do.MustInvoke[*settings.Settings](i)
	server, err := proxy.New(proxy.Options{
		Tables:     do.MustInvoke[*storesync.Follower](i),
		Balancer:   &detour.RelayBalancer{QueueingBalancer: do.MustInvoke[*coordinator.Client](i), Relays: do.MustInvoke[*detour.Relays](i)},
		Retries:    detour.RetriesOnly{RetryBudget: do.MustInvoke[*retry.Budget](i)},
		Guard:      do.MustInvoke[*quarantine.Guard](i),
		Client:     do.MustInvoke[*upstream.Client](i),
		Dialect:    &o.Dialect,
		Clock:      o.Clock,
		Logger:     o.Logger,
		RequestLog: requestLog{o.Logger.With(zap.Bool("relayed", true))},
		Limits:     relayLimits(s),
		PeerServer: &proxy.PeerServerOptions{Relay: true},
	})
	return relayServer{server}, err
}

// relayLimits returns the limits of the server for other hosts. They have received the
// bodies of uploads whole, so that this host doesn't.
func relayLimits(s *settings.Settings) proxy.Limits {
	l := proxyLimits(s)
	l.UploadBufferBytes = 0
	return l
}

// proxyLimits returns the limits of the servers for callers and for other hosts.
func proxyLimits(s *settings.Settings) proxy.Limits {
	return proxy.Limits{
		HeaderBytes: s.Limits.MaxHeaderBytes, HeaderTimeout: s.Limits.HeaderTimeout,
		Connections: s.Limits.MaxCallerConnections, BufferUnknownLength: true, UploadBufferBytes: s.Limits.UploadBufferBytes,
		HedgeObjectiveFraction: hedgeShare, ShutdownDelay: idleCloseDelay,
	}
}
