package experiment

import (
	"context"
	"fmt"
	"math"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/lab/delay"
	"github.com/chestnutfield/chestnutfield/lab/platformd"
	"github.com/chestnutfield/chestnutfield/lab/runlog"
	"github.com/chestnutfield/chestnutfield/lab/upstreamd"
	"github.com/chestnutfield/chestnutfield/table"
)

// HostSpec describes the entry hosts that a HostRunner starts.
type HostSpec struct {
	// PlatformURL is the base URL of the stand-in platform.
	PlatformURL string
	// Pools and Routes are the two configuration tables in the text format that
	// operators edit.
	Pools  []byte
	Routes []byte
	// Domains[i] is the failure domain of host i; its length is the number of hosts.
	Domains []int
	// Handoff makes the hosts hand requests over to the owners of target groups.
	Handoff bool
	// Topology simulates the network delays between failure domains. The runner
	// adds the hosts' own addresses to it.
	Topology *delay.Topology
}

// DomainName returns the name of failure domain i, such as domain-a for 0.
func DomainName(i int) string { return fmt.Sprintf("domain-%c", 'a'+i) }

// HostStats are totals over all entry hosts since their start.
type HostStats struct {
	// PeerBytes is the number of bytes that the hosts sent to and received from
	// each other.
	PeerBytes float64
}

// HostRunner starts and stops the entry hosts of a run, as separate processes or
// embedded in this one.
type HostRunner interface {
	// Start starts the hosts and returns once the tables are in force on each.
	Start(ctx context.Context, s HostSpec) error
	// Addresses returns the addresses for callers, one per host.
	Addresses() []string
	// Kill stops host i abruptly, without notice to callers or other hosts.
	Kill(i int) error
	Stats() (HostStats, error)
	Stop() error
}

// deployment is a running stand-in platform with stand-in targets.
type deployment struct {
	spec     Spec
	platform *platformd.Server
	log      *runlog.Log
	topology *delay.Topology
	// targets are the targets of each service, in the order of the spec.
	targets [][]*upstreamd.Server
	pools   map[string]table.Pool
}

func newDeployment(spec Spec, policy string, seed uint64) (*deployment, error) {
	d := &deployment{
		spec: spec, log: runlog.New(), topology: delay.NewTopology(spec.DomainDelay),
		platform: platformd.New(platformd.Options{
			ReadsPerSecond: spec.ReadsPerSecond, WritesPerSecond: spec.WritesPerSecond,
		}),
		pools: map[string]table.Pool{},
	}
	if err := d.platform.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for _, svc := range spec.Services {
		if err := d.addService(svc, policy, seed); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) addService(svc Service, policy string, seed uint64) error {
	pool := table.Pool{
		Name: svc.Name, ProbeBudget: svc.ProbeBudget, LoadPath: "/load", HealthPath: "/health",
		Slots: svc.Slots, Connections: svc.Connections, Policy: policyKey(policy),
	}
	var servers []*upstreamd.Server
	for i := range svc.Targets {
		s, err := upstreamd.New(upstreamOptions(svc, d.log, targetSeed(seed, i)))
		if err != nil {
			return errors.Wrapf(err, "service %s", svc.Name)
		}
		if err := s.Start("127.0.0.1:0"); err != nil {
			return err
		}
		domain := i % d.spec.Domains
		d.topology.SetDomain(s.Addr(), domain)
		servers = append(servers, s)
		pool.Targets = append(pool.Targets, table.Target{
			Addr: netip.MustParseAddrPort(s.Addr()), FailureDomain: DomainName(domain),
		})
	}
	d.targets = append(d.targets, servers)
	d.pools[svc.Name] = pool
	return nil
}

// Policy names of cells in addition to those of package balance. With a policy of
// package balance, hosts choose targets themselves without handing requests over.
const (
	// DefaultPolicy leaves the policy key out. Hosts hand requests over to the
	// owners of target groups.
	DefaultPolicy = "default"
	// DirectPolicy leaves the policy key out. Hosts hand no requests over.
	DirectPolicy = "direct"
)

// policyKey returns the value of the pools' policy key for the policy of a cell.
func policyKey(policy string) string {
	if policy == DefaultPolicy || policy == DirectPolicy {
		return ""
	}
	return policy
}

// policyNames returns the policies that a cell may have.
func policyNames() []string {
	return append([]string{DefaultPolicy, DirectPolicy}, balance.PolicyNames()...)
}

func targetSeed(seed uint64, i int) uint64 { return seed<<8 + uint64(i) }

func upstreamOptions(svc Service, log *runlog.Log, seed uint64) upstreamd.Options {
	o := upstreamd.DefaultOptions()
	o.Slots, o.Queue, o.Connections, o.ConnectTime = svc.Slots, svc.Queue, svc.Connections, svc.ConnectTime
	o.ServiceTime, o.Log, o.Seed = svc.ServiceTime, log, seed
	return o
}

// hostSpec returns the description of the entry hosts for a HostRunner.
func (d *deployment) hostSpec(policy string) HostSpec {
	domains := make([]int, d.spec.Hosts)
	for i := range domains {
		domains[i] = i % d.spec.Domains
	}
	return HostSpec{
		PlatformURL: d.platform.URL(), Topology: d.topology, Domains: domains, Handoff: policy == DefaultPolicy,
		Pools: table.FormatPools(d.pools), Routes: table.FormatRoutes(d.routes()),
	}
}

func (d *deployment) routes() map[string]table.Route {
	routes := map[string]table.Route{}
	for _, svc := range d.spec.Services {
		for _, c := range svc.Classes {
			idempotent := c.Class != table.Order
			r := table.Route{
				Name: c.Name, PathPrefix: c.Path, Methods: []string{c.Method}, Pool: svc.Name,
				Class: c.Class, Idempotent: idempotent, Timeout: c.Timeout,
			}
			if idempotent {
				r.Retries = c.Retries
			}
			routes[c.Name] = r
		}
	}
	return routes
}

// affectedTargets returns the targets of all services that a scenario's fault
// affects: the first of each service.
func (d *deployment) affectedTargets(sc Scenario) []*upstreamd.Server {
	var out []*upstreamd.Server
	for _, servers := range d.targets {
		out = append(out, servers[:affectedCount(sc, len(servers))]...)
	}
	return out
}

// affectedCount returns how many of a service's targets the fault affects.
func affectedCount(sc Scenario, targets int) int {
	return min(targets, int(math.Ceil(sc.Targets*float64(targets))))
}

// targetStats returns the sum of the statistics of all targets.
func (d *deployment) targetStats() upstreamd.Stats {
	var sum upstreamd.Stats
	for _, servers := range d.targets {
		for _, s := range servers {
			sum.Add(s.Stats())
		}
	}
	return sum
}

func (d *deployment) close() {
	for _, servers := range d.targets {
		for _, s := range servers {
			_ = s.Close()
		}
	}
	_ = d.platform.Close()
}
