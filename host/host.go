package host

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

	"github.com/chestnutfield/chestnutfield/connmux"
	"github.com/chestnutfield/chestnutfield/proxy"
	"github.com/chestnutfield/chestnutfield/settings"
	"github.com/chestnutfield/chestnutfield/shutdown"
	"github.com/chestnutfield/chestnutfield/table"
)

// Options are the dependencies that an embedding program may supply. Zero
// values select the defaults.
type Options struct {
	// Logger receives changes of state; nil disables logging.
	Logger *zap.Logger
	// Registry is where the metrics are registered; nil creates a new one.
	Registry *prometheus.Registry
	// Clock is the clock of all decisions; nil selects the real one.
	Clock clockwork.Clock
	// Seed makes random choices repeatable; 0 derives it from the host's name.
	Seed uint64
	// Policy is the balancing policy of pools that name none; "" selects the
	// default.
	Policy string
	// Dial opens connections to targets and peers; nil selects a net.Dialer.
	Dial DialFunc
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return o
}

// Host is one entry host.
type Host struct {
	settings   *settings.Settings
	log        *zap.Logger
	components components
	reconciler *reconciler
	listeners  listeners
	mux        *connmux.Mux

	cancel context.CancelFunc
	// loops counts the running background loops, servers the running servers.
	loops   sync.WaitGroup
	servers sync.WaitGroup
}

// New binds the addresses and wires a host; it makes no network calls. Port 0
// selects a free port. When it returns an error, no address stays bound.
func New(s *settings.Settings, opts Options) (*Host, error) {
	opts = opts.withDefaults()
	log := opts.Logger.With(zap.String("host", s.Host.Name))
	bound, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	if err := bound.enableTLS(s.Peers.Auth); err != nil {
		bound.close()
		return nil, err
	}
	injector := do.New()
	do.ProvideValue(injector, bound.boundSettings(s))
	do.ProvideValue(injector, opts)
	do.ProvideValue(injector, opts.Clock)
	do.ProvideValue(injector, opts.Registry)
	do.ProvideValue(injector, seedOrHash(opts.Seed, s.Host.Name))
	do.ProvideValue(injector, log)
	provide(injector)
	c, err := assemble(injector)
	if err != nil {
		bound.close()
		return nil, errors.Wrap(err, "assemble host")
	}
	h := &Host{settings: s, log: log, components: c, listeners: bound}
	h.reconciler = newReconciler(h, opts.Clock)
	return h, nil
}

// Start runs the background loops and the servers.
func (h *Host) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.components.syncer.Subscribe(func(*table.Tables) { h.reconciler.requestReconcile(); h.components.node.Push() })
	h.runLoops(ctx)
	h.runServers()
	h.log.Info("started",
		zap.Stringer("callers", h.CallersAddr()),
		zap.Stringer("admin", h.AdminAddr()),
		zap.Stringer("peers", h.PeersAddr()))
}

// Stop shuts the host down gracefully: it notifies the peers, lets requests in
// flight complete and the other hosts change their quota host, then closes everything. When the context ends first, Stop
// cuts the remaining requests and returns the context's error. Stop must be
// called once, after Start.
func (h *Host) Stop(ctx context.Context) error {
	schedule := h.stopSchedule(ctx)
	h.log.Info("graceful stop started", zap.Time("late_from", schedule.LateFrom), zap.Time("cut_at", schedule.CutAt))
	h.components.status.stopping.Store(true)
	h.components.callerServer.BeginStop(schedule)
	h.components.peerServer.BeginStop(schedule)
	h.announceLeave(ctx, false)
	leftAt := h.reconciler.clock.Now()
	err := h.components.callerServer.Shutdown(ctx)
	if e := h.components.peerServer.Shutdown(ctx); err == nil {
		err = e
	}
	if e := h.components.ledger.Flush(ctx); e != nil {
		h.log.Warn("outcomes of orders not recorded before the stop; the host stops without them", zap.Int("orders", h.components.ledger.Pending()), zap.Error(e))
	}
	h.components.quotas.handOver(ctx, leftAt)
	h.announceLeave(ctx, true)
	h.closeAndWait(ctx)
	h.log.Info("stopped", zap.Error(err))
	return err
}

// closingTime is the part of the time to stop that remains after the requests that are
// still at work have been cut: for their responses, the outcomes of orders and the
// announcement that the host has left.
const closingTime = 1500 * time.Millisecond

// stopSchedule returns the schedule of a stop that begins now and ends with ctx.
func (h *Host) stopSchedule(ctx context.Context) shutdown.Schedule {
	now := h.reconciler.clock.Now()
	schedule := shutdown.Schedule{Began: now, LateFrom: now.Add(leaveTimeout + proxy.DefaultLimits().ShutdownDelay)}
	if end, ok := ctx.Deadline(); ok {
		left := time.Until(end)
		schedule.CutAt = now.Add(left - min(closingTime, left/4))
	}
	return schedule
}

// Kill stops the host as a crash would: peers are not notified, connections
// are cut.
func (h *Host) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = h.components.callerServer.Shutdown(ctx)
	_ = h.components.peerServer.Shutdown(ctx)
	h.closeAndWait(ctx)
}

// closeAndWait closes the servers, ends the background loops and waits for
// both.
func (h *Host) closeAndWait(ctx context.Context) {
	_ = h.components.node.Shutdown(ctx)
	_ = h.components.admin.Shutdown(ctx)
	_ = h.mux.Close()
	h.cancel()
	h.loops.Wait()
	h.servers.Wait()
	h.listeners.close()
}

// CallersAddr returns the address that accepts callers' requests.
func (h *Host) CallersAddr() net.Addr { return h.listeners.callers.Addr() }

// AdminAddr returns the address of the admin interface.
func (h *Host) AdminAddr() net.Addr { return h.listeners.admin.Addr() }

// PeersAddr returns the address that peers use.
func (h *Host) PeersAddr() net.Addr { return h.listeners.peers.Addr() }
