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

// The times of the events, counted from the start of the load.
const (
	changeAt = 5 * time.Second
	drainAt  = 11 * time.Second
	stopAt   = 15 * time.Second
	watchEnd = 20 * time.Second
)

const (
	// watchPoll is the interval at which the versions in force are read.
	watchPoll = 200 * time.Millisecond
	// stopLimit limits the time of the graceful stop.
	stopLimit = 10 * time.Second
	// removalDelay is the time that the platform's balancer takes to notice that a
	// host is leaving and to send it no more callers.
	removalDelay = 100 * time.Millisecond
)

// eventRunner runs the scripted events of the demo and records what it observes.
type eventRunner struct {
	hosts    *embedded.Hosts
	out      io.Writer
	observed Evidence
}

// logf writes a line to the output, with the time since the start of the load.
func (er *eventRunner) logf(s experiment.RunningDeployment, format string, args ...any) {
	fmt.Fprintf(er.out, "%4.1fs  %s\n", time.Since(s.Start).Seconds(), fmt.Sprintf(format, args...))
}

// run runs the events at their times. It returns the context's error, nil unless
// the context ended.
func (er *eventRunner) run(ctx context.Context, s experiment.RunningDeployment) error {
	er.logf(s, "load starts; one target of each service is ten times slower from 4 s to 10 s")
	before := probeCounts(s)
	var wg sync.WaitGroup
	wg.Go(func() { er.watchVersions(ctx, s) })
	er.changeConfiguration(ctx, s)
	drained := er.drain(ctx, s)
	er.stopHost(ctx, s)
	experiment.WaitUntil(ctx, s.Start.Add(watchEnd))
	wg.Wait()
	er.observed.MaxProbeRate = maxProbeRate(before, probeCounts(s), time.Since(s.Start))
	if drained != nil {
		er.observed.LateWork = drained.Stats().LateWork
	}
	return ctx.Err()
}

// changeConfiguration applies the routes with another timeout and measures the
// time until they are in force on all hosts.
func (er *eventRunner) changeConfiguration(ctx context.Context, s experiment.RunningDeployment) {
	if !experiment.WaitUntil(ctx, s.Start.Add(changeAt)) {
		return
	}
	start := time.Now()
	version, err := er.hosts.ApplyRoutes(ctx, 3*time.Second)
	if err == nil {
		er.logf(s, "routes applied: version %d accepted", version)
		limited, cancel := context.WithTimeout(ctx, inForceLimit)
		err = er.hosts.WaitInForce(limited, version)
		cancel()
	}
	er.observed.PropagationTime, er.observed.PropagationError = time.Since(start), err
	er.logf(s, "version %d in force on all hosts: %v, error %v", version, err == nil, err)
}

// drain makes the last target of the first service announce that it is draining,
// and returns this target.
func (er *eventRunner) drain(ctx context.Context, s experiment.RunningDeployment) *upstreamd.Server {
	if !experiment.WaitUntil(ctx, s.Start.Add(drainAt)) {
		return nil
	}
	target := lo.LastOrEmpty(s.Targets[0])
	err := target.SetBehavior(upstreamd.Behavior{Drain: upstreamd.DrainAnnounced})
	er.logf(s, "target %s leaves (error %v)", target.Addr(), err)
	return target
}

// stopHost stops the first host with a graceful stop.
func (er *eventRunner) stopHost(ctx context.Context, s experiment.RunningDeployment) {
	if !experiment.WaitUntil(ctx, s.Start.Add(stopAt)) {
		return
	}
	er.observed.StoppedHost = er.hosts.Addresses()[0]
	er.logf(s, "planned stop of entry host %s", er.observed.StoppedHost)
	s.Balancer.Remove(0, removalDelay)
	limited, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	er.observed.StopError = er.hosts.StopHost(limited, 0)
	er.logf(s, "entry host ended (error %v)", er.observed.StopError)
}

// watchVersions counts how often the version in force on a host decreases. A
// failure to read the versions counts too.
func (er *eventRunner) watchVersions(ctx context.Context, s experiment.RunningDeployment) {
	last := map[string]uint64{}
	for time.Since(s.Start) < watchEnd && ctx.Err() == nil {
		versions, err := er.hosts.Versions()
		if err != nil {
			er.observed.Reversions++
		}
		for host, v := range versions {
			if v < last[host] {
				er.observed.Reversions++
			}
			last[host] = v
		}
		experiment.WaitUntil(ctx, time.Now().Add(watchPoll))
	}
}

// probeCounts returns the number of probes that each target has received.
func probeCounts(s experiment.RunningDeployment) []int64 {
	return lo.Map(lo.Flatten(s.Targets), func(t *upstreamd.Server, _ int) int64 {
		st := t.Stats()
		return st.LoadProbes + st.HealthProbes
	})
}

// maxProbeRate returns the highest number of probes per second at one target.
func maxProbeRate(before, after []int64, over time.Duration) float64 {
	return lo.Max(lo.Map(after, func(n int64, i int) float64 { return float64(n-before[i]) / over.Seconds() }))
}
