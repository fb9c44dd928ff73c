package host

import (
	"crypto/tls"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/peer"
	"github.com/chestnutfield/chestnutfield/settings"
)

// provideMembers registers the membership service, the peer node and the node for
// messages by UDP.
func provideMembers(i do.Injector) {
	do.Provide(i, newMembership)
	do.Provide(i, func(i do.Injector) (lb.Membership, error) {
		return do.Invoke[*membership.Service](i)
	})
	do.Provide(i, newNode)
	do.Provide(i, newMessages)
}

func newMembership(i do.Injector) (*membership.Service, error) {
	s := do.MustInvoke[*settings.Settings](i)
	return membership.New(membership.Options{
		Self: membership.Member{
			Name: s.Host.Name, Addr: s.Listen.Peers, FailureDomain: s.Host.FailureDomain, State: membership.Live,
		},
		Table:      do.MustInvoke[cloud.Table](i),
		Clock:      do.MustInvoke[clockwork.Clock](i),
		Seed:       uint64(do.MustInvoke[Seed](i)),
		Logger:     do.MustInvoke[*zap.Logger](i),
		Registerer: do.MustInvoke[*prometheus.Registry](i),
	})
}

func newNode(i do.Injector) (*peer.Node, error) {
	s := do.MustInvoke[*settings.Settings](i)
	peersTLS, err := s.Peers.TLS()
	if err != nil {
		return nil, err
	}
	return peer.NewNode(peer.Options{
		Members:    do.MustInvoke[*membership.Service](i),
		Loads:      do.MustInvoke[*balance.Balancer](i),
		Drains:     do.MustInvoke[*balance.Balancer](i),
		Rejections: do.MustInvoke[*balance.Balancer](i),
		Config:     do.MustInvoke[*config.Syncer](i),
		Seeds:      func() []netip.AddrPort { return s.Peers.Seeds },
		Dial:       do.MustInvoke[Options](i).Dial,
		Token:      s.Peers.Token,
		ClientTLS:  clientTLS(peersTLS),
		Responses:  do.MustInvoke[*http1.Monitor](i),
		Clock:      do.MustInvoke[clockwork.Clock](i),
		Logger:     do.MustInvoke[*zap.Logger](i),
		Registerer: do.MustInvoke[*prometheus.Registry](i),
	})
}

// clientTLS derives the configuration of outgoing connections from that of the
// server: it presents the same certificate.
func clientTLS(server *tls.Config) *tls.Config {
	if server == nil {
		return nil
	}
	c := server.Clone()
	c.ClientAuth, c.ClientCAs = tls.NoClientCert, nil
	return c
}

// drainAnnouncer announces the targets that the balancer found draining to the
// peers. The balancer is created before the peer node; assemble sets node
// afterwards.
type drainAnnouncer struct{ node *peer.Node }

func (a *drainAnnouncer) announce(_ time.Time, target netip.AddrPort) {
	if a.node != nil {
		a.node.AnnounceDrain(target)
	}
}

// announceRejections tells the peers what the balancer has found about targets that
// reject all requests.
func (a *drainAnnouncer) announceRejections() {
	if a.node != nil {
		a.node.PushRejections()
	}
}
