// Package capacity measures the resources that entry hosts use while they serve
// no requests, at several numbers of hosts and of targets. The slopes between
// the measurements allow an estimate for other sizes.
package capacity

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"golang.org/x/sys/unix"

	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/lab/delay"
	"github.com/chestnutfield/chestnutfield/lab/embedded"
	"github.com/chestnutfield/chestnutfield/lab/experiment"
	"github.com/chestnutfield/chestnutfield/lab/platformd"
)

const (
	// failureDomains is the number of failure domains that hosts and targets are
	// spread over.
	failureDomains = 7
	// targetsPerPool is the mean pool size with 1,200 targets in 88 services,
	// rounded up.
	targetsPerPool = 14
)

// Point is one deployment size to measure.
type Point struct {
	Hosts   int
	Targets int
}

// Options configures the measurements.
type Options struct {
	Points []Point
	// Settle is the time to wait between the start of the hosts and the
	// measurement.
	Settle time.Duration
	// Window is the length of the measurement of each point, during which the
	// configuration does not change.
	Window time.Duration
	// Changes is the number of configuration changes made after each window.
	Changes int
}

// Cost is the resource use at one point.
type Cost struct {
	Point
	// CPU is the processor time per host, as a fraction of one core. It includes
	// the stand-in platform, which runs in the same process.
	CPU float64
	// HeapBytes is the live heap per host.
	HeapBytes float64
	// PeerBytes is the number of bytes per second that one host exchanges with its
	// peers, sent and received.
	PeerBytes float64
	// Reads and Writes are the items per second that all hosts together read from
	// and write to the table service.
	Reads, Writes float64
	// PropagationTime is the longest time from the acceptance of a change until
	// it was in force on all hosts.
	PropagationTime time.Duration
}

// Run measures the points one after another. It writes a line to w after each and
// the table of all costs at the end.
func Run(ctx context.Context, o Options, w io.Writer) ([]Cost, error) {
	var costs []Cost
	for _, p := range o.Points {
		cost, err := measure(ctx, o, p)
		if err != nil {
			return costs, errors.Wrapf(err, "%d hosts, %d targets", p.Hosts, p.Targets)
		}
		costs = append(costs, cost)
		fmt.Fprintf(w, "measured %d hosts, %d targets\n", p.Hosts, p.Targets)
	}
	return costs, WriteTable(w, costs)
}

// WriteTable writes the costs as an aligned table.
func WriteTable(w io.Writer, costs []Cost) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "hosts\ttargets\tcore %\theap MB\tpeer B/s\treads/s, all\twrites/s, all\tin force")
	for _, c := range costs {
		fmt.Fprintf(t, "%d\t%d\t%.3f\t%.2f\t%.0f\t%.1f\t%.1f\t%v\n", c.Hosts, c.Targets, 100*c.CPU,
			c.HeapBytes/1e6, c.PeerBytes, c.Reads, c.Writes, c.PropagationTime.Round(time.Millisecond))
	}
	return t.Flush()
}

// measure starts a deployment of one size and returns its cost.
func measure(ctx context.Context, o Options, p Point) (cost Cost, err error) {
	platform := platformd.New(platformd.Options{})
	if err := platform.Start("127.0.0.1:0"); err != nil {
		return cost, err
	}
	defer platform.Close()
	baseHeap := liveHeap()
	hosts := embedded.New()
	err = hosts.Start(ctx, experiment.HostSpec{
		PlatformURL: platform.URL(), Pools: poolsFile(p.Targets), Routes: routesFile(p.Targets, 0),
		Domains: lo.Times(p.Hosts, func(i int) int { return i % failureDomains }),
		Handoff: true, Topology: delay.NewTopology(0),
	})
	defer func() {
		if e := hosts.Stop(); err == nil {
			err = e
		}
	}()
	if err != nil {
		return cost, err
	}
	if err := sleep(ctx, o.Settle); err != nil {
		return cost, err
	}
	m := meter{hosts: hosts, platform: platform}
	before, err := m.sample()
	if err != nil {
		return cost, err
	}
	if err := sleep(ctx, o.Window); err != nil {
		return cost, err
	}
	after, err := m.sample()
	if err != nil {
		return cost, err
	}
	heapGrowth := liveHeap() - baseHeap
	propagation, err := measurePropagation(ctx, o, p, hosts)
	if err != nil {
		return cost, err
	}
	seconds, n := after.at.Sub(before.at).Seconds(), float64(p.Hosts)
	return Cost{
		Point: p, PropagationTime: propagation,
		CPU:       (after.cpuTime - before.cpuTime).Seconds() / seconds / n,
		HeapBytes: heapGrowth / n,
		PeerBytes: (after.peerBytes - before.peerBytes) / seconds / n,
		Reads:     (after.reads - before.reads) / seconds,
		Writes:    (after.writes - before.writes) / seconds,
	}, nil
}

// measurePropagation makes o.Changes changes one after another and returns the
// longest time that one took from its acceptance until it was in force on all
// hosts.
func measurePropagation(ctx context.Context, o Options, p Point, hosts *embedded.Hosts) (longest time.Duration, err error) {
	for i := range o.Changes {
		version, err := hosts.Apply(ctx, schema.Routes, routesFile(p.Targets, i+1))
		if err != nil {
			return 0, err
		}
		accepted := time.Now()
		if err := hosts.WaitInForce(ctx, version); err != nil {
			return 0, err
		}
		longest = max(longest, time.Since(accepted))
	}
	return longest, nil
}

// meter reads the counters of a deployment.
type meter struct {
	hosts    *embedded.Hosts
	platform *platformd.Server
}

// sample holds the values of the counters at one time.
type sample struct {
	at                       time.Time
	cpuTime                  time.Duration
	peerBytes, reads, writes float64
}

func (m meter) sample() (sample, error) {
	stats, err := m.hosts.Stats()
	if err != nil {
		return sample{}, err
	}
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return sample{}, errors.Wrap(err, "read processor time")
	}
	p := m.platform.Stats()
	return sample{
		at: time.Now(), cpuTime: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		peerBytes: stats.PeerBytes, reads: float64(p.Reads), writes: float64(p.Writes),
	}, nil
}

// liveHeap returns the live heap of the process in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func poolCount(targets int) int { return int(math.Ceil(float64(targets) / targetsPerPool)) }

// poolsFile returns a pools file for the targets. Nothing listens at their
// addresses.
func poolsFile(targets int) []byte {
	var b strings.Builder
	for pool := range poolCount(targets) {
		list := lo.Times(min(targetsPerPool, targets-pool*targetsPerPool), func(i int) string {
			n := pool*targetsPerPool + i
			return fmt.Sprintf("127.10.%d.%d:9000@%s", n/250, n%250+1, experiment.DomainName(n%failureDomains))
		})
		fmt.Fprintf(&b, "[pool-%d]\ntargets = %s\nprobe_budget = 20\nload_path = /load\n", pool, strings.Join(list, ", "))
	}
	return []byte(b.String())
}

// routesFile returns a routes file with one route per pool. Each revision differs
// from the others in one timeout.
func routesFile(targets, revision int) []byte {
	var b strings.Builder
	for pool := range poolCount(targets) {
		timeout := time.Second
		if pool == 0 {
			timeout += time.Duration(revision) * time.Millisecond
		}
		fmt.Fprintf(&b, "[route-%d]\npath_prefix = /service-%d/\npool = pool-%d\nclass = lookup\nidempotent = true\ntimeout = %v\n",
			pool, pool, pool, timeout)
	}
	return []byte(b.String())
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
