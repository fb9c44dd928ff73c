package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/chestnutfield/chestnutfield/lab/embedded"
	"github.com/chestnutfield/chestnutfield/lab/experiment"
	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/lab/report"
)

// runCommand is the command "run".
type runCommand struct {
	Experiment string   `arg:"" help:"Experiment file."`
	Out        string   `help:"Directory for the results; default results/NAME."`
	Scenario   []string `help:"Run just these scenarios."`
	Repeats    int      `help:"Repeats in place of the file's."`
}

// Run runs the experiment with embedded entry hosts, writes its results to the
// output directory and makes the report.
func (c *runCommand) Run() error {
	spec, err := experiment.Load(c.Experiment)
	if err != nil {
		return err
	}
	if c.Repeats > 0 {
		spec.Repeats = c.Repeats
	}
	if c.Out == "" {
		c.Out = filepath.Join("results", spec.Name)
	}
	w, err := experiment.NewWriter(c.Out)
	if err != nil {
		return err
	}
	defer w.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	start := time.Now()
	runner := experiment.Runner{
		Spec: spec, ScenarioNames: c.Scenario,
		NewHosts: func() experiment.HostRunner { return embedded.New() },
		OnRun: func(n, of int, sc experiment.Scenario, cell experiment.Cell, repeat int) {
			fmt.Printf("[%d/%d %v] %s, %s at %v%%, repeat %d\n",
				n, of, time.Since(start).Round(time.Second), sc.Name, cell.Policy, cell.Load, repeat+1)
		},
		OnResult: func(r experiment.Result) error {
			printResult(r)
			return w.Write(r)
		},
	}
	if err := runner.Run(ctx); err != nil {
		return err
	}
	names, err := report.Write(c.Out)
	fmt.Printf("%v in %s after %v\n", names, c.Out, time.Since(start).Round(time.Second))
	return err
}

// printResult prints the summaries of the classes, the load of the machine and
// warnings about an overloaded machine and violated guarantees.
func printResult(r experiment.Result) {
	if len(r.Classes) > 0 {
		_ = loadgen.WriteTable(os.Stdout, r.Classes)
	}
	fmt.Printf("machine %.0f%% busy, %.2f cores here\n", 100*r.Machine.Busy, r.Machine.Cores)
	if r.Machine.Busy > experiment.MaxBusyShare {
		fmt.Println("WARNING: the machine is more than half busy; the figures of this run are not to be trusted")
	}
	if n := r.Violations.Total(); n > 0 {
		fmt.Printf("WARNING: %d broken promises: %+v\n", n, r.Violations)
	}
}
