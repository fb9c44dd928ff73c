package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/desk"
	"github.com/chestnutfield/chestnutfield/dialect"
	"github.com/chestnutfield/chestnutfield/mesh"
	"github.com/chestnutfield/chestnutfield/news"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/proxy"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/retry"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/settings"
	"github.com/chestnutfield/chestnutfield/table"
	"github.com/chestnutfield/chestnutfield/upstream"
)

const (
	// rotationTime is how long a stopping host serves new connections: it is
	// asked each second and gets none after two answers that it is not ready.
	rotationTime = 2600 * time.Millisecond
	// stopReserve is left of the grace for the end of the process itself.
	stopReserve = 400 * time.Millisecond
	// slackUsed is the part of the deployment's slack of further attempts that
	// all hosts together may use at once; the rest is for what they can't know,
	// such as hosts that have just joined.
	slackUsed = 0.6
	// hedgeShare is the part of a route's objective after which a lookup that
	// has no answer is sent to a second target: late enough that most have
	// theirs, early enough that the second may still be in time.
	hedgeShare = 0.6
	// targetIdle is how long a connection to a target is kept unused where the
	// target does not say.
	targetIdle = 4 * time.Second
	// connectTimeout bounds the opening of a connection to a target: several
	// times the way there and back between failure domains.
	connectTimeout = 250 * time.Millisecond
)

// Options are what an embedder brings. Source, Dialect and ReadyPath are
// required.
type Options struct {
	Source  news.Source
	Dialect dialect.Dialect
	// ReadyPath is where the deployment asks whether the host is ready.
	ReadyPath string
	// Logger writes changes of state and requests; nil writes none.
	Logger *zap.Logger
	// Registry takes the metrics; nil makes a new one.
	Registry *prometheus.Registry
	// Clock is the clock of decisions; nil selects the real one.
	Clock clockwork.Clock
}

// Gateway is one entry host.
type Gateway struct {
	settings  *settings.Settings
	placer    *placement.Balancer
	budget    *retry.Budget
	log       *zap.Logger
	follower  *news.Follower
	node      *mesh.Node
	callers   *proxy.Server
	ready     *readyServer
	clock     clockwork.Clock
	callersLn net.Listener
	readyLn   net.Listener
	newsLn    net.Listener

	cancel  context.CancelFunc
	loops   sync.WaitGroup
	servers sync.WaitGroup
}

// New binds the addresses and wires a gateway; it calls nobody.
func New(s *settings.Settings, o Options) (*Gateway, error) {
	if o.Source == nil || o.ReadyPath == "" {
		return nil, errors.New("gateway: Source and ReadyPath are required")
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, o)
	do.Provide(i, newClient)
	do.Provide(i, newPlacement)
	do.Provide(i, newNode)
	do.Provide(i, newRoster)
	do.Provide(i, newDesk)
	do.Provide(i, newFollower)
	do.Provide(i, newBudget)
	do.Provide(i, newCallers)
	callers, err := do.Invoke[*proxy.Server](i)
	if err != nil {
		return nil, errors.Wrap(err, "assemble gateway")
	}
	f, node := do.MustInvoke[*news.Follower](i), do.MustInvoke[*mesh.Node](i)
	placer := do.MustInvoke[*placement.Balancer](i)
	desk.Serve(node, placer, o.Clock, o.Logger)
	g := &Gateway{
		settings: s, placer: placer, budget: do.MustInvoke[*retry.Budget](i), log: o.Logger, follower: f, node: node, callers: callers, clock: o.Clock,
		ready: newReadyServer(o.ReadyPath, f.Configured, o.Registry),
	}
	if err := g.listen(); err != nil {
		node.Close()
		return nil, err
	}
	return g, nil
}

func (g *Gateway) listen() (err error) {
	if g.callersLn, err = net.Listen("tcp", g.settings.Listen.Callers.String()); err != nil {
		return errors.Wrap(err, "callers address")
	}
	if g.readyLn, err = net.Listen("tcp", g.settings.Listen.Ready.String()); err != nil {
		g.callersLn.Close()
		return errors.Wrap(err, "ready address")
	}
	if g.newsLn, err = net.Listen("tcp", g.settings.Listen.Peers.String()); err != nil {
		g.callersLn.Close()
		g.readyLn.Close()
		return errors.Wrap(err, "peers address")
	}
	return nil
}

func newClient(i do.Injector) (*upstream.Client, error) {
	return upstream.New(upstream.Options{
		Clock: do.MustInvoke[Options](i).Clock, ConnectTimeout: connectTimeout, IdleTimeout: targetIdle,
		// A target may close a kept connection as an order is written to it.
		FreshIdle: -1,
	}), nil
}

func newRoster(i do.Injector) (*roster.Roster, error) {
	s := do.MustInvoke[*settings.Settings](i)
	return roster.New(roster.Host{
		Name: s.Host.Name, Addr: s.Listen.Peers, FailureDomain: s.Host.FailureDomain, Strength: s.Host.Strength,
	}), nil
}

func newNode(i do.Injector) (*mesh.Node, error) {
	o, s := do.MustInvoke[Options](i), do.MustInvoke[*settings.Settings](i)
	return mesh.Listen(s.Listen.Peers, o.Logger, o.Registry)
}

// The parts of the questions about a pool that its desk and all other hosts
// together may ask.
const (
	deskQuestions  = 0.7
	otherQuestions = 0.25
)

func newPlacement(i do.Injector) (*placement.Balancer, error) {
	o, s := do.MustInvoke[Options](i), do.MustInvoke[*settings.Settings](i)
	hosts := do.MustInvoke[*roster.Roster](i)
	return placement.New(placement.Options{
		Asker:              placement.HTTPAsker{Client: do.MustInvoke[*upstream.Client](i), Dialect: o.Dialect},
		FailureDomain:      s.Host.FailureDomain,
		ParseLoad:          o.Dialect.ParseLoad,
		QuestionsPerSecond: s.Bounds.ProbesPerSecond,
		Share: func(pool string, part int) float64 {
			if hosts.Order(o.Clock.Now(), desk.Task(pool, part))[0].Name == s.Host.Name {
				return deskQuestions
			}
			return otherQuestions / float64(hosts.Count())
		},
		Logger:     o.Logger,
		Seed:       xxhash.Sum64String(s.Host.Name),
		Clock:      o.Clock,
		Registerer: o.Registry,
	})
}

func newDesk(i do.Injector) (*desk.Client, error) {
	o, s := do.MustInvoke[Options](i), do.MustInvoke[*settings.Settings](i)
	return desk.NewClient(desk.Options{
		Node: do.MustInvoke[*mesh.Node](i), Roster: do.MustInvoke[*roster.Roster](i),
		Local: do.MustInvoke[*placement.Balancer](i), FailureDomain: s.Host.FailureDomain,
		Clock: o.Clock, Logger: o.Logger, Registerer: o.Registry,
	})
}

func newFollower(i do.Injector) (*news.Follower, error) {
	o, placer := do.MustInvoke[Options](i), do.MustInvoke[*placement.Balancer](i)
	s := do.MustInvoke[*settings.Settings](i)
	return news.New(news.Options{
		Source: o.Source, Node: do.MustInvoke[*mesh.Node](i), Roster: do.MustInvoke[*roster.Roster](i),
		OnChange: func(targets map[string][]registry.Target, all ...*table.Tables) { placer.Update(specs(targets, all)) },
		FirstStart: s.Host.FirstStart,
		Clock:      o.Clock, Logger: o.Logger, Registerer: o.Registry,
	})
}

// specs are the pools of some tables with their targets.
func specs(targets map[string][]registry.Target, all []*table.Tables) map[string]placement.PoolSpec {
	out := map[string]placement.PoolSpec{}
	for _, t := range all {
		for name, pool := range t.Pools {
			out[name] = placement.PoolSpec{HealthPath: pool.HealthPath, Targets: targets[pool.Service]}
		}
	}
	return out
}

func newBudget(i do.Injector) (*retry.Budget, error) {
	o, s := do.MustInvoke[Options](i), do.MustInvoke[*settings.Settings](i)
	bounds := retryBounds(s)
	return retry.New(retry.Options{
		Ratio: bounds.Ratio, Floor: retry.NoFloor, Burst: bounds.Burst,
		Membership: do.MustInvoke[*roster.Roster](i), Registerer: o.Registry,
	})
}

func retryBounds(s *settings.Settings) retry.Bounds {
	return retry.Bounds{Ratio: s.Bounds.RetryRatio, Burst: s.Bounds.RetrySlack * slackUsed}
}

func newCallers(i do.Injector) (*proxy.Server, error) {
	o, s := do.MustInvoke[Options](i), do.MustInvoke[*settings.Settings](i)
	f := do.MustInvoke[*news.Follower](i)
	return proxy.New(proxy.Options{
		Tables: f, Configured: f.Configured,
		Balancer: do.MustInvoke[*desk.Client](i), Retries: do.MustInvoke[*retry.Budget](i),
		Client: do.MustInvoke[*upstream.Client](i), Dialect: &o.Dialect,
		Clock: o.Clock, Registerer: o.Registry, Logger: o.Logger,
		RequestLog: requestLog{o.Logger},
		Limits: proxy.Limits{
			HeaderBytes: s.Limits.MaxHeaderBytes, HeaderTimeout: s.Limits.HeaderTimeout,
			Connections: s.Limits.MaxCallerConnections, HoldUnknownLength: true,
			HedgeShare: hedgeShare,
		},
	})
}

// Start runs the gateway.
func (g *Gateway) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.loops.Go(func() { g.follower.Run(ctx) })
	g.serve("mesh", g.node.Run)
	g.serve("news", func() error { return g.follower.Serve(g.newsLn) })
	g.serve("ready", func() error { return g.ready.serve(g.readyLn) })
	g.serve("callers", func() error { return g.callers.Serve(g.callersLn) })
	g.log.Info("started", zap.Stringer("callers", g.callersLn.Addr()), zap.Stringer("ready", g.readyLn.Addr()))
}

func (g *Gateway) serve(name string, run func() error) {
	g.servers.Go(func() {
		if err := run(); err != nil && !errors.Is(err, net.ErrClosed) {
			g.log.Error("server ended", zap.String("server", name), zap.Error(err))
		}
	})
}

// Reload takes the bounds of changed settings; addresses, names and limits on
// callers hold until the process starts again.
func (g *Gateway) Reload(s *settings.Settings) {
	g.placer.SetQuestions(s.Bounds.ProbesPerSecond)
	g.budget.Set(retryBounds(s))
	g.log.Info("settings read anew", zap.String("log_level", s.Log.Level), zap.Float64("retry_ratio", s.Bounds.RetryRatio),
		zap.Float64("retry_slack", s.Bounds.RetrySlack), zap.Float64("probes_per_second", s.Bounds.ProbesPerSecond))
}

// CallersAddr returns the address that takes callers' requests.
func (g *Gateway) CallersAddr() net.Addr { return g.callersLn.Addr() }

// ReadyAddr returns the address that answers whether the host is ready.
func (g *Gateway) ReadyAddr() net.Addr { return g.readyLn.Addr() }

// Stop is a planned stop: the host says that it is not ready, serves on until
// it gets no new connections, and returns when the last answer is given. What
// is left when the context ends is cut.
func (g *Gateway) Stop(ctx context.Context) error {
	g.log.Info("planned stop")
	g.ready.stopping.Store(true)
	g.callers.Retire()
	g.follower.AnnounceShutdown(g.settings.Bounds.StopGrace)
	select {
	case <-ctx.Done():
	case <-g.clock.After(rotationTime):
	}
	err := g.callers.Shutdown(ctx)
	g.cancel()
	// The listener first: a server that has not begun forgets its shutdown.
	_ = g.readyLn.Close()
	_ = g.ready.http.Shutdown()
	_ = g.newsLn.Close()
	_ = g.follower.Shutdown()
	_ = g.node.Close()
	g.log.Info("stopped", zap.Error(err))
	return err
}

// StopTime is how long Stop may take within the grace of the deployment.
func StopTime(grace time.Duration) time.Duration { return max(grace-stopReserve, grace/2) }
