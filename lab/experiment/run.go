package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/lab/upstreamd"
)

// Runner runs the cells of a Spec.
type Runner struct {
	Spec Spec
	// NewHosts makes the entry hosts of one run.
	NewHosts func() HostRunner
	// OnRun is called before each run with its number and the number of runs.
	OnRun func(n, of int, sc Scenario, c Cell, repeat int)
	// OnResult is called after each run.
	OnResult func(Result) error
	// Only, when not empty, names the scenarios to run.
	Only []string
	// Events, when set, runs beside the load of each run.
	Events func(ctx context.Context, s Stage) error
	// OnProgress is called about once a second with the requests ended.
	OnProgress func(ended, planned int)
}

// Stage is a running deployment, as events see it.
type Stage struct {
	// Start is the time at which the load starts.
	Start time.Time
	Hosts HostRunner
	// Balancer spreads the callers over the entry hosts.
	Balancer *Balancer
	// Targets are by service, in the order of the spec.
	Targets [][]*upstreamd.Server
}

// Run runs every cell of every scenario, repeat by repeat, so that a drift of
// the machine falls on all policies alike.
func (r Runner) Run(ctx context.Context) error {
	scenarios := lo.Filter(r.Spec.Scenarios, func(sc Scenario, _ int) bool {
		return len(r.Only) == 0 || lo.Contains(r.Only, sc.Name)
	})
	of := r.Spec.Repeats * lo.SumBy(scenarios, func(sc Scenario) int { return len(sc.Cells) })
	n := 0
	for repeat := range r.Spec.Repeats {
		for _, sc := range scenarios {
			for _, c := range sc.Cells {
				n++
				if r.OnRun != nil {
					r.OnRun(n, of, sc, c, repeat)
				}
				result, err := r.RunCell(ctx, sc, c, repeat)
				if err != nil {
					return errors.Wrapf(err, "scenario %s, policy %s at %v%%, repeat %d", sc.Name, c.Policy, c.Load, repeat)
				}
				if err := r.OnResult(result); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// RunCell runs one cell once.
func (r Runner) RunCell(ctx context.Context, sc Scenario, c Cell, repeat int) (Result, error) {
	spec := r.Spec
	seed := spec.Seed + uint64(repeat)
	classes := spec.classes(sc, c.Load)
	plan, err := planFor(classes, c, spec, seed)
	if err != nil {
		return Result{}, err
	}
	d, err := newDeployment(spec, c.Policy, seed)
	if err != nil {
		return Result{}, err
	}
	defer d.close()
	hosts := r.NewHosts()
	if err := hosts.Start(ctx, d.hostSpec()); err != nil {
		return Result{}, errors.Wrap(err, "entry hosts")
	}
	defer func() { _ = hosts.Stop() }()

	m := &measured{runner: r, deployment: d, hosts: hosts, scenario: sc, classes: classes, plan: plan}
	if err := m.run(ctx); err != nil {
		return Result{}, err
	}
	result := m.result(c)
	result.Experiment, result.Scenario, result.Cell = spec.Name, sc.Name, c
	result.Repeat, result.Seed, result.Hosts = repeat, seed, spec.Hosts
	result.Bound = boundSummaries(spec, sc, classes, plan, seed)
	return result, nil
}

// planFor draws the requests of a cell; a load of 0 has none.
func planFor(classes []loadgen.Class, c Cell, spec Spec, seed uint64) ([]loadgen.Request, error) {
	if c.Load == 0 {
		return nil, nil
	}
	return loadgen.Plan(classes, loadgen.Poisson, spec.Warmup+spec.Duration, seed)
}

// measured is one run with what was seen at the ends of its window.
type measured struct {
	runner     Runner
	deployment *deployment
	hosts      HostRunner
	scenario   Scenario
	classes    []loadgen.Class
	plan       []loadgen.Request

	records       []loadgen.Record
	before, after snapshot
}

// snapshot is all counts at one moment.
type snapshot struct {
	cpu     cpuSample
	targets upstreamd.Stats
	hosts   HostStats
}

func (m *measured) snapshot() (s snapshot, err error) {
	if s.hosts, err = m.hosts.Stats(); err != nil {
		return s, err
	}
	s.targets = m.deployment.targetStats()
	s.cpu, err = sampleCPU()
	return s, err
}

// run sends the plan and disturbs the deployment meanwhile.
func (m *measured) run(ctx context.Context) error {
	spec := m.deployment.spec
	balancer := NewBalancer(m.hosts)
	dist := &disturbance{scenario: m.scenario, deployment: m.deployment, hosts: m.hosts, balancer: balancer}
	start := time.Now()
	var wg sync.WaitGroup
	var beforeErr, eventErr error
	if m.runner.Events != nil {
		stage := Stage{Start: start, Hosts: m.hosts, Balancer: balancer, Targets: m.deployment.targets}
		wg.Go(func() { eventErr = m.runner.Events(ctx, stage) })
	}
	wg.Go(func() { dist.run(ctx, start) })
	wg.Go(func() {
		if waitUntil(ctx, start.Add(spec.Warmup)) {
			m.before, beforeErr = m.snapshot()
		}
	})
	m.records = loadgen.Run(ctx, loadgen.Options{
		Hosts: balancer, Classes: m.classes, Timeout: spec.Timeout, CallerDelay: spec.CallerDelay,
		OnProgress: m.runner.OnProgress,
	}, m.plan)
	wg.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	var err error
	m.after, err = m.snapshot()
	return lo.CoalesceOrEmpty(beforeErr, err, dist.err, eventErr)
}

func (m *measured) result(c Cell) Result {
	d := m.deployment
	window := d.spec.window()
	result := Result{
		Violations: loadgen.Check(m.records, d.log),
		Log:        d.log.Totals(),
		Targets:    d.targetStats(),
		Platform:   d.platform.Stats(),
		Machine:    machineBetween(m.before.cpu, m.after.cpu),
		Costs:      m.costs(),
		Records:    m.records,
	}
	if c.Load > 0 {
		result.Classes = loadgen.Summarize(m.classes, m.records, d.log, window)
	}
	return result
}

func (m *measured) costs() Costs {
	spec, a, b := m.deployment.spec, m.before, m.after
	seconds := b.cpu.at.Sub(a.cpu.at).Seconds()
	targets := lo.SumBy(spec.Services, func(s Service) int { return s.Targets })
	probes := float64(b.targets.LoadProbes + b.targets.HealthProbes - a.targets.LoadProbes - a.targets.HealthProbes)
	work := (b.targets.Busy - a.targets.Busy).Seconds() + probes*spec.ProbeCost.Seconds()
	stats := m.deployment.platform.Stats()
	costs := Costs{
		ProbesPerTarget: probes / seconds / float64(targets),
		ControlBytes:    (b.hosts.ControlBytes - a.hosts.ControlBytes) / seconds / float64(spec.Hosts),
		TableReads:      stats.ReadsPerSecond,
		TableWrites:     stats.WritesPerSecond,
	}
	for _, s := range spec.Services {
		costs.ProbeBudget = max(costs.ProbeBudget, s.ProbeBudget)
	}
	if work > 0 {
		costs.ProbeShare = probes * spec.ProbeCost.Seconds() / work
	}
	return costs
}
