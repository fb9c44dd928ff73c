package experiment

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/lab/platformd"
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

// job is one run to be made.
type job struct {
	scenario Scenario
	cell     Cell
	repeat   int
}

// jobs lists the runs, repeat by repeat, so that a drift of the machine falls
// on all policies alike.
func (r Runner) jobs() []job {
	var out []job
	for repeat := range r.Spec.Repeats {
		for _, sc := range r.Spec.Scenarios {
			if len(r.Only) > 0 && !slices.Contains(r.Only, sc.Name) {
				continue
			}
			for _, c := range sc.Cells {
				out = append(out, job{scenario: sc, cell: c, repeat: repeat})
			}
		}
	}
	return out
}

// Run makes all runs, one after the other. The deployment of the next run
// starts, and that of the run before ends, while the load of this one is sent.
func (r Runner) Run(ctx context.Context) error {
	jobs := r.jobs()
	if len(jobs) == 0 {
		return errors.Errorf("no scenario is named %v", r.Only)
	}
	var closing sync.WaitGroup
	defer closing.Wait()
	next := r.prepare(ctx, jobs[0])
	for i, j := range jobs {
		current := <-next
		if i+1 < len(jobs) && current.err == nil {
			next = r.prepare(ctx, jobs[i+1])
		}
		if r.OnRun != nil {
			r.OnRun(i+1, len(jobs), j.scenario, j.cell, j.repeat)
		}
		err := r.runOne(ctx, j, current)
		closing.Go(current.close)
		if err != nil {
			if i+1 < len(jobs) && current.err == nil {
				(<-next).close()
			}
			return errors.Wrapf(err, "scenario %s, policy %s at %v%%, repeat %d",
				j.scenario.Name, j.cell.Policy, j.cell.Load, j.repeat)
		}
	}
	return nil
}

func (r Runner) runOne(ctx context.Context, j job, p prepared) error {
	result, err := r.measure(ctx, j, p)
	if err != nil {
		return err
	}
	return r.OnResult(result)
}

// RunCell makes one run.
func (r Runner) RunCell(ctx context.Context, sc Scenario, c Cell, repeat int) (Result, error) {
	j := job{scenario: sc, cell: c, repeat: repeat}
	p := <-r.prepare(ctx, j)
	defer p.close()
	return r.measure(ctx, j, p)
}

// prepared is a deployment that waits for load.
type prepared struct {
	deployment *deployment
	hosts      HostRunner
	err        error
}

func (p prepared) close() {
	if p.hosts != nil {
		_ = p.hosts.Stop()
	}
	if p.deployment != nil {
		p.deployment.close()
	}
}

// prepare starts the deployment of a run.
func (r Runner) prepare(ctx context.Context, j job) <-chan prepared {
	out := make(chan prepared, 1)
	go func() {
		var p prepared
		p.deployment, p.err = newDeployment(r.Spec, j.cell.Policy, r.seed(j))
		if p.err == nil {
			p.hosts = r.NewHosts()
			p.err = errors.Wrap(p.hosts.Start(ctx, p.deployment.hostSpec(j.cell.Policy)), "entry hosts")
		}
		out <- p
	}()
	return out
}

func (r Runner) seed(j job) uint64 { return r.Spec.Seed + uint64(j.repeat) }

// measure sends the load of a run to its deployment.
func (r Runner) measure(ctx context.Context, j job, p prepared) (Result, error) {
	if p.err != nil {
		return Result{}, p.err
	}
	spec, seed := r.Spec.forScenario(j.scenario), r.seed(j)
	classes := spec.LoadClasses(j.scenario, j.cell.Load)
	plan, err := planFor(classes, j.cell, spec, seed)
	if err != nil {
		return Result{}, err
	}
	p.deployment.spec = spec
	m := &measured{
		runner: r, deployment: p.deployment, hosts: p.hosts, scenario: j.scenario, classes: classes, plan: plan,
	}
	if err := m.run(ctx); err != nil {
		return Result{}, err
	}
	result := m.result(j.cell)
	result.Experiment, result.Scenario, result.Cell = spec.Name, j.scenario.Name, j.cell
	result.Repeat, result.Seed, result.Hosts = j.repeat, seed, spec.Hosts
	result.Bound = boundSummaries(spec, j.scenario, classes, plan, seed)
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
	cpu      cpuSample
	targets  upstreamd.Stats
	platform platformd.Stats
	hosts    HostStats
}

func (m *measured) snapshot() (s snapshot, err error) {
	if s.hosts, err = m.hosts.Stats(); err != nil {
		return s, err
	}
	s.targets = m.deployment.targetStats()
	s.platform = m.deployment.platform.Stats()
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
		if WaitUntil(ctx, start.Add(spec.Warmup)) {
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
	costs := Costs{
		ProbesPerTarget: probes / seconds / float64(targets),
		ControlBytes:    (b.hosts.ControlBytes - a.hosts.ControlBytes) / seconds / float64(spec.Hosts),
		TableReads:      float64(b.platform.Reads-a.platform.Reads) / seconds,
		TableWrites:     float64(b.platform.Writes-a.platform.Writes) / seconds,
	}
	for _, s := range spec.Services {
		costs.ProbeBudget = max(costs.ProbeBudget, s.ProbeBudget)
	}
	if work > 0 {
		costs.ProbeShare = probes * spec.ProbeCost.Seconds() / work
	}
	return costs
}
