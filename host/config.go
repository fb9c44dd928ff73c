package host

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/query"
	"github.com/chestnutfield/chestnutfield/discovery"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/peer"
	"github.com/chestnutfield/chestnutfield/settings"
)

// provideConfig registers the components that hold, change and read the
// configuration tables.
func provideConfig(i do.Injector) {
	do.ProvideValue(i, &configPeers{})
	do.Provide(i, newSyncer)
	do.Provide(i, func(i do.Injector) (lb.Tables, error) { return do.Invoke[*config.Syncer](i) })
	do.Provide(i, newResolver)
	do.Provide(i, func(i do.Injector) (*command.Handler, error) {
		return command.New(command.Options{
			Store:      do.MustInvoke[cloud.Table](i),
			OnAccepted: do.MustInvoke[*config.Syncer](i).InstallAccepted,
			Clock:      do.MustInvoke[clockwork.Clock](i),
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*query.Reader, error) {
		return query.New(do.MustInvoke[cloud.Table](i)), nil
	})
}

func newSyncer(i do.Injector) (*config.Syncer, error) {
	return config.New(config.Options{
		Host:       do.MustInvoke[*settings.Settings](i).Host.Name,
		Store:      do.MustInvoke[cloud.Table](i),
		Objects:    do.MustInvoke[cloud.ObjectStore](i),
		Peers:      do.MustInvoke[*configPeers](i),
		Hosts:      do.MustInvoke[lb.Membership](i).ShareDivisor,
		Clock:      do.MustInvoke[clockwork.Clock](i),
		Registerer: do.MustInvoke[*prometheus.Registry](i),
		Logger:     do.MustInvoke[*zap.Logger](i),
	}), nil
}

func newResolver(i do.Injector) (*discovery.Resolver, error) {
	return discovery.New(discovery.Options{
		List:       do.MustInvoke[cloud.HostList](i),
		Tables:     do.MustInvoke[lb.Tables](i),
		Clock:      do.MustInvoke[clockwork.Clock](i),
		Seed:       uint64(do.MustInvoke[Seed](i)),
		Logger:     do.MustInvoke[*zap.Logger](i),
		Registerer: do.MustInvoke[*prometheus.Registry](i),
	})
}

// errNoPeers is returned while the peer node does not exist yet.
var errNoPeers = errors.New("the exchange with peers has not started")

// configPeers gives the config syncer access to the peers. The syncer is
// created before the peer node; assemble sets node afterwards.
type configPeers struct{ node *peer.Node }

// Versions returns the configuration versions that peers last reported.
func (p *configPeers) Versions() []config.PeerVersion {
	if p.node == nil {
		return nil
	}
	return lo.Map(p.node.Versions(), func(v peer.HostVersion, _ int) config.PeerVersion {
		return config.PeerVersion{Host: v.Host, Version: v.Version}
	})
}

// FetchTables fetches the encoded tables, of version atLeast or later, from a
// peer.
func (p *configPeers) FetchTables(ctx context.Context, from string, atLeast uint64) ([]byte, uint64, error) {
	if p.node == nil {
		return nil, 0, errNoPeers
	}
	return p.node.FetchTables(ctx, from, atLeast)
}
