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

// Options describe a run.
type Options struct {
	Seed uint64
	// Length is the time of the run, with warm-up and cool-down.
	Length time.Duration
	// Binary is the entry host's program; Dir takes its settings and logs.
	Binary, Dir               string
	Hosts, Upstreams, Callers int
}

// RunDir is where the settings and logs of the run are.
func (o Options) RunDir() string { return filepath.Join(o.Dir, fmt.Sprint("seed-", o.Seed)) }

// Result is what a run found.
type Result struct {
	Plan    []Event
	Broken  []string
	Summary string
}

// ErrNotReady means that the hosts did not become ready after their start, so
// that nothing was judged.
var ErrNotReady = errors.New("not all hosts became ready")

// readyWithin is the time for all hosts to become ready at first.
const readyWithin = 20 * time.Second

// Run plays the plan of a seed and judges what was seen.
func Run(o Options) (r Result, err error) {
	o.Dir = o.RunDir()
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return r, errors.Wrap(err, "directory of the run")
	}
	r.Plan = Draw(o.Seed, o.Length)
	w, err := NewWorld(o)
	if err != nil {
		return r, err
	}
	defer w.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	rotation := newRotation(w.hosts)
	for _, h := range w.hosts {
		all.Go(func() { rotation.poll(ctx, h) })
	}
	if err := awaitReady(rotation); err != nil {
		cancel()
		all.Wait()
		return r, err
	}
	w.start()
	all.Go(func() { w.watchStalls(ctx) })
	all.Go(func() { w.beat(ctx) })
	for _, h := range w.hosts {
		all.Go(func() { w.probe(ctx, h) })
	}
	for i := range o.Callers {
		all.Go(func() { newCaller(fmt.Sprintf("c%d-%d", o.Seed, i), rotation, w.see).run(ctx) })
	}
	w.play(r.Plan)
	time.Sleep(o.Length - time.Since(w.began))
	cancel()
	all.Wait()
	r.Broken, r.Summary = w.Judge(o.Length), w.Summary()
	return r, nil
}

// play applies the events of a plan at their times and returns once all are
// over.
func (w *World) play(plan []Event) {
	var events sync.WaitGroup
	for _, e := range plan {
		time.Sleep(e.At - time.Since(w.began))
		events.Go(func() { w.Apply(e) })
	}
	events.Wait()
}

// start sets the beginning of the run, once all hosts are ready.
func (w *World) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.began = time.Now()
}

func awaitReady(r *rotation) error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if r.all() {
			return nil
		}
	}
	return ErrNotReady
}
