package host

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/peer"
	"github.com/chestnutfield/chestnutfield/settings"
)

// bindRetryInterval is the time between two attempts to bind the address for
// messages.
const bindRetryInterval = time.Second

// messages is the node for messages between hosts by UDP, at the address for peers. It
// binds the address when it is first needed, so that a host without quarantine and
// quotas leaves the port alone. Where peers need credentials, messages are sealed.
type messages struct {
	node *hostmsg.Node
	// bind binds the node to the address.
	bind   func() error
	clock  clockwork.Clock
	log    *zap.Logger
	needed chan struct{}
}

func newMessages(i do.Injector) (*messages, error) {
	s, log := do.MustInvoke[*settings.Settings](i), do.MustInvoke[*zap.Logger](i)
	node, err := hostmsg.New(log, do.MustInvoke[*prometheus.Registry](i))
	if err != nil {
		return nil, err
	}
	if s.Peers.RequiresAuth() {
		node.SetSealer(do.MustInvoke[*peer.Node](i).MessageKeys())
	}
	return &messages{
		node: node, bind: func() error { return node.Bind(s.Listen.Peers) },
		clock: do.MustInvoke[clockwork.Clock](i), log: log, needed: make(chan struct{}, 1),
	}, nil
}

// need makes run bind the address.
func (m *messages) need() {
	select {
	case m.needed <- struct{}{}:
	default:
	}
}

// run binds the address once it is needed, and receives messages until the context
// ends. Until then the others get no answer, as from a host that is cut off.
func (m *messages) run(ctx context.Context) error {
	if !m.node.Addr().IsValid() {
		select {
		case <-ctx.Done():
			return nil
		case <-m.needed:
		}
		if !m.bindUntilDone(ctx) {
			return nil
		}
	}
	defer context.AfterFunc(ctx, m.close)()
	return m.node.Run()
}

// bindUntilDone tries to bind the address until that succeeds or the context ends, and
// reports whether it succeeded.
func (m *messages) bindUntilDone(ctx context.Context) bool {
	for failed := false; ; failed = true {
		err := m.bind()
		if err == nil {
			m.log.Info("address for messages between hosts bound; tables have quotas", zap.Stringer("peers", m.node.Addr()))
			return true
		}
		if !failed {
			m.log.Error("address for messages between hosts could not be bound; this host grants only its own part of the quotas and tries again",
				zap.Duration("interval", bindRetryInterval), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return false
		case <-m.clock.After(bindRetryInterval):
		}
	}
}

// close frees the address.
func (m *messages) close() {
	if m != nil {
		_ = m.node.Close()
	}
}
