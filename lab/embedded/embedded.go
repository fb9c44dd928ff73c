// Package embedded runs entry hosts inside the lab's own process, with real
// sockets on the loopback interface, for experiments and the demo.
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
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/host"
	"github.com/chestnutfield/chestnutfield/lab/delay"
	"github.com/chestnutfield/chestnutfield/lab/experiment"
	"github.com/chestnutfield/chestnutfield/settings"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// readyTimeout limits the time until all started hosts are ready.
	readyTimeout = 20 * time.Second
	// readyPoll is the interval at which the state of the hosts is read.
	readyPoll = 100 * time.Millisecond
	// stopTimeout limits the graceful stop of all hosts at the end of a run.
	stopTimeout = 5 * time.Second
	// dialTimeout limits the time to open a connection to a target or a peer.
	dialTimeout = time.Second

	// The names of the metrics that are read from the hosts.
	peerBytesMetric = "chestnut_peer_bytes_total"
	versionMetric   = "chestnut_config_version"
	membersMetric   = "chestnut_membership_members"
)

// anyPort makes the operating system choose a free port on the loopback
// interface.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// instance is one embedded host. The field host is nil once the host has ended.
type instance struct {
	host     *host.Host
	registry *prometheus.Registry
	address  string
}

// Hosts runs entry hosts in this process. It implements experiment.HostRunner.
type Hosts struct {
	spec     experiment.HostSpec
	commands *command.Handler
	// changeCount numbers the change identifiers.
	changeCount int

	mu        sync.Mutex
	instances []instance
}

// New returns a Hosts without running hosts.
func New() *Hosts { return &Hosts{} }

var _ experiment.HostRunner = (*Hosts)(nil)

// Start applies the tables and starts the hosts. It returns once every host counts
// all hosts as members and has the tables in force, or with an error after
// readyTimeout.
func (h *Hosts) Start(ctx context.Context, s experiment.HostSpec) error {
	h.spec = s
	h.commands = command.New(command.Options{Store: dynamo.New(dynamo.Options{Endpoint: s.PlatformURL})})
	if _, err := h.Apply(ctx, schema.Pools, s.Pools); err != nil {
		return err
	}
	version, err := h.Apply(ctx, schema.Routes, s.Routes)
	if err != nil {
		return err
	}
	for i, domain := range s.Domains {
		if err := h.startHost(i, domain); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return h.waitReady(ctx, version)
}

// startHost starts host i in a failure domain, with its listeners on free ports.
func (h *Hosts) startHost(i, domain int) error {
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
	dialer := delay.Dialer{Topology: h.spec.Topology, Domain: domain, Timeout: dialTimeout}
	entryHost, err := host.New(s, host.Options{Registry: registry, Dial: dialer.DialContext})
	if err != nil {
		return errors.Wrapf(err, "create host %d", i)
	}
	h.spec.Topology.SetDomain(entryHost.PeersAddr().String(), domain)
	entryHost.Start()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.instances = append(h.instances, instance{host: entryHost, registry: registry, address: entryHost.CallersAddr().String()})
	return nil
}

// Apply stores one of the tables and returns the version that was accepted.
func (h *Hosts) Apply(ctx context.Context, kind schema.TableName, data []byte) (uint64, error) {
	h.changeCount++
	result := h.commands.Do(ctx, command.Request{
		Table: kind, Operation: schema.Apply, File: string(kind) + ".ini", Data: data,
		ChangeID: fmt.Sprintf("lab-change-%d", h.changeCount), Author: "chestnutlab",
	})
	if result.State != command.Accepted && result.State != command.Unchanged {
		return 0, errors.Errorf("apply %s: %s %s %v", kind, result.State, result.Detail, result.Problems)
	}
	return result.Version, nil
}

// ApplyRoutes applies the routes of the HostSpec with another timeout and returns
// the version that was accepted.
func (h *Hosts) ApplyRoutes(ctx context.Context, timeout time.Duration) (uint64, error) {
	routes, err := table.ParseRoutes("routes", h.spec.Routes)
	if err != nil {
		return 0, err
	}
	for name, r := range routes {
		r.Timeout = timeout
		routes[name] = r
	}
	return h.Apply(ctx, schema.Routes, table.FormatRoutes(routes))
}

// Versions returns the version in force on every running host, by address.
func (h *Hosts) Versions() (map[string]uint64, error) {
	out := map[string]uint64{}
	for _, inst := range h.running() {
		v, err := inst.metricSum(versionMetric)
		if err != nil {
			return nil, err
		}
		out[inst.address] = uint64(v)
	}
	return out, nil
}

// waitReady waits until every host has the version in force and counts all hosts
// as members.
func (h *Hosts) waitReady(ctx context.Context, version uint64) error {
	if err := h.WaitInForce(ctx, version); err != nil {
		return err
	}
	return h.waitFor(ctx, "count all hosts as members", func(inst instance) (bool, error) {
		n, err := inst.metricSum(membersMetric)
		return int(n) >= len(h.spec.Domains), err
	})
}

// WaitInForce waits until every running host has the version or a later one in
// force. It returns an error when ctx ends first.
func (h *Hosts) WaitInForce(ctx context.Context, version uint64) error {
	return h.waitFor(ctx, "have the tables in force", func(inst instance) (bool, error) {
		v, err := inst.metricSum(versionMetric)
		return uint64(v) >= version, err
	})
}

// waitFor waits until a condition is true for every running host. On a timeout
// the error names the condition.
func (h *Hosts) waitFor(ctx context.Context, condition string, holds func(instance) (bool, error)) error {
	for {
		waiting := 0
		for _, inst := range h.running() {
			ok, err := holds(inst)
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
			return errors.Errorf("gave up waiting: %d hosts do not yet %s", waiting, condition)
		case <-time.After(readyPoll):
		}
	}
}

// running returns the hosts that have not ended.
func (h *Hosts) running() []instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	return lo.Filter(h.instances, func(inst instance, _ int) bool { return inst.host != nil })
}

// Addresses returns the caller addresses of all hosts, ended ones included.
func (h *Hosts) Addresses() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return lo.Map(h.instances, func(inst instance, _ int) string { return inst.address })
}

// detach marks host i as ended and returns it, so that only one caller stops it.
func (h *Hosts) detach(i int) (*host.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i < 0 || i >= len(h.instances) || h.instances[i].host == nil {
		return nil, errors.Errorf("host %d is not running and can't be stopped", i)
	}
	entryHost := h.instances[i].host
	h.instances[i].host = nil
	return entryHost, nil
}

// Kill ends host i without a graceful stop, as a crash would.
func (h *Hosts) Kill(i int) error {
	entryHost, err := h.detach(i)
	if err == nil {
		entryHost.Kill()
	}
	return err
}

// StopHost ends host i with a graceful stop.
func (h *Hosts) StopHost(ctx context.Context, i int) error {
	entryHost, err := h.detach(i)
	if err != nil {
		return err
	}
	return entryHost.Stop(ctx)
}

// Stop ends all running hosts with a graceful stop, at the same time. It returns
// the first error in the order of the hosts.
func (h *Hosts) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var wg sync.WaitGroup
	errs := make([]error, len(h.instances))
	for i := range h.instances {
		wg.Go(func() {
			if entryHost, err := h.detach(i); err == nil {
				errs[i] = entryHost.Stop(ctx)
			}
		})
	}
	wg.Wait()
	return lo.CoalesceOrEmpty(errs...)
}

// Stats returns the number of bytes exchanged between hosts, summed over all
// hosts, ended ones included.
func (h *Hosts) Stats() (experiment.HostStats, error) {
	h.mu.Lock()
	instances := append([]instance(nil), h.instances...)
	h.mu.Unlock()
	var s experiment.HostStats
	for _, inst := range instances {
		v, err := inst.metricSum(peerBytesMetric)
		if err != nil {
			return s, err
		}
		s.PeerBytes += v
	}
	return s, nil
}

// metricSum returns the sum of all samples of a counter or gauge of the host, and 0
// when it has no such metric.
func (inst instance) metricSum(name string) (float64, error) {
	families, err := inst.registry.Gather()
	if err != nil {
		return 0, errors.Wrap(err, "read metrics of an embedded host")
	}
	family, ok := lo.Find(families, func(f *dto.MetricFamily) bool { return f.GetName() == name })
	if !ok {
		return 0, nil
	}
	return lo.SumBy(family.GetMetric(), func(s *dto.Metric) float64 {
		return s.GetCounter().GetValue() + s.GetGauge().GetValue()
	}), nil
}
