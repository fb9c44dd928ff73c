package host

import (
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/handoff"
	"github.com/chestnutfield/chestnutfield/hedge"
	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/ledger"
	"github.com/chestnutfield/chestnutfield/limit"
	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/owner"
	"github.com/chestnutfield/chestnutfield/patience"
	"github.com/chestnutfield/chestnutfield/probe"
	"github.com/chestnutfield/chestnutfield/proxy"
	"github.com/chestnutfield/chestnutfield/retry"
	"github.com/chestnutfield/chestnutfield/settings"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// callerServer and peerServer are the two servers of the forwarding path: the
// one that accepts callers' requests, and the one that accepts requests that
// peers hand over to this host as owner.
type (
	callerServer struct{ *proxy.Server }
	peerServer   struct{ *proxy.Server }
)

// directAdmission admits requests to pools that this host dispatches directly,
// groupAdmission those to groups that it owns.
type (
	directAdmission struct{ *limit.Admission }
	groupAdmission  struct{ *limit.Admission }
)

// provideForwarding registers the components of the forwarding path.
func provideForwarding(i do.Injector) {
	do.ProvideValue(i, &drainAnnouncer{})
	do.Provide(i, newWarmupRoles)
	do.Provide(i, newBalancer)
	do.Provide(i, newProber)
	do.Provide(i, newHandoff)
	do.Provide(i, newDirectAdmission)
	do.Provide(i, newGroupAdmission)
	do.Provide(i, func(i do.Injector) (*handoff.Meter, error) {
		return handoff.NewMeter(do.MustInvoke[groupAdmission](i).Admission).WithGate(do.MustInvoke[*balance.Balancer](i).RefuseCold), nil
	})
	do.Provide(i, newRetries)
	do.Provide(i, newLedger)
	do.Provide(i, func(i do.Injector) (lb.Ledger, error) { return do.Invoke[*ledger.Ledger](i) })
	do.Provide(i, newCrashGuard)
	do.Provide(i, requestGuard)
	do.Provide(i, newQuotas)
	do.Provide(i, newCallerServer)
	do.Provide(i, newPeerServer)
}

func newBalancer(i do.Injector) (*balance.Balancer, error) {
	s := do.MustInvoke[*settings.Settings](i)
	return balance.New(balance.Options{
		Host:          s.Host.Name,
		FailureDomain: s.Host.FailureDomain,
		Policy:        do.MustInvoke[Options](i).Policy,
		Seed:          uint64(do.MustInvoke[Seed](i)),
		Membership:    do.MustInvoke[lb.Membership](i),
		OnDrain:       do.MustInvoke[*drainAnnouncer](i).announce,
		WarmupRoles:   do.MustInvoke[*warmupRoles](i),
		Clock:         do.MustInvoke[clockwork.Clock](i),
		OnRejection:   do.MustInvoke[*drainAnnouncer](i).announceRejections,
		Logger:        do.MustInvoke[*zap.Logger](i),
		Registerer:    do.MustInvoke[*prometheus.Registry](i),
	})
}

func newProber(i do.Injector) (*probe.Prober, error) {
	return probe.New(probe.Options{
		Host:       do.MustInvoke[*settings.Settings](i).Host.Name,
		Membership: do.MustInvoke[lb.Membership](i),
		Lease:      do.MustInvoke[*membership.Service](i),
		Owns:       do.MustInvoke[*warmupRoles](i).reads,
		Responses:  do.MustInvoke[*http1.Monitor](i),
		Source:     do.MustInvoke[*balance.Balancer](i),
		Clock:      do.MustInvoke[clockwork.Clock](i),
		Registerer: do.MustInvoke[*prometheus.Registry](i),
	})
}

func newHandoff(i do.Injector) (*handoff.Balancer, error) {
	s := do.MustInvoke[*settings.Settings](i)
	return handoff.New(handoff.Options{
		Self:       owner.Member{Name: s.Host.Name, FailureDomain: s.Host.FailureDomain},
		Direct:     do.MustInvoke[*balance.Balancer](i),
		Seed:       uint64(do.MustInvoke[Seed](i)),
		Clock:      do.MustInvoke[clockwork.Clock](i),
		Registerer: do.MustInvoke[*prometheus.Registry](i),
	}), nil
}

// withSideLabel returns a Registerer that adds the label "side", since both
// servers export metrics of the same names.
func withSideLabel(r prometheus.Registerer, name string) prometheus.Registerer {
	return prometheus.WrapRegistererWith(prometheus.Labels{"side": name}, r)
}

func newDirectAdmission(i do.Injector) (directAdmission, error) {
	a, err := limit.New(limit.Options{
		Clock:      do.MustInvoke[clockwork.Clock](i),
		Membership: do.MustInvoke[lb.Membership](i),
		Registerer: withSideLabel(do.MustInvoke[*prometheus.Registry](i), "callers"),
	})
	return directAdmission{a}, err
}

func newGroupAdmission(i do.Injector) (groupAdmission, error) {
	a, err := limit.New(limit.Options{
		Clock:      do.MustInvoke[clockwork.Clock](i),
		NewLimiter: func(_, _ float64) limit.Limiter { return limit.NewFixed() },
		Registerer: withSideLabel(do.MustInvoke[*prometheus.Registry](i), "peers"),
	})
	return groupAdmission{a}, err
}

func newRetries(i do.Injector) (lb.RetryBudget, error) {
	return retry.New(retry.Options{
		Name:       "retry",
		Ratio:      retryRatio(do.MustInvoke[*settings.Settings](i)),
		Membership: do.MustInvoke[lb.Membership](i),
		Registerer: do.MustInvoke[*prometheus.Registry](i),
	})
}

// retryRatio returns the part of the requests that may be retried. Extra attempts and
// retries share the deployment's ratio.
func retryRatio(s *settings.Settings) float64 {
	if s.ExtraAttempts.Ratio > 0 {
		return s.Bounds.RetryRatio - s.ExtraAttempts.Ratio
	}
	return retry.DefaultRatio
}

// newExtraAttempts returns how callers' requests get copies under the operator's limit;
// nil when there is none. Hosts share the limit like the retry budget.
func newExtraAttempts(i do.Injector) (*proxy.ExtraAttempts, error) {
	limit := do.MustInvoke[*settings.Settings](i).ExtraAttempts
	if limit.Ratio <= 0 {
		return nil, nil
	}
	budget, err := retry.New(retry.Options{
		Name: "extra_attempt", Ratio: limit.Ratio, MinPerSecond: retry.NoMinimum, Burst: extraAttemptBurst,
		Membership: do.MustInvoke[lb.Membership](i),
		Registerer: do.MustInvoke[*prometheus.Registry](i),
	})
	return &proxy.ExtraAttempts{Delays: hedge.NewDelays(limit.Ratio), Budget: hedge.LimitRate(budget, limit.PerSecond, do.MustInvoke[lb.Membership](i))}, err
}

// extraAttemptBurst is the number of copies of requests to a pool that all hosts
// together may save up.
const extraAttemptBurst = 8

func newLedger(i do.Injector) (*ledger.Ledger, error) {
	return ledger.New(ledger.Options{
		Table:      do.MustInvoke[cloud.Table](i),
		Host:       do.MustInvoke[*settings.Settings](i).Host.Name,
		Clock:      do.MustInvoke[clockwork.Clock](i),
		Logger:     do.MustInvoke[*zap.Logger](i),
		Registerer: do.MustInvoke[*prometheus.Registry](i),
	})
}

func newCallerServer(i do.Injector) (callerServer, error) {
	s := do.MustInvoke[*settings.Settings](i)
	peersTLS, err := s.Peers.TLS()
	if err != nil {
		return callerServer{}, err
	}
	handover := do.MustInvoke[*handoff.Balancer](i)
	extraAttempts, err := newExtraAttempts(i)
	if err != nil {
		return callerServer{}, err
	}
	guard, err := do.Invoke[lb.RequestGuard](i)
	if err != nil {
		return callerServer{}, err
	}
	quotas, err := do.Invoke[*quotas](i)
	if err != nil {
		return callerServer{}, err
	}
	syncer := do.MustInvoke[*config.Syncer](i)
	server, err := proxy.New(proxy.Options{
		Tables:     do.MustInvoke[lb.Tables](i),
		Configured: syncer.Configured,
		TablesConfirmed: func() bool {
			st := syncer.Status()
			return st.StoreReachable && st.Version >= st.HighestKnownVersion
		},
		// Without the table service no new route is accepted either, so that only a
		// version that this host knows of and lacks can have one.
		RoutesConfirmed: func() bool {
			st := syncer.Status()
			return st.Version >= st.HighestKnownVersion
		},
		ExtraAttempts: extraAttempts,
		Guard:         guard,
		Quota:         quotas,
		Balancer:      handover,
		Admission:     handover.Admission(do.MustInvoke[directAdmission](i)),
		Retries:       do.MustInvoke[lb.RetryBudget](i),
		Ledger:        do.MustInvoke[lb.Ledger](i),
		Patience:      patience.New(),
		Membership:    do.MustInvoke[lb.Membership](i),
		Clock:         do.MustInvoke[clockwork.Clock](i),
		Registerer:    withSideLabel(do.MustInvoke[*prometheus.Registry](i), "callers"),
		Logger:        do.MustInvoke[*zap.Logger](i).Named("callers"),
		Limits:        callerServerLimits(s),
		Upstream:      upstream.Options{Dial: do.MustInvoke[Options](i).Dial, PeerTLS: clientTLS(peersTLS), QuietReuses: upstream.DefaultQuietReuses},
		PeerToken:     s.Peers.Token,
		Responses:     do.MustInvoke[*http1.Monitor](i),
	})
	return callerServer{server}, err
}

func newPeerServer(i do.Injector) (peerServer, error) {
	s := do.MustInvoke[*settings.Settings](i)
	meter := do.MustInvoke[*handoff.Meter](i)
	guard, err := do.Invoke[lb.RequestGuard](i)
	if err != nil {
		return peerServer{}, err
	}
	server, err := proxy.New(proxy.Options{
		Tables:     do.MustInvoke[lb.Tables](i),
		Balancer:   do.MustInvoke[*balance.Balancer](i),
		Admission:  meter,
		Guard:      guard,
		Membership: do.MustInvoke[lb.Membership](i),
		Clock:      do.MustInvoke[clockwork.Clock](i),
		Registerer: withSideLabel(do.MustInvoke[*prometheus.Registry](i), "peers"),
		Logger:     do.MustInvoke[*zap.Logger](i).Named("peers"),
		Limits:     peerServerLimits(s),
		Upstream:   upstream.Options{Dial: do.MustInvoke[Options](i).Dial, QuietReuses: upstream.DefaultQuietReuses},
		Responses:  do.MustInvoke[*http1.Monitor](i),
		PeerServer: &proxy.PeerServerOptions{Token: s.Peers.Token, Load: meter.GroupLoadHeader},
	})
	return peerServer{server}, err
}

// callerServerLimits returns the limits of the server for callers.
func callerServerLimits(s *settings.Settings) proxy.Limits {
	l := peerServerLimits(s)
	l.Connections = s.Limits.MaxCallerConnections
	l.UploadBufferBytes = s.Limits.UploadBufferBytes
	return l
}

// peerServerLimits returns the limits of the server for peers, which also apply
// to the server for callers.
func peerServerLimits(s *settings.Settings) proxy.Limits {
	return proxy.Limits{
		HeaderBytes:       s.Limits.MaxHeaderBytes,
		HeaderTimeout:     s.Limits.HeaderTimeout,
		MaxKeyedBodyBytes: s.Limits.MaxKeyedBodyBytes,
	}
}
