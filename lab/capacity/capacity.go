// Package capacity measures what entry hosts cost while no call is made, over
// the number of hosts and of targets, so that the costs at other sizes can be
// worked out from slopes.
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

	"github.com/chestnutfield/chestnutfield/config/rows"
	"github.com/chestnutfield/chestnutfield/lab/delay"
	"github.com/chestnutfield/chestnutfield/lab/embedded"
	"github.com/chestnutfield/chestnutfield/lab/experiment"
	"github.com/chestnutfield/chestnutfield/lab/platformd"
)

const (
	failureDomains = 7
	// targetsPerPool is 1,200 targets in 88 services, rounded up.
	targetsPerPool = 14
)

// Point is one size to measure.
type Point struct {
	Hosts   int
	Targets int
}

// Options say how to measure.
type Options struct {
	Points []Point
	// Settle is the time from the start of the hosts to the measurement.
	Settle time.Duration
	// Window is how long each point is measured without changes.
	Window time.Duration
	// Changes is the number of changes of the tables after each window.
	Changes int
}

// Cost is what one host costs at a point.
type Cost struct {
	Point
	// Processor is the share of one core, stand-in platform included.
	Processor float64
	// HeapBytes is the live heap a host.
	HeapBytes float64
	// PeerBytes is what peers exchange a second, both ways.
	PeerBytes float64
	// Reads and Writes are items a second at the table service, of all hosts.
	Reads, Writes float64
	// InForce is the longest time from the acceptance of a change until it was
	// in force on all hosts.
	InForce time.Duration
}

// Run measures every point and writes a table as it goes.
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
	return costs, Write(w, costs)
}

// Write writes costs as a table.
func Write(w io.Writer, costs []Cost) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "hosts\ttargets\tcore %\theap MB\tpeer B/s\treads/s, all\twrites/s, all\tin force")
	for _, c := range costs {
		fmt.Fprintf(t, "%d\t%d\t%.3f\t%.2f\t%.0f\t%.1f\t%.1f\t%v\n", c.Hosts, c.Targets, 100*c.Processor,
			c.HeapBytes/1e6, c.PeerBytes, c.Reads, c.Writes, c.InForce.Round(time.Millisecond))
	}
	return t.Flush()
}

func measure(ctx context.Context, o Options, p Point) (cost Cost, err error) {
	platform := platformd.New(platformd.Options{})
	if err := platform.Start("127.0.0.1:0"); err != nil {
		return cost, err
	}
	defer platform.Close()
	empty := heap()
	hosts := embedded.New()
	err = hosts.Start(ctx, experiment.HostSpec{
		PlatformURL: platform.URL(), Pools: pools(p.Targets), Routes: routes(p.Targets, 0),
		Domains: lo.Times(p.Hosts, func(i int) int { return i % failureDomains }),
		Handoff: true, Net: delay.NewNet(0),
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
	live := heap() - empty
	inForce, err := change(ctx, o, p, hosts)
	if err != nil {
		return cost, err
	}
	seconds, n := after.at.Sub(before.at).Seconds(), float64(p.Hosts)
	return Cost{
		Point: p, InForce: inForce,
		Processor: (after.processor - before.processor).Seconds() / seconds / n,
		HeapBytes: live / n,
		PeerBytes: (after.peerBytes - before.peerBytes) / seconds / n,
		Reads:     (after.reads - before.reads) / seconds,
		Writes:    (after.writes - before.writes) / seconds,
	}, nil
}

// change makes changes one after another and returns the longest time that one
// took to be in force.
func change(ctx context.Context, o Options, p Point, hosts *embedded.Hosts) (longest time.Duration, err error) {
	for i := range o.Changes {
		version, err := hosts.Apply(ctx, rows.Routes, routes(p.Targets, i+1))
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

type sample struct {
	at                       time.Time
	processor                time.Duration
	peerBytes, reads, writes float64
}

func (m meter) sample() (sample, error) {
	stats, err := m.hosts.Stats()
	if err != nil {
		return sample{}, err
	}
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return sample{}, errors.Wrap(err, "processor time")
	}
	p := m.platform.Stats()
	return sample{
		at: time.Now(), processor: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		peerBytes: stats.ControlBytes, reads: float64(p.Reads), writes: float64(p.Writes),
	}, nil
}

// heap is the live heap in bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func poolCount(targets int) int { return int(math.Ceil(float64(targets) / targetsPerPool)) }

// pools lists targets that nobody calls.
func pools(targets int) []byte {
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

// routes lists a route a pool; edition changes one timeout.
func routes(targets, edition int) []byte {
	var b strings.Builder
	for pool := range poolCount(targets) {
		timeout := time.Second
		if pool == 0 {
			timeout += time.Duration(edition) * time.Millisecond
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
