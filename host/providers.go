package host

import (
	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/admin"
	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/discovery"
	"github.com/chestnutfield/chestnutfield/handoff"
	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/ledger"
	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/peer"
	"github.com/chestnutfield/chestnutfield/probe"
	"github.com/chestnutfield/chestnutfield/proxy"
)

// Seed is the seed of a host's random choices.
type Seed uint64

// seedOrHash returns the given seed, or a hash of the host's name when it is 0.
func seedOrHash(given uint64, name string) Seed {
	if given != 0 {
		return Seed(given)
	}
	return Seed(xxhash.Sum64String(name))
}

// provide registers the providers of all components.
func provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*http1.Monitor, error) {
		return http1.NewMonitor(do.MustInvoke[*zap.Logger](i), do.MustInvoke[*prometheus.Registry](i))
	})
	provideCloud(i)
	provideMembers(i)
	provideConfig(i)
	provideForwarding(i)
	provideAdmin(i)
}

// components are the components of a running host.
type components struct {
	members         *membership.Service
	node            *peer.Node
	syncer          *config.Syncer
	resolver        *discovery.Resolver
	ledger          *ledger.Ledger
	balancer        *balance.Balancer
	handoff         *handoff.Balancer
	prober          *probe.Prober
	directAdmission directAdmission
	groupAdmission  groupAdmission
	meter           *handoff.Meter
	callerServer    *proxy.Server
	peerServer      *proxy.Server
	messages        *messages
	crashGuard      *crashGuard
	quotas          *quotas
	admin           *admin.Server
	status          *status
}

// assemble creates the components and connects those that depend on each
// other.
func assemble(i do.Injector) (c components, err error) {
	err = firstError(
		invoke(i, &c.members), invoke(i, &c.syncer), invoke(i, &c.resolver), invoke(i, &c.ledger),
		invoke(i, &c.balancer), invoke(i, &c.handoff),
		invoke(i, &c.prober), invoke(i, &c.directAdmission), invoke(i, &c.groupAdmission), invoke(i, &c.meter), invoke(i, &c.node),
		invoke(i, &c.messages), invoke(i, &c.crashGuard), invoke(i, &c.quotas), invoke(i, &c.admin), invoke(i, &c.status),
	)
	defer func() {
		if err != nil {
			c.messages.close()
			c = components{}
		}
	}()
	if err != nil {
		return c, err
	}
	callers, err := do.Invoke[callerServer](i)
	if err != nil {
		return c, err
	}
	peers, err := do.Invoke[peerServer](i)
	if err != nil {
		return c, err
	}
	c.callerServer, c.peerServer = callers.Server, peers.Server
	do.MustInvoke[*drainAnnouncer](i).node = c.node
	do.MustInvoke[*configPeers](i).node = c.node
	return c, nil
}

// invoke creates one component and stores it in to.
func invoke[T any](i do.Injector, to *T) error {
	component, err := do.Invoke[T](i)
	*to = component
	return err
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
