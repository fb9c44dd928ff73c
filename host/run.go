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
)

const (
	// twirpPrefix begins every connection of the exchange between peers.
	twirpPrefix = "POST /twirp/"
	// sortTimeout is how long a peer's connection may take to say what it is.
	sortTimeout = 5 * time.Second
	// idleInterval is the time between two looks at idle connections.
	idleInterval = 5 * time.Second
	// leaveTimeout bounds telling the peers of a stop.
	leaveTimeout = time.Second
)

// runLoops starts the background loops; they end with the context.
func (h *Host) runLoops(ctx context.Context) {
	loops := []struct {
		name string
		run  func(context.Context) error
	}{
		{"membership", h.parts.members.Run},
		{"peers", h.parts.node.Run},
		{"configuration", h.parts.keeper.Run},
		{"snapshots", h.parts.keeper.RunSnapshots},
		{"resolver", h.parts.resolver.Run},
		{"prober", func(ctx context.Context) error { h.parts.prober.Run(ctx); return nil }},
		{"ledger", h.parts.ledger.Run},
		{"idle connections", h.closeIdle},
		{"reconciler", h.reconciler.run},
	}
	for _, loop := range loops {
		h.loops.Go(func() {
			if err := loop.run(ctx); err != nil && ctx.Err() == nil {
				h.log.Error("loop ended", zap.String("loop", loop.name), zap.Error(err))
			}
		})
	}
}

// closeIdle closes idle connections to targets and peers now and then.
func (h *Host) closeIdle(ctx context.Context) error {
	ticker := h.reconciler.clock.NewTicker(idleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			h.parts.callers.CloseIdle()
			h.parts.owner.CloseIdle()
		}
	}
}

// runServers starts the servers; they end when they are shut down.
func (h *Host) runServers() {
	h.mux = connmux.New(h.listeners.peers, twirpPrefix, sortTimeout)
	h.serve("peers address", h.mux.Serve)
	h.serve("exchange", func() error { return h.parts.node.Serve(h.mux.Matched()) })
	h.serve("owner", func() error { return h.parts.owner.Serve(h.mux.Others()) })
	h.serve("admin", func() error { return h.parts.admin.Serve(h.listeners.admin) })
	h.serve("callers", func() error { return h.parts.callers.Serve(h.listeners.callers) })
}

func (h *Host) serve(name string, run func() error) {
	h.servers.Go(func() {
		err := run()
		if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			h.log.Error("server ended", zap.String("server", name), zap.Error(err))
		}
	})
}

// announceLeave tells peers and the table service that this host leaves, or
// with gone that it has left. It is told as far as the time allows; a host
// that could not tell is dropped when its lease has lapsed.
func (h *Host) announceLeave(ctx context.Context, gone bool) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() {
		if err := h.parts.members.Leave(ctx, gone); err != nil {
			h.log.Warn("leave not recorded", zap.Bool("gone", gone), zap.Error(err))
		}
	})
	all.Go(func() {
		if err := h.parts.node.Leave(ctx); err != nil {
			h.log.Warn("leave not told to all peers", zap.Bool("gone", gone), zap.Error(err))
		}
	})
	all.Wait()
}
