package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lab/platformd"
	"github.com/chestnutfield/chestnutfield/lab/upstreamd"
)

// detectionDelay is the time until the platform's balancer stops sending callers to
// an entry host that has failed.
const detectionDelay = time.Second

// faultInjector injects the fault of a scenario into a run and clears it.
type faultInjector struct {
	scenario   Scenario
	deployment *deployment
	hosts      HostRunner
	balancer   *PlatformBalancer
	// err is the first error. It may be read once run has returned.
	err error
}

// run injects and clears the fault at the times of the scenario. It returns when the
// fault is cleared or the context ends.
func (f *faultInjector) run(ctx context.Context, start time.Time) {
	from, to := f.deployment.spec.faultTimes(f.scenario)
	if !WaitUntil(ctx, start.Add(from)) {
		return
	}
	f.inject()
	WaitUntil(ctx, start.Add(to))
	f.clearFault()
}

func (f *faultInjector) inject() {
	switch f.scenario.Fault {
	case StoreDown:
		f.deployment.platform.SetFaults(platformd.Faults{Down: true})
	case HostKilled:
		last := len(f.hosts.Addresses()) - 1
		f.balancer.Remove(last, detectionDelay)
		f.err = f.hosts.Kill(last)
	case Restart:
		for _, s := range f.deployment.affectedTargets(f.scenario) {
			s.Restart()
		}
	default:
		f.setBehavior(f.behavior())
	}
}

func (f *faultInjector) clearFault() {
	f.deployment.platform.SetFaults(platformd.Faults{})
	f.setBehavior(upstreamd.Behavior{})
}

func (f *faultInjector) setBehavior(b upstreamd.Behavior) {
	for _, s := range f.deployment.affectedTargets(f.scenario) {
		if err := s.SetBehavior(b); err != nil && f.err == nil {
			f.err = err
		}
	}
}

// behavior returns the behavior of the affected targets under the fault.
func (f *faultInjector) behavior() upstreamd.Behavior {
	switch f.scenario.Fault {
	case Noisy:
		return upstreamd.Behavior{Noisy: true}
	case Slow:
		return upstreamd.Behavior{Slowdown: f.scenario.Factor}
	case SilentDrain:
		return upstreamd.Behavior{Drain: upstreamd.DrainSilent}
	case FailFast:
		return upstreamd.Behavior{FailFast: true}
	case FrozenReports:
		return upstreamd.Behavior{Report: upstreamd.ReportFrozen}
	default:
		return upstreamd.Behavior{}
	}
}

// PlatformBalancer simulates the platform's balancer in front of the entry hosts: it
// distributes callers over the hosts that it considers live.
type PlatformBalancer struct {
	mu        sync.Mutex
	addresses []string
	removals  []hostRemoval
}

// hostRemoval removes a host from the balancer at a time.
type hostRemoval struct {
	address string
	at      time.Time
}

// NewPlatformBalancer returns a balancer over all hosts of a runner.
func NewPlatformBalancer(r HostRunner) *PlatformBalancer {
	return &PlatformBalancer{addresses: r.Addresses()}
}

// Addresses returns the addresses of the hosts that callers are sent to.
func (b *PlatformBalancer) Addresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for len(b.removals) > 0 && !now.Before(b.removals[0].at) {
		b.addresses = lo.Without(b.addresses, b.removals[0].address)
		b.removals = b.removals[1:]
	}
	return b.addresses
}

// Remove stops sending callers to host i after the delay.
func (b *PlatformBalancer) Remove(i int, delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removals = append(b.removals, hostRemoval{address: b.addresses[i], at: time.Now().Add(delay)})
}

// WaitUntil waits until a time. It returns false if the context ended before.
func WaitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
