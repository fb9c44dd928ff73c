package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lab/embedded"
	"github.com/chestnutfield/chestnutfield/lab/experiment"
	"github.com/chestnutfield/chestnutfield/lab/upstreamd"
)

// The times of the events from the start of the load.
const (
	changeAt = 5 * time.Second
	drainAt  = 11 * time.Second
	stopAt   = 15 * time.Second
	watchEnd = 20 * time.Second
)

const (
	// watchPoll is the time between two looks at the versions in force.
	watchPoll = 200 * time.Millisecond
	// stopLimit bounds the planned stop.
	stopLimit = 10 * time.Second
	// noticed is the time that the platform's balancer takes to send no more
	// callers to a host that stops.
	noticed = 100 * time.Millisecond
)

// ordinaryDay is the events of the demo and what was seen of them.
type ordinaryDay struct {
	hosts *embedded.Hosts
	out   io.Writer
	seen  Evidence
}

func (d *ordinaryDay) say(s experiment.Stage, format string, args ...any) {
	fmt.Fprintf(d.out, "%4.1fs  %s\n", time.Since(s.Start).Seconds(), fmt.Sprintf(format, args...))
}

// run makes the events happen at their times.
func (d *ordinaryDay) run(ctx context.Context, s experiment.Stage) error {
	d.say(s, "load starts; one target of each service is ten times slower from 4 s to 10 s")
	before := probes(s)
	var wg sync.WaitGroup
	wg.Go(func() { d.watchVersions(ctx, s) })
	d.changeConfiguration(ctx, s)
	drained := d.drain(ctx, s)
	d.stopHost(ctx, s)
	experiment.WaitUntil(ctx, s.Start.Add(watchEnd))
	wg.Wait()
	d.seen.BusiestProbes = busiest(before, probes(s), time.Since(s.Start))
	if drained != nil {
		d.seen.LateWork = drained.Stats().LateWork
	}
	return ctx.Err()
}

// changeConfiguration applies the routes with another timeout.
func (d *ordinaryDay) changeConfiguration(ctx context.Context, s experiment.Stage) {
	if !experiment.WaitUntil(ctx, s.Start.Add(changeAt)) {
		return
	}
	began := time.Now()
	version, err := d.hosts.ApplyRoutes(ctx, 3*time.Second)
	if err == nil {
		d.say(s, "routes applied: version %d accepted", version)
		bounded, cancel := context.WithTimeout(ctx, inForceLimit)
		err = d.hosts.WaitInForce(bounded, version)
		cancel()
	}
	d.seen.InForce, d.seen.InForceError = time.Since(began), err
	d.say(s, "version %d in force on all hosts: %v, error %v", version, err == nil, err)
}

// drain lets the last target of the first service announce that it leaves.
func (d *ordinaryDay) drain(ctx context.Context, s experiment.Stage) *upstreamd.Server {
	if !experiment.WaitUntil(ctx, s.Start.Add(drainAt)) {
		return nil
	}
	target := lo.LastOrEmpty(s.Targets[0])
	err := target.SetBehavior(upstreamd.Behavior{Drain: upstreamd.Announced})
	d.say(s, "target %s leaves (error %v)", target.Addr(), err)
	return target
}

// stopHost is a planned stop of the first host.
func (d *ordinaryDay) stopHost(ctx context.Context, s experiment.Stage) {
	if !experiment.WaitUntil(ctx, s.Start.Add(stopAt)) {
		return
	}
	d.seen.StoppedHost = d.hosts.Addresses()[0]
	d.say(s, "planned stop of entry host %s", d.seen.StoppedHost)
	s.Balancer.Remove(0, noticed)
	bounded, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	d.seen.StopError = d.hosts.StopHost(bounded, 0)
	d.say(s, "entry host ended (error %v)", d.seen.StopError)
}

// watchVersions counts the times that a host's version falls.
func (d *ordinaryDay) watchVersions(ctx context.Context, s experiment.Stage) {
	last := map[string]uint64{}
	for time.Since(s.Start) < watchEnd && ctx.Err() == nil {
		versions, err := d.hosts.Versions()
		if err != nil {
			d.seen.Reverted++
		}
		for host, v := range versions {
			if v < last[host] {
				d.seen.Reverted++
			}
			last[host] = v
		}
		experiment.WaitUntil(ctx, time.Now().Add(watchPoll))
	}
}

// probes are the probes that each target has seen.
func probes(s experiment.Stage) []int64 {
	return lo.Map(lo.Flatten(s.Targets), func(t *upstreamd.Server, _ int) int64 {
		st := t.Stats()
		return st.LoadProbes + st.HealthProbes
	})
}

// busiest is the highest number of probes a second at one target.
func busiest(before, after []int64, over time.Duration) float64 {
	return lo.Max(lo.Map(after, func(n int64, i int) float64 { return float64(n-before[i]) / over.Seconds() }))
}
