package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/discovery"
	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/quarantine"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/settings"
	"github.com/chestnutfield/chestnutfield/table"
)

// crashGuard refuses requests that end their targets, together with the other hosts.
// It is nil unless the settings enable it.
type crashGuard struct {
	*quarantine.Guard
	roster *roster.Roster
}

// errUnauthenticated means that the settings ask for credentials between hosts, with
// which the quarantine has not been tried.
var errUnauthenticated = errors.New(`section [host] key "quarantine": expected false, since section [peers] requires credentials, with which the quarantine is not supported`)

func newCrashGuard(i do.Injector) (*crashGuard, error) {
	s := do.MustInvoke[*settings.Settings](i)
	if !s.Host.Quarantine {
		return nil, nil
	}
	if s.Peers.Auth != (settings.Auth{}) {
		return nil, errUnauthenticated
	}
	log, metrics := do.MustInvoke[*zap.Logger](i), do.MustInvoke[*prometheus.Registry](i)
	m := do.MustInvoke[*messages](i)
	if err := m.bind(); err != nil {
		return nil, err
	}
	hosts := roster.New(rosterHost(membership.Member{Name: s.Host.Name, Addr: s.Listen.Peers, FailureDomain: s.Host.FailureDomain}))
	clock := do.MustInvoke[clockwork.Clock](i)
	guard, err := quarantine.NewGuard(quarantine.Options{
		Node: m.node, Roster: hosts,
		Store: suspectRows{table: do.MustInvoke[cloud.Table](i), clock: clock},
		Checker: newTargetChecker(
			do.MustInvoke[*config.Syncer](i).Current, do.MustInvoke[*discovery.Resolver](i).Targets, do.MustInvoke[Options](i).Dial,
			do.MustInvoke[*http1.Monitor](i),
		),
		Reach: noReach{}, Clock: clock, Logger: log, Registerer: metrics,
	})
	return &crashGuard{Guard: guard, roster: hosts}, err
}

// requestGuard returns the guard for the servers, nil when there is none.
func requestGuard(i do.Injector) (lb.RequestGuard, error) {
	g, err := do.Invoke[*crashGuard](i)
	if g == nil || err != nil {
		return nil, err
	}
	return g, nil
}

// run runs the guard until the context ends.
func (g *crashGuard) run(ctx context.Context) error {
	if g != nil {
		g.Run(ctx)
	}
	return nil
}

// setHosts sets the hosts that share what they know.
func (g *crashGuard) setHosts(members []membership.Member) {
	if g != nil {
		g.roster.SetHosts(rosterHosts(members))
	}
}

// Lost implements lb.RequestGuard. Targets have no identity but their address here, so
// that several ends of one target count once.
func (g *crashGuard) Lost(content uint64, pool string, a lb.Attempt) {
	g.Guard.Lost(content, pool, addressAttempt{a})
}

// addressAttempt is an attempt whose target is identified by its address.
type addressAttempt struct{ lb.Attempt }

// Instance returns the identity of the target.
func (a addressAttempt) Instance() registry.Instance {
	return registry.Instance{ID: a.Target().String()}
}

// noReach stands for the detours that a host without a store doesn't take.
type noReach struct{}

// Suspect does nothing.
func (noReach) Suspect(string) {}

const (
	// livenessTries is the number of times that a target is asked whether it lives,
	// livenessTimeout bounds one of them: a target that is busy for a moment has not
	// ended.
	livenessTries   = 2
	livenessTimeout = 300 * time.Millisecond
)

// targetChecker finds out whether targets still run.
type targetChecker struct {
	tables  func() *table.Tables
	targets resolveFunc
	client  *http.Client
}

func newTargetChecker(tables func() *table.Tables, targets resolveFunc, dial DialFunc, responses *http1.Monitor) *targetChecker {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &targetChecker{tables: tables, targets: targets, client: &http.Client{
		Transport:     http1.Guard(&http.Transport{DialContext: dial, DisableKeepAlives: true}, http1.HealthCheck, responses),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Responds implements quarantine.TargetChecker. The pool is that of the tables or, at
// the owner of a group of targets, the group. A target lives if it responds with any
// status on the health or load path of its pool, or with bytes that are no HTTP response,
// or, where the pool has neither path, takes a connection. A target that the tables don't
// name counts as responding, and so does an evacuated one, which is not asked.
func (c *targetChecker) Responds(ctx context.Context, pool string, _ registry.Instance, addr netip.AddrPort) bool {
	t := c.tables()
	p, found := t.Pools[poolOf(pool)]
	if !found {
		return true
	}
	targets, _ := c.targets(p)
	target, found := lo.Find(targets, func(x table.Target) bool { return x.Addr == addr })
	if !found || lo.Contains(t.Evacuated, target.FailureDomain) {
		return true
	}
	return lo.SomeBy(lo.Range(livenessTries), func(int) bool {
		tryCtx, cancel := context.WithTimeout(ctx, livenessTimeout)
		defer cancel()
		return c.respondsOnce(tryCtx, addr, lo.CoalesceOrEmpty(p.HealthPath, p.LoadPath))
	})
}

// poolOf returns the pool of a group, or the pool itself.
func poolOf(name string) string {
	pool, _, _ := strings.Cut(name, "@")
	return pool
}

func (c *targetChecker) respondsOnce(ctx context.Context, addr netip.AddrPort, path string) bool {
	if path == "" {
		conn, err := c.client.Transport.(*http.Transport).DialContext(ctx, "tcp", addr.String())
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return true
	}
	resp, err := c.client.Do(req)
	if malformed := (*http1.Error)(nil); errors.As(err, &malformed) {
		return true
	}
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}
