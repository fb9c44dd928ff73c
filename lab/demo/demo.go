// Package demo is the short run of make demo: entry hosts, stand-in platform and
// stand-in targets in one process, an open-loop load of lookups, orders and
// batch pulls, one fault, and what operators do on an ordinary day: a change of
// configuration, a target that is drained, an entry host that is stopped. It
// ends with each promise held or broken.
package demo

import (
	"context"
	_ "embed" // The experiment file of the demo.
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lab/embedded"
	"github.com/chestnutfield/chestnutfield/lab/experiment"
	"github.com/chestnutfield/chestnutfield/lab/loadgen"
)

//go:embed demo.ini
var file []byte

// Run runs the demo and writes its progress and its tables to w. The error
// says that a promise was broken or that the demo could not run.
func Run(ctx context.Context, w io.Writer) error {
	spec, err := experiment.Parse(file)
	if err != nil {
		return err
	}
	sc := spec.Scenarios[0]
	hosts := embedded.New()
	day := &ordinaryDay{hosts: hosts, out: w}
	runner := experiment.Runner{
		Spec: spec, NewHosts: func() experiment.HostRunner { return hosts }, Events: day.run,
		OnProgress: func(ended, planned int) { fmt.Fprintf(w, "  %d of %d requests ended\n", ended, planned) },
	}
	fmt.Fprintf(w, "starting %d entry hosts, the stand-in platform and %d stand-in targets\n", spec.Hosts,
		lo.SumBy(spec.Services, func(s experiment.Service) int { return s.Targets }))
	result, err := runner.RunCell(ctx, sc, sc.Cells[0], 0)
	if err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := loadgen.WriteTable(w, result.Classes); err != nil {
		return err
	}
	return Verdict(w, Judge(day.evidence(spec, sc, result)))
}

// Verdict writes each promise, held or broken; the error says that one was broken.
func Verdict(w io.Writer, promises []Promise) error {
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	broken := 0
	for _, p := range promises {
		if !p.Held {
			broken++
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", lo.Ternary(p.Held, "held", "BROKEN"), p.Name, p.Seen)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "promises")
	}
	if broken > 0 {
		return errors.Errorf("%d of %d promises broken", broken, len(promises))
	}
	fmt.Fprintf(w, "all %d promises held\n", len(promises))
	return nil
}

// evidence gathers what the run and the events left.
func (d *ordinaryDay) evidence(spec experiment.Spec, sc experiment.Scenario, r experiment.Result) Evidence {
	e := d.seen
	e.Violations, e.Records = r.Violations, r.Records
	e.Classes = spec.LoadClasses(sc, r.Cell.Load)
	e.Orders = r.Log.Orders
	e.Copies = lo.CountBy(r.Records, func(r loadgen.Record) bool { return r.Request.Copy })
	e.ProbeBudget = r.Costs.ProbeBudget
	return e
}
