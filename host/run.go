package host

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/connmux"
	"github.com/chestnutfield/chestnutfield/internal/keepaccept"
)

const (
	// twirpPrefix is the start of every connection that carries peer RPCs.
	twirpPrefix = "POST /twirp/"
	// protocolTimeout is how long a connection to the peers address may take to
	// send enough bytes to identify its protocol.
	protocolTimeout = 5 * time.Second
	// idleCheckInterval is the time between two checks for idle connections.
	idleCheckInterval = 5 * time.Second
	// leaveTimeout bounds the time to announce a stop to the peers and the table
	// service.
	leaveTimeout = time.Second
)

// runLoops starts the background loops, which run until the context ends.
func (h *Host) runLoops(ctx context.Context) {
	loops := []struct {
		name string
		run  func(context.Context) error
	}{
		{"membership", h.components.members.Run},
		{"peers", h.components.node.Run},
		{"configuration", h.components.syncer.Run},
		{"snapshots", h.components.syncer.RunSnapshots},
		{"resolver", h.components.resolver.Run},
		{"prober", func(ctx context.Context) error { h.components.prober.Run(ctx); return nil }},
		{"messages", h.components.messages.run},
		{"quarantine", h.components.crashGuard.run},
		{"quotas", h.components.quotas.run},
		{"ledger", h.components.ledger.Run},
		{"idle connections", h.closeIdle},
		{"reconciler", h.reconciler.run},
	}
	for _, loop := range loops {
		h.loops.Go(func() {
			if err := loop.run(ctx); err != nil && ctx.Err() == nil {
				h.log.Error("background loop ended with an error; it is not restarted", zap.String("loop", loop.name), zap.Error(err))
			}
		})
	}
}

// closeIdle periodically closes idle connections to targets and peers.
func (h *Host) closeIdle(ctx context.Context) error {
	ticker := h.reconciler.clock.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			h.components.callerServer.CloseIdle()
			h.components.peerServer.CloseIdle()
		}
	}
}

// runServers starts the servers, which run until they are shut down.
func (h *Host) runServers() {
	h.mux = connmux.New(h.listeners.peers, twirpPrefix, protocolTimeout)
	h.serve("peers address", h.mux.Serve)
	h.serve("exchange", func() error { return h.components.node.Serve(h.mux.Matched()) })
	h.serve("owner", func() error { return h.components.peerServer.Serve(h.mux.Others()) })
	h.serve("admin", func() error { return h.components.admin.Serve(keepaccept.Wrap(h.listeners.admin, "admin", h.log)) })
	h.serve("callers", func() error { return h.components.callerServer.Serve(h.listeners.callers) })
}

func (h *Host) serve(name string, run func() error) {
	h.servers.Go(func() {
		err := run()
		if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			h.log.Error("server ended with an error; it is not restarted", zap.String("server", name), zap.Error(err))
		}
	})
}

// announceLeave announces to a few peers, which pass it on, and to the table
// service that this host is leaving or, when gone is true, that it has left. It
// gives up after leaveTimeout; a host whose announcement failed is removed when
// its lease expires.
func (h *Host) announceLeave(ctx context.Context, gone bool) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := h.components.members.Leave(ctx, gone); err != nil {
			h.log.Warn("leave not recorded in the table service; the host is removed when its lease expires", zap.Bool("gone", gone), zap.Error(err))
		}
	})
	wg.Go(func() {
		if err := h.components.node.Leave(ctx); err != nil {
			h.log.Warn("leave announced to no peer; peers learn of it from the table service or remove the host when its lease expires", zap.Bool("gone", gone), zap.Error(err))
		}
	})
	wg.Wait()
}
