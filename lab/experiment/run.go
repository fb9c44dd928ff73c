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
	// NewHosts returns the HostRunner of one run.
	NewHosts func() HostRunner
	// OnRun, when set, is called before each run with its number, from 1, and the
	// total number of runs.
	OnRun func(n, total int, sc Scenario, c Cell, repeat int)
	// OnResult is called by Run after each run, and required there. An error ends
	// Run.
	OnResult func(Result) error
	// ScenarioNames, when not empty, lists the names of the scenarios to run.
	ScenarioNames []string
	// Events, when set, is called for each run and runs while the load is sent.
	Events func(ctx context.Context, s RunningDeployment) error
	// OnProgress, when set, is called about once a second with the numbers of ended
	// and planned requests.
	OnProgress func(ended, planned int)
}

// RunningDeployment is the running deployment that is passed to Runner.Events.
type RunningDeployment struct {
	// Start is the time at which the load starts.
	Start time.Time
	Hosts HostRunner
	// Balancer distributes the callers over the entry hosts.
	Balancer *PlatformBalancer
	// Targets are the targets of each service, in the order of the spec.
	Targets [][]*upstreamd.Server
}

// job is one run of a cell.
type job struct {
	scenario Scenario
	cell     Cell
	repeat   int
}

// jobs returns all runs, repeat by repeat, so that a slow change of the machine's
// speed affects all policies alike.
func (r Runner) jobs() []job {
	var out []job
	for repeat := range r.Spec.Repeats {
		for _, sc := range r.Spec.Scenarios {
			if len(r.ScenarioNames) > 0 && !slices.Contains(r.ScenarioNames, sc.Name) {
				continue
			}
			for _, c := range sc.Cells {
				out = append(out, job{scenario: sc, cell: c, repeat: repeat})
			}
		}
	}
	return out
}

// Run executes all runs one after the other. While the load of one run is sent, the
// deployment of the next one starts and that of the previous one stops.
func (r Runner) Run(ctx context.Context) error {
	jobs := r.jobs()
	if len(jobs) == 0 {
		return errors.Errorf("no scenario is named %v", r.ScenarioNames)
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

// RunCell executes one run.
func (r Runner) RunCell(ctx context.Context, sc Scenario, c Cell, repeat int) (Result, error) {
	j := job{scenario: sc, cell: c, repeat: repeat}
	p := <-r.prepare(ctx, j)
	defer p.close()
	return r.measure(ctx, j, p)
}

// prepared is a started deployment to which no load was sent yet, or the error of
// its start.
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

// prepare starts the deployment of a run in the background.
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

// measure sends the load of a run to its deployment and computes the result.
func (r Runner) measure(ctx context.Context, j job, p prepared) (Result, error) {
	if p.err != nil {
		return Result{}, p.err
	}
	spec, seed := r.Spec.forScenario(j.scenario), r.seed(j)
	classes := spec.LoadClasses(j.scenario, j.cell.Load)
	plan, err := generatePlan(classes, j.cell, spec, seed)
	if err != nil {
		return Result{}, err
	}
	p.deployment.spec = spec
	m := &measurement{
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

// generatePlan generates the requests of a cell; there are none for a load of 0.
func generatePlan(classes []loadgen.Class, c Cell, spec Spec, seed uint64) ([]loadgen.Request, error) {
	if c.Load == 0 {
		return nil, nil
	}
	return loadgen.Plan(classes, loadgen.Poisson, spec.Warmup+spec.Duration, seed)
}

// measurement is one run with the snapshots at the start and end of its measured
// window.
type measurement struct {
	runner     Runner
	deployment *deployment
	hosts      HostRunner
	scenario   Scenario
	classes    []loadgen.Class
	plan       []loadgen.Request

	records       []loadgen.Record
	before, after snapshot
}

// snapshot is the state of all counters at one time.
type snapshot struct {
	cpu      cpuSample
	targets  upstreamd.Stats
	platform platformd.Stats
	hosts    HostStats
}

func (m *measurement) snapshot() (s snapshot, err error) {
	if s.hosts, err = m.hosts.Stats(); err != nil {
		return s, err
	}
	s.targets = m.deployment.targetStats()
	s.platform = m.deployment.platform.Stats()
	s.cpu, err = sampleCPU()
	return s, err
}

// run sends the planned load while it injects the fault of the scenario.
func (m *measurement) run(ctx context.Context) error {
	spec := m.deployment.spec
	balancer := NewPlatformBalancer(m.hosts)
	injector := &faultInjector{scenario: m.scenario, deployment: m.deployment, hosts: m.hosts, balancer: balancer}
	start := time.Now()
	var wg sync.WaitGroup
	var beforeErr, eventErr error
	if m.runner.Events != nil {
		running := RunningDeployment{Start: start, Hosts: m.hosts, Balancer: balancer, Targets: m.deployment.targets}
		wg.Go(func() { eventErr = m.runner.Events(ctx, running) })
	}
	wg.Go(func() { injector.run(ctx, start) })
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
	return lo.CoalesceOrEmpty(beforeErr, err, injector.err, eventErr)
}

func (m *measurement) result(c Cell) Result {
	deployment := m.deployment
	window := deployment.spec.window()
	result := Result{
		Violations: loadgen.Check(m.records, deployment.log),
		Log:        deployment.log.Totals(),
		Targets:    deployment.targetStats(),
		Platform:   deployment.platform.Stats(),
		Machine:    machineUsage(m.before.cpu, m.after.cpu),
		Costs:      m.costs(),
		Records:    m.records,
	}
	if c.Load > 0 {
		result.Classes = loadgen.Summarize(m.classes, m.records, deployment.log, window)
	}
	return result
}

func (m *measurement) costs() Costs {
	spec, before, after := m.deployment.spec, m.before, m.after
	seconds := after.cpu.at.Sub(before.cpu.at).Seconds()
	targets := lo.SumBy(spec.Services, func(s Service) int { return s.Targets })
	probes := float64(after.targets.LoadProbes + after.targets.HealthProbes - before.targets.LoadProbes - before.targets.HealthProbes)
	work := (after.targets.Busy - before.targets.Busy).Seconds() + probes*spec.ProbeCost.Seconds()
	costs := Costs{
		ProbesPerSecond:      probes / seconds / float64(targets),
		PeerBytesPerSecond:   (after.hosts.PeerBytes - before.hosts.PeerBytes) / seconds / float64(spec.Hosts),
		TableReadsPerSecond:  float64(after.platform.Reads-before.platform.Reads) / seconds,
		TableWritesPerSecond: float64(after.platform.Writes-before.platform.Writes) / seconds,
	}
	for _, s := range spec.Services {
		costs.ProbeBudget = max(costs.ProbeBudget, s.ProbeBudget)
	}
	if work > 0 {
		costs.ProbeShare = probes * spec.ProbeCost.Seconds() / work
	}
	return costs
}
