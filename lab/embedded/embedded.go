// Package embedded runs entry hosts in the lab's own process, over real
// sockets on loopback, for experiments and the demo.
package embedded

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/cloud/dynamo"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/rows"
	"github.com/chestnutfield/chestnutfield/host"
	"github.com/chestnutfield/chestnutfield/lab/delay"
	"github.com/chestnutfield/chestnutfield/lab/experiment"
	"github.com/chestnutfield/chestnutfield/settings"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// readyTimeout bounds the start of all hosts.
	readyTimeout = 20 * time.Second
	// readyPoll is the time between two looks at the hosts.
	readyPoll = 100 * time.Millisecond
	// stopTimeout bounds a planned stop of all hosts at the end of a run.
	stopTimeout = 5 * time.Second
	// dialTimeout bounds the opening of a connection to a target or a peer.
	dialTimeout = time.Second

	peerBytesMetric = "chestnut_peer_bytes_total"
	versionMetric   = "chestnut_config_version"
	membersMetric   = "chestnut_membership_members"
)

// anyPort lets the system choose a free port on loopback.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// member is one embedded host; a nil host has ended.
type member struct {
	host     *host.Host
	registry *prometheus.Registry
	address  string
}

// Hosts runs entry hosts. It implements experiment.HostRunner.
type Hosts struct {
	spec      experiment.HostSpec
	commander *command.Commander
	changes   int

	mu      sync.Mutex
	members []member
}

// New returns a runner with no hosts.
func New() *Hosts { return &Hosts{} }

var _ experiment.HostRunner = (*Hosts)(nil)

// Start applies the tables and starts the hosts; it returns once they know
// each other and have the tables in force.
func (h *Hosts) Start(ctx context.Context, s experiment.HostSpec) error {
	h.spec = s
	h.commander = command.New(command.Options{Store: dynamo.New(dynamo.Options{Endpoint: s.PlatformURL})})
	if _, err := h.Apply(ctx, rows.Pools, s.Pools); err != nil {
		return err
	}
	version, err := h.Apply(ctx, rows.Routes, s.Routes)
	if err != nil {
		return err
	}
	for i, domain := range s.Domains {
		if err := h.startOne(i, domain); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return h.waitReady(ctx, version)
}

func (h *Hosts) startOne(i, domain int) error {
	s := &settings.Settings{
		Host: settings.Host{
			Name: fmt.Sprintf("entry-%d", i), FailureDomain: experiment.DomainName(domain), Handoff: h.spec.Handoff,
		},
		Listen:   settings.Listen{Callers: anyPort, Admin: anyPort, Peers: anyPort},
		Platform: settings.Platform{Table: h.spec.PlatformURL, Objects: h.spec.PlatformURL, Hosts: h.spec.PlatformURL},
		Limits: settings.Limits{
			DrainTimeout: settings.DefaultDrainTimeout, HeaderTimeout: settings.DefaultHeaderTimeout,
			MaxHeaderBytes: settings.DefaultMaxHeaderBytes, MaxKeyedBodyBytes: settings.DefaultMaxKeyedBodyBytes,
			MaxCallerConnections: settings.DefaultMaxCallerConnections,
		},
	}
	registry := prometheus.NewRegistry()
	dialer := delay.Dialer{Net: h.spec.Net, Domain: domain, Timeout: dialTimeout}
	one, err := host.New(s, host.Options{Registry: registry, Dial: dialer.DialContext})
	if err != nil {
		return errors.Wrapf(err, "host %d", i)
	}
	h.spec.Net.Place(one.PeersAddr().String(), domain)
	one.Start()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members = append(h.members, member{host: one, registry: registry, address: one.CallersAddr().String()})
	return nil
}

// Apply stores one of the tables and returns the accepted version.
func (h *Hosts) Apply(ctx context.Context, kind rows.Kind, data []byte) (uint64, error) {
	h.changes++
	result := h.commander.Do(ctx, command.Request{
		Table: kind, Operation: rows.Apply, File: string(kind) + ".ini", Data: data,
		ChangeID: fmt.Sprintf("lab-change-%d", h.changes), Author: "chestnutlab",
	})
	if result.State != command.Accepted && result.State != command.Unchanged {
		return 0, errors.Errorf("apply %s: %s %s %v", kind, result.State, result.Detail, result.Problems)
	}
	return result.Version, nil
}

// ApplyRoutes applies the routes with another timeout.
func (h *Hosts) ApplyRoutes(ctx context.Context, timeout time.Duration) (uint64, error) {
	routes, err := table.ParseRoutes("routes", h.spec.Routes)
	if err != nil {
		return 0, err
	}
	for name, r := range routes {
		r.Timeout = timeout
		routes[name] = r
	}
	return h.Apply(ctx, rows.Routes, table.FormatRoutes(routes))
}

// Versions returns the version in force on every running host, by address.
func (h *Hosts) Versions() (map[string]uint64, error) {
	out := map[string]uint64{}
	for _, m := range h.running() {
		v, err := m.value(versionMetric)
		if err != nil {
			return nil, err
		}
		out[m.address] = uint64(v)
	}
	return out, nil
}

// waitReady waits until every host has the version in force and knows of all.
func (h *Hosts) waitReady(ctx context.Context, version uint64) error {
	if err := h.WaitInForce(ctx, version); err != nil {
		return err
	}
	return h.waitFor(ctx, "know each other", func(m member) (bool, error) {
		n, err := m.value(membersMetric)
		return int(n) >= len(h.spec.Domains), err
	})
}

// WaitInForce waits until every running host has the version in force.
func (h *Hosts) WaitInForce(ctx context.Context, version uint64) error {
	return h.waitFor(ctx, "have the tables in force", func(m member) (bool, error) {
		v, err := m.value(versionMetric)
		return uint64(v) >= version, err
	})
}

func (h *Hosts) waitFor(ctx context.Context, what string, done func(member) (bool, error)) error {
	for {
		waiting := 0
		for _, m := range h.running() {
			ok, err := done(m)
			if err != nil {
				return err
			}
			if !ok {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%d hosts do not %s", waiting, what)
		case <-time.After(readyPoll):
		}
	}
}

// running returns the hosts that have not ended.
func (h *Hosts) running() []member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return lo.Filter(h.members, func(m member, _ int) bool { return m.host != nil })
}

// Addresses returns the caller addresses of all hosts, ended ones included.
func (h *Hosts) Addresses() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return lo.Map(h.members, func(m member, _ int) string { return m.address })
}

// take marks host i as ended and returns it.
func (h *Hosts) take(i int) (*host.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i < 0 || i >= len(h.members) || h.members[i].host == nil {
		return nil, errors.Errorf("host %d is not running", i)
	}
	one := h.members[i].host
	h.members[i].host = nil
	return one, nil
}

// Kill ends host i as a crash would.
func (h *Hosts) Kill(i int) error {
	one, err := h.take(i)
	if err == nil {
		one.Kill()
	}
	return err
}

// StopHost is a planned stop of host i.
func (h *Hosts) StopHost(ctx context.Context, i int) error {
	one, err := h.take(i)
	if err != nil {
		return err
	}
	return one.Stop(ctx)
}

// Stop is a planned stop of all hosts.
func (h *Hosts) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var wg sync.WaitGroup
	errs := make([]error, len(h.members))
	for i := range h.members {
		wg.Go(func() {
			if one, err := h.take(i); err == nil {
				errs[i] = one.Stop(ctx)
			}
		})
	}
	wg.Wait()
	return lo.CoalesceOrEmpty(errs...)
}

// Stats sums up the counts of all hosts, ended ones included.
func (h *Hosts) Stats() (experiment.HostStats, error) {
	h.mu.Lock()
	members := append([]member(nil), h.members...)
	h.mu.Unlock()
	var s experiment.HostStats
	for _, m := range members {
		v, err := m.value(peerBytesMetric)
		if err != nil {
			return s, err
		}
		s.ControlBytes += v
	}
	return s, nil
}

// value sums the samples of one metric of the host.
func (m member) value(name string) (float64, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return 0, errors.Wrap(err, "metrics of a host")
	}
	family, ok := lo.Find(families, func(f *dto.MetricFamily) bool { return f.GetName() == name })
	if !ok {
		return 0, nil
	}
	return lo.SumBy(family.GetMetric(), func(s *dto.Metric) float64 {
		return s.GetCounter().GetValue() + s.GetGauge().GetValue()
	}), nil
}
