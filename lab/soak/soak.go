package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Length is the duration of the run, including warm-up and cool-down.
	Length time.Duration
	// Binary is the path of the gateway program; Dir is the directory for settings
	// and logs.
	Binary, Dir               string
	Hosts, Upstreams, Callers int
}

// RunDir returns the directory of the settings and logs of this run.
func (o Options) RunDir() string { return filepath.Join(o.Dir, fmt.Sprint("seed-", o.Seed)) }

// Result is the outcome of a run.
type Result struct {
	Plan []Event
	// Violations describes each violation of a guarantee in one line.
	Violations []string
	Summary    string
}

// ErrNotReady means that not all hosts became ready after their start, so that
// nothing was verified.
var ErrNotReady = errors.New("not all hosts became ready in time; nothing was verified")

// readyTimeout is the time limit for all hosts to become ready after their first
// start.
const readyTimeout = 20 * time.Second

// Run executes the plan of a seed and verifies the observations.
func Run(o Options) (r Result, err error) {
	o.Dir = o.RunDir()
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return r, errors.Wrap(err, "directory of the run")
	}
	r.Plan = GeneratePlan(o.Seed, o.Length)
	d, err := NewDeployment(o)
	if err != nil {
		return r, err
	}
	defer d.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var workers sync.WaitGroup
	rotation := newRotation(d.hosts)
	for _, h := range d.hosts {
		workers.Go(func() { rotation.poll(ctx, h) })
	}
	if err := awaitReady(rotation); err != nil {
		cancel()
		workers.Wait()
		return r, err
	}
	d.markStart()
	workers.Go(func() { d.recordStalls(ctx) })
	workers.Go(func() { d.sendHeartbeats(ctx) })
	for _, h := range d.hosts {
		workers.Go(func() { d.checkRoutes(ctx, h) })
	}
	for i := range o.Callers {
		workers.Go(func() { newCaller(fmt.Sprintf("c%d-%d", o.Seed, i), rotation, d.chooseKey, d.recordResult).run(ctx) })
	}
	d.applyPlan(r.Plan)
	time.Sleep(o.Length - time.Since(d.startedAt))
	cancel()
	workers.Wait()
	r.Violations, r.Summary = d.Verify(time.Since(d.startedAt)), d.Summary()
	return r, nil
}

// applyPlan executes the events of a plan at their start times and returns once
// all are over.
func (d *Deployment) applyPlan(plan []Event) {
	var events sync.WaitGroup
	for _, e := range plan {
		time.Sleep(e.At - time.Since(d.startedAt))
		events.Go(func() { d.Apply(e) })
	}
	events.Wait()
}

// markStart sets the start time of the run. It is called once all hosts are ready.
func (d *Deployment) markStart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startedAt = time.Now()
}

func awaitReady(r *rotation) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if r.allReady() {
			return nil
		}
	}
	return ErrNotReady
}
