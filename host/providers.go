package host

import (
	"github.com/cespare/xxhash/v2"
	"github.com/samber/do/v2"

	"github.com/chestnutfield/chestnutfield/admin"
	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/handoff"
	"github.com/chestnutfield/chestnutfield/ledger"
	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/peer"
	"github.com/chestnutfield/chestnutfield/probe"
	"github.com/chestnutfield/chestnutfield/proxy"
	"github.com/chestnutfield/chestnutfield/resolve"
)

// Seed is the seed of a host's random choices.
type Seed uint64

// seed takes the seed of the options, or one of the host's name.
func seed(given uint64, name string) Seed {
	if given != 0 {
		return Seed(given)
	}
	return Seed(xxhash.Sum64String(name))
}

// provide registers every part.
func provide(i do.Injector) {
	provideCloud(i)
	provideMembers(i)
	provideConfig(i)
	provideForwarding(i)
	provideAdmin(i)
}

// parts are what a running host holds.
type parts struct {
	members  *membership.Service
	node     *peer.Node
	keeper   *config.Keeper
	resolver *resolve.Resolver
	ledger   *ledger.Ledger
	balancer *balance.Balancer
	handoff  *handoff.Balancer
	prober   *probe.Prober
	direct   directAdmission
	groups   groupAdmission
	meter    *handoff.Meter
	callers  *proxy.Server
	owner    *proxy.Server
	admin    *admin.Server
	status   *status
}

// assemble makes the parts and ties the ones that need each other.
func assemble(i do.Injector) (p parts, err error) {
	err = firstError(
		take(i, &p.members), take(i, &p.keeper), take(i, &p.resolver), take(i, &p.ledger),
		take(i, &p.balancer), take(i, &p.handoff),
		take(i, &p.prober), take(i, &p.direct), take(i, &p.groups), take(i, &p.meter), take(i, &p.node),
		take(i, &p.admin), take(i, &p.status),
	)
	if err != nil {
		return parts{}, err
	}
	callers, err := do.Invoke[callersSide](i)
	if err != nil {
		return parts{}, err
	}
	peers, err := do.Invoke[peersSide](i)
	if err != nil {
		return parts{}, err
	}
	p.callers, p.owner = callers.Server, peers.Server
	do.MustInvoke[*drainRelay](i).node = p.node
	do.MustInvoke[*configPeers](i).node = p.node
	return p, nil
}

// take makes one part.
func take[T any](i do.Injector, to *T) error {
	part, err := do.Invoke[T](i)
	*to = part
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
