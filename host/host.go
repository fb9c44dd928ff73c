package host

import (
	"context"
	"net"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/connmux"
	"github.com/chestnutfield/chestnutfield/settings"
	"github.com/chestnutfield/chestnutfield/table"
)

// Options are what an embedder may bring. Zero values select the defaults.
type Options struct {
	// Logger writes changes of state; nil writes none.
	Logger *zap.Logger
	// Registry takes the metrics; nil makes a new one.
	Registry *prometheus.Registry
	// Clock is the clock of all decisions; nil selects the real one.
	Clock clockwork.Clock
	// Seed makes choices repeatable; 0 takes one from the host's name.
	Seed uint64
	// Policy is the policy of pools that name none; "" selects the default.
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
	parts      parts
	reconciler *reconciler
	listeners  listeners
	mux        *connmux.Mux

	cancel context.CancelFunc
	// loops are the background loops of the parts, servers the serving ones.
	loops   sync.WaitGroup
	servers sync.WaitGroup
}

// New binds the addresses and wires a host; it calls nobody. Port 0 takes a
// free port. After an error nothing stays bound.
func New(s *settings.Settings, opts Options) (*Host, error) {
	opts = opts.withDefaults()
	log := opts.Logger.With(zap.String("host", s.Host.Name))
	bound, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	if err := bound.secure(s.Peers.Access); err != nil {
		bound.close()
		return nil, err
	}
	injector := do.New()
	do.ProvideValue(injector, bound.resolve(s))
	do.ProvideValue(injector, opts)
	do.ProvideValue(injector, opts.Clock)
	do.ProvideValue(injector, opts.Registry)
	do.ProvideValue(injector, seed(opts.Seed, s.Host.Name))
	do.ProvideValue(injector, log)
	provide(injector)
	p, err := assemble(injector)
	if err != nil {
		bound.close()
		return nil, errors.Wrap(err, "assemble host")
	}
	h := &Host{settings: s, log: log, parts: p, listeners: bound}
	h.reconciler = newReconciler(h, opts.Clock)
	return h, nil
}

// Start runs the parts.
func (h *Host) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.parts.keeper.Subscribe(func(*table.Tables) { h.reconciler.changed(); h.parts.node.Push() })
	h.runLoops(ctx)
	h.runServers()
	h.log.Info("started",
		zap.Stringer("callers", h.CallersAddr()),
		zap.Stringer("admin", h.AdminAddr()),
		zap.Stringer("peers", h.PeersAddr()))
}

// Stop is a planned stop: peers learn of it, requests in flight end whole,
// then everything closes. When the context ends first, what is left is cut
// and the context's error returned. Stop must be called once, after Start.
func (h *Host) Stop(ctx context.Context) error {
	h.log.Info("planned stop")
	h.parts.status.stopping.Store(true)
	h.announceLeave(ctx, false)
	err := h.parts.callers.Shutdown(ctx)
	if e := h.parts.owner.Shutdown(ctx); err == nil {
		err = e
	}
	if e := h.parts.ledger.Flush(ctx); e != nil {
		h.log.Warn("ends of orders not recorded", zap.Int("orders", h.parts.ledger.Pending()), zap.Error(e))
	}
	h.announceLeave(ctx, true)
	h.end(ctx)
	h.log.Info("ended", zap.Error(err))
	return err
}

// Kill ends the host as a crash would: nobody is told, connections are cut.
func (h *Host) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = h.parts.callers.Shutdown(ctx)
	_ = h.parts.owner.Shutdown(ctx)
	h.end(ctx)
}

// end closes what serves and waits for the loops.
func (h *Host) end(ctx context.Context) {
	_ = h.parts.node.Shutdown(ctx)
	_ = h.parts.admin.Shutdown(ctx)
	_ = h.mux.Close()
	h.cancel()
	h.loops.Wait()
	h.servers.Wait()
	h.listeners.close()
}

// CallersAddr returns the address that takes callers' requests.
func (h *Host) CallersAddr() net.Addr { return h.listeners.callers.Addr() }

// AdminAddr returns the address of the admin interface.
func (h *Host) AdminAddr() net.Addr { return h.listeners.admin.Addr() }

// PeersAddr returns the address that peers use.
func (h *Host) PeersAddr() net.Addr { return h.listeners.peers.Addr() }
