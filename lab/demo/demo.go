// Package demo runs the short demonstration behind "make demo": entry hosts, a
// stand-in platform and stand-in targets in one process, under an open-loop load
// of lookups, orders and batch requests. One target of each service is slow for a
// time, the configuration is changed, a target is drained and an entry host is
// stopped. At the end it checks the guarantees of the load balancer and reports
// which of them were violated.
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

// Run runs the demo and writes its progress and its tables to w. It returns an
// error when a guarantee was violated or when the demo could not run.
func Run(ctx context.Context, w io.Writer) error {
	spec, err := experiment.Parse(file)
	if err != nil {
		return err
	}
	sc := spec.Scenarios[0]
	hosts := embedded.New()
	events := &eventRunner{hosts: hosts, out: w}
	runner := experiment.Runner{
		Spec: spec, NewHosts: func() experiment.HostRunner { return hosts }, Events: events.run,
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
	return WriteResults(w, Check(events.evidence(spec, sc, result)))
}

// WriteResults writes one line per guarantee, which says whether it held. It
// returns an error when one was violated.
func WriteResults(w io.Writer, guarantees []Guarantee) error {
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	violated := 0
	for _, g := range guarantees {
		if !g.Held {
			violated++
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", lo.Ternary(g.Held, "held", "BROKEN"), g.Name, g.Detail)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write guarantees")
	}
	if violated > 0 {
		return errors.Errorf("%d of %d promises broken", violated, len(guarantees))
	}
	fmt.Fprintf(w, "all %d promises held\n", len(guarantees))
	return nil
}

// evidence combines the results of the run with what the events recorded.
func (er *eventRunner) evidence(spec experiment.Spec, sc experiment.Scenario, r experiment.Result) Evidence {
	e := er.observed
	e.Violations, e.Records = r.Violations, r.Records
	e.Classes = spec.LoadClasses(sc, r.Cell.Load)
	e.Orders = r.Log.Orders
	e.Copies = lo.CountBy(r.Records, func(r loadgen.Record) bool { return r.Request.Copy })
	e.ProbeBudget = r.Costs.ProbeBudget
	return e
}
