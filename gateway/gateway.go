package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/coordinator"
	"github.com/chestnutfield/chestnutfield/detour"
	"github.com/chestnutfield/chestnutfield/dialect"
	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/internal/keepaccept"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/proxy"
	"github.com/chestnutfield/chestnutfield/quarantine"
	"github.com/chestnutfield/chestnutfield/quota"
	"github.com/chestnutfield/chestnutfield/reach"
	"github.com/chestnutfield/chestnutfield/retry"
	"github.com/chestnutfield/chestnutfield/settings"
	"github.com/chestnutfield/chestnutfield/shutdown"
	"github.com/chestnutfield/chestnutfield/storesync"
)

const (
	// deregistrationDelay is how long a leaving host still accepts new
	// connections: its readiness is checked every second, and it gets none after
	// two responses that it is not ready.
	deregistrationDelay = 2600 * time.Millisecond
	// idleCloseDelay is how long idle connections stay open after that.
	idleCloseDelay = 250 * time.Millisecond
	// exitReserve is the part of the grace period left for the process to exit, and
	// answerTime the part before it in which the callers of requests that targets still
	// work on are told that these are cut.
	exitReserve = 100 * time.Millisecond
	answerTime  = 150 * time.Millisecond
)

// Options configures a Gateway besides the settings file. Source, Suspects,
// Dialect and ReadyPath are required.
type Options struct {
	Source storesync.Source
	// Suspects keeps what is known of requests that end targets.
	Suspects quarantine.Store
	Dialect  dialect.Dialect
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// DialTarget opens connections to targets; nil selects a net.Dialer.
	DialTarget func(ctx context.Context, network, address string) (net.Conn, error)
	// Logger logs changes of state and one line per request; nil logs nothing.
	Logger *zap.Logger
	// Registry receives the metrics; nil selects a new one.
	Registry *prometheus.Registry
	// Responses counts and logs the responses that are not HTTP/1.1; nil selects a new
	// one with Logger and Registry.
	Responses *http1.Monitor
	// Clock is the time source; nil selects the real clock.
	Clock clockwork.Clock
}

// Gateway is one entry host.
type Gateway struct {
	settings    *settings.Settings
	placer      *placement.Balancer
	coordinator *coordinator.Client
	budget      *retry.Budget
	guard       *quarantine.Guard
	monitor     *reach.Monitor
	quota       *quota.Client
	relays      *detour.Relays
	relayServer relayServer
	log         *zap.Logger
	follower    *storesync.Follower
	node        *hostmsg.Node
	proxy       *proxy.Server
	ready       *readyServer
	clock       clockwork.Clock
	callersLn   net.Listener
	relayLn     net.Listener
	readyLn     net.Listener
	peersLn     net.Listener

	cancel  context.CancelFunc
	loops   sync.WaitGroup
	servers sync.WaitGroup
}

// New builds a gateway and binds its addresses. It sends nothing until Start.
func New(s *settings.Settings, o Options) (*Gateway, error) {
	if o.Source == nil || o.Suspects == nil || o.ReadyPath == "" {
		return nil, errors.New("gateway options: Source, Suspects and ReadyPath are required; at least one is missing")
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
	if o.Responses == nil {
		var err error
		if o.Responses, err = http1.NewMonitor(o.Logger, o.Registry); err != nil {
			return nil, err
		}
	}
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, o)
	do.Provide(i, newClient)
	do.Provide(i, newPlacement)
	do.Provide(i, newMonitor)
	do.Provide(i, newNode)
	do.Provide(i, newRoster)
	do.Provide(i, newCoordinatorClient)
	do.Provide(i, newFollower)
	do.Provide(i, newBudget)
	do.Provide(i, newGuard)
	do.Provide(i, newQuota)
	do.Provide(i, newRelays)
	do.Provide(i, newRelayServer)
	do.Provide(i, newProxyServer)
	server, err := do.Invoke[*proxy.Server](i)
	if err != nil {
		return nil, errors.Wrap(err, "build gateway")
	}
	f, node := do.MustInvoke[*storesync.Follower](i), do.MustInvoke[*hostmsg.Node](i)
	placer := do.MustInvoke[*placement.Balancer](i)
	coordinator.NewServer(node, placer, do.MustInvoke[*reach.Monitor](i), o.Clock, o.Logger)
	g := &Gateway{
		settings: s, placer: placer, coordinator: do.MustInvoke[*coordinator.Client](i), budget: do.MustInvoke[*retry.Budget](i), guard: do.MustInvoke[*quarantine.Guard](i), monitor: do.MustInvoke[*reach.Monitor](i), log: o.Logger, follower: f, node: node, proxy: server, clock: o.Clock,
		quota: do.MustInvoke[*quota.Client](i), relays: do.MustInvoke[*detour.Relays](i), relayServer: do.MustInvoke[relayServer](i),
		ready: newReadyServer(o.ReadyPath, f.Configured, o.Registry),
	}
	if err := g.listen(); err != nil {
		node.Close()
		return nil, err
	}
	return g, nil
}

// listen binds the TCP addresses.
func (g *Gateway) listen() (err error) {
	if g.callersLn, err = net.Listen("tcp", g.settings.Listen.Callers.String()); err != nil {
		return errors.Wrap(err, "bind the callers address")
	}
	if g.readyLn, err = net.Listen("tcp", g.settings.Listen.Ready.String()); err != nil {
		g.callersLn.Close()
		return errors.Wrap(err, "bind the ready address")
	}
	if g.peersLn, err = net.Listen("tcp", g.settings.Listen.Peers.String()); err != nil {
		g.callersLn.Close()
		g.readyLn.Close()
		return errors.Wrap(err, "bind the peers address")
	}
	if !g.settings.Listen.Relay.IsValid() {
		return nil
	}
	if g.relayLn, err = net.Listen("tcp", g.settings.Listen.Relay.String()); err != nil {
		g.callersLn.Close()
		g.readyLn.Close()
		g.peersLn.Close()
		return errors.Wrap(err, "bind the relay address")
	}
	return nil
}

// Start starts the gateway's loops and servers and returns.
func (g *Gateway) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.loops.Go(func() { g.follower.Run(ctx) })
	g.loops.Go(func() { g.coordinator.Run(ctx) })
	g.loops.Go(func() { g.guard.Run(ctx) })
	g.loops.Go(func() { g.monitor.Run(ctx) })
	g.loops.Go(func() { g.quota.Run(ctx) })
	g.serve("mesh", g.node.Run)
	g.serve("news", func() error { return g.follower.Serve(keepaccept.Wrap(g.peersLn, "news", g.log)) })
	g.serve("ready", func() error { return g.ready.serve(keepaccept.Wrap(g.readyLn, "ready", g.log)) })
	g.serve("callers", func() error { return g.proxy.Serve(g.callersLn) })
	if g.relayLn != nil {
		g.serve("relay", func() error { return g.relayServer.Serve(g.relayLn) })
	}
	g.log.Info("started", zap.Stringer("callers", g.callersLn.Addr()), zap.Stringer("ready", g.readyLn.Addr()))
}

// serve runs a server in the background and logs the error with which it ends.
func (g *Gateway) serve(name string, run func() error) {
	g.servers.Go(func() {
		if err := run(); err != nil && !errors.Is(err, net.ErrClosed) {
			g.log.Error("server ended with an error; it is not restarted", zap.String("server", name), zap.Error(err))
		}
	})
}

// Reload applies the bounds of changed settings; addresses, names and limits on
// callers change only when the process restarts.
func (g *Gateway) Reload(s *settings.Settings) {
	if s.ExtraAttempts != g.settings.ExtraAttempts {
		g.log.Warn("changed limit on extra attempts is not in force; it changes when the process restarts",
			zap.Float64("ratio", s.ExtraAttempts.Ratio), zap.Float64("in_force", g.settings.ExtraAttempts.Ratio))
		s.ExtraAttempts = g.settings.ExtraAttempts
	}
	g.placer.SetMaxQueriesPerSecond(s.Bounds.ProbesPerSecond)
	g.budget.SetBounds(retryBounds(s))
	g.log.Info("settings reloaded", zap.String("log_level", s.Log.Level), zap.Float64("retry_ratio", s.Bounds.RetryRatio),
		zap.Float64("retry_slack", s.Bounds.RetrySlack), zap.Float64("probes_per_second", s.Bounds.ProbesPerSecond))
}

// CallersAddr returns the address that serves callers' requests.
func (g *Gateway) CallersAddr() net.Addr { return g.callersLn.Addr() }

// ReadyAddr returns the address that serves the readiness check and the metrics.
func (g *Gateway) ReadyAddr() net.Addr { return g.readyLn.Addr() }

// Stop shuts the host down gracefully: it reports that it is not ready, goes on
// serving for deregistrationDelay, and then waits for the requests in flight. Requests
// that can't be expected to end by then are refused before they are passed on.
// When the context ends first, Stop aborts the remaining requests and returns
// the context's error.
func (g *Gateway) Stop(ctx context.Context) error {
	schedule := stopSchedule(g.clock.Now(), g.settings.Bounds.StopGrace)
	g.log.Info("graceful stop started", zap.Time("late_from", schedule.LateFrom), zap.Time("cut_at", schedule.CutAt))
	g.ready.stopping.Store(true)
	g.proxy.BeginStop(schedule)
	g.relays.Stop()
	g.relayServer.BeginStop(schedule)
	g.follower.AnnounceShutdown(g.settings.Bounds.StopGrace)
	select {
	case <-ctx.Done():
	case <-g.clock.After(deregistrationDelay):
	}
	relayed := make(chan error, 1)
	go func() { relayed <- g.relayServer.Shutdown(ctx) }()
	err := g.proxy.Shutdown(ctx)
	if relayErr := <-relayed; err == nil {
		err = relayErr
	}
	g.cancel()
	// Listeners are closed first: Shutdown has no effect on a server that has not
	// begun to serve.
	_ = g.readyLn.Close()
	_ = g.ready.http.Shutdown()
	_ = g.peersLn.Close()
	_ = g.follower.Shutdown()
	_ = g.node.Close()
	g.log.Info("stopped", zap.Error(err))
	return err
}

// StopTime returns how long Stop may take, given the time between the signal to
// stop and the forced end of the process.
func StopTime(grace time.Duration) time.Duration { return max(grace-exitReserve, grace/2) }

// stopSchedule returns the schedule of a stop that begins now.
func stopSchedule(now time.Time, grace time.Duration) shutdown.Schedule {
	return shutdown.Schedule{
		Began: now, LateFrom: now.Add(deregistrationDelay + idleCloseDelay),
		CutAt: now.Add(max(StopTime(grace)-answerTime, grace/2)),
	}
}
