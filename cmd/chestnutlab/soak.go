package main

import (
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutfield/chestnutfield/lab/soak"
)

// soakCommand is the command "soak".
type soakCommand struct {
	Seed      uint64        `help:"First seed; by default one from the clock."`
	Seeds     int           `help:"Number of seeds, one after the other." default:"1"`
	Parallel  int           `help:"Runs at the same time." default:"1"`
	Length    time.Duration `help:"Length of one run." default:"25s"`
	Gateway   string        `help:"Program of an entry host." default:"bin/chestnut-gateway" type:"path"`
	Out       string        `help:"Directory for settings and logs; those of clean runs are removed." default:"results/soak" type:"path"`
	Hosts     int           `help:"Number of entry hosts." default:"4"`
	Upstreams int           `help:"Number of upstreams of two services." default:"8"`
	Callers   int           `help:"Number of callers." default:"10"`
	Plan      bool          `help:"Print the plan of each seed and run nothing."`
}

// Run runs the soak test once per seed. It returns an error when a guarantee was
// violated. With Plan set it only prints the events of each seed.
func (c *soakCommand) Run() error {
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano() / int64(time.Millisecond))
	}
	if c.Hosts < 1 || c.Upstreams < 4 || c.Callers < 1 {
		return errors.New("soak: expected at least 1 host, 4 upstreams and 1 caller; nothing was run")
	}
	if c.Plan {
		for i := range c.Seeds {
			fmt.Printf("seed %d:\n%s", c.Seed+uint64(i), formatPlan(soak.GeneratePlan(c.Seed+uint64(i), c.Length)))
		}
		return nil
	}
	var group errgroup.Group
	group.SetLimit(max(c.Parallel, 1))
	for i := range c.Seeds {
		group.Go(func() error { return c.runSeed(c.Seed + uint64(i)) })
	}
	return group.Wait()
}

// runSeed runs the soak test with one seed and prints the result. It removes the
// logs of a run without violations.
func (c *soakCommand) runSeed(seed uint64) error {
	o := soak.Options{
		Seed: seed, Length: c.Length, Binary: c.Gateway, Dir: c.Out, Hosts: c.Hosts, Upstreams: c.Upstreams, Callers: c.Callers,
	}
	r, err := soak.Run(o)
	if err != nil {
		return errors.Wrapf(err, "seed %d", seed)
	}
	if len(r.Violations) == 0 {
		fmt.Printf("seed %d: every promise held; %s\n", seed, r.Summary)
		return errors.Wrap(os.RemoveAll(o.RunDir()), "remove the logs of a clean run")
	}
	failure := fmt.Sprintf("seed %d: %d broken; %s; logs in %s\n", seed, len(r.Violations), r.Summary, o.RunDir())
	failure += formatPlan(r.Plan)
	for _, line := range r.Violations {
		failure += "  " + line + "\n"
	}
	fmt.Print(failure)
	return errors.Errorf("seed %d broke a promise", seed)
}

// formatPlan returns the events of a plan, one indented line each.
func formatPlan(plan []soak.Event) (text string) {
	for _, e := range plan {
		text += fmt.Sprintln("   ", e)
	}
	return text
}
