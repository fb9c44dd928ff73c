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

// HostSpec is what a runner needs to start the entry hosts.
type HostSpec struct {
	// PlatformURL is the base address of the stand-in platform.
	PlatformURL string
	// Pools and Routes are the two tables, in the form that operators edit.
	Pools  []byte
	Routes []byte
	// Domains[i] is the failure domain of host i; there is one host an entry.
	Domains []int
	// Handoff makes the hosts hand requests over to the owners of groups.
	Handoff bool
	// Net puts the delays between failure domains on connections. The runner
	// places the hosts' own addresses in it.
	Net *delay.Net
}

// DomainName is the name of failure domain i.
func DomainName(i int) string { return fmt.Sprintf("domain-%c", 'a'+i) }

// HostStats are counts over all entry hosts since they started.
type HostStats struct {
	// ControlBytes is what the hosts sent and received among themselves.
	ControlBytes float64
}

// HostRunner starts entry hosts, over processes or embedded.
type HostRunner interface {
	// Start returns once the tables are in force on every host.
	Start(ctx context.Context, s HostSpec) error
	// Addresses are the caller addresses of the hosts, by index.
	Addresses() []string
	// Kill ends a host with no word to anyone.
	Kill(i int) error
	Stats() (HostStats, error)
	Stop() error
}

// deployment is a running stand-in platform with its targets.
type deployment struct {
	spec     Spec
	platform *platformd.Server
	log      *runlog.Log
	net      *delay.Net
	// targets are by service, in the order of the spec.
	targets [][]*upstreamd.Server
	pools   map[string]table.Pool
}

func newDeployment(spec Spec, policy string, seed uint64) (*deployment, error) {
	d := &deployment{
		spec: spec, log: runlog.New(), net: delay.NewNet(spec.DomainDelay),
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
		d.net.Place(s.Addr(), domain)
		servers = append(servers, s)
		pool.Targets = append(pool.Targets, table.Target{
			Addr: netip.MustParseAddrPort(s.Addr()), FailureDomain: DomainName(domain),
		})
	}
	d.targets = append(d.targets, servers)
	d.pools[svc.Name] = pool
	return nil
}

// The names that cells have beside the policies of package balance, which hosts
// apply to their own requests without handing them over.
const (
	// DefaultPolicy leaves all to the product.
	DefaultPolicy = "default"
	// DirectPolicy is the default policy without handing requests over.
	DirectPolicy = "direct"
)

// policyKey is the policy key of a pool.
func policyKey(policy string) string {
	if policy == DefaultPolicy || policy == DirectPolicy {
		return ""
	}
	return policy
}

// policyNames are the names that a cell may have.
func policyNames() []string {
	return append([]string{DefaultPolicy, DirectPolicy}, balance.PolicyNames()...)
}

func targetSeed(seed uint64, i int) uint64 { return seed<<8 + uint64(i) }

func upstreamOptions(svc Service, log *runlog.Log, seed uint64) upstreamd.Options {
	o := upstreamd.Defaults()
	o.Slots, o.Queue, o.Connections, o.ConnectTime = svc.Slots, svc.Queue, svc.Connections, svc.ConnectTime
	o.ServiceTime, o.Log, o.Seed = svc.ServiceTime, log, seed
	return o
}

// hostSpec describes the entry hosts to a runner.
func (d *deployment) hostSpec(policy string) HostSpec {
	domains := make([]int, d.spec.Hosts)
	for i := range domains {
		domains[i] = i % d.spec.Domains
	}
	return HostSpec{
		PlatformURL: d.platform.URL(), Net: d.net, Domains: domains, Handoff: policy == DefaultPolicy,
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

// hit returns the targets of each service that a scenario's fault reaches.
func (d *deployment) hit(sc Scenario) []*upstreamd.Server {
	var out []*upstreamd.Server
	for _, servers := range d.targets {
		out = append(out, servers[:hitCount(sc, len(servers))]...)
	}
	return out
}

// hitCount is the number of a service's targets that the fault reaches.
func hitCount(sc Scenario, targets int) int {
	return min(targets, int(math.Ceil(sc.Targets*float64(targets))))
}

// targetStats sums up what the targets saw.
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
