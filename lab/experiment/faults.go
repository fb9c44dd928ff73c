package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lab/platformd"
	"github.com/chestnutfield/chestnutfield/lab/upstreamd"
)

// detection is the time that the platform's balancer takes to send no more
// callers to an entry host that is gone.
const detection = time.Second

// disturbance switches the fault of a scenario on and off during a run.
type disturbance struct {
	scenario   Scenario
	deployment *deployment
	hosts      HostRunner
	balancer   *Balancer
	// err is the first error; read it after run has returned.
	err error
}

// run switches the fault at its times; it returns when the fault is over or
// the context ends.
func (d *disturbance) run(ctx context.Context, start time.Time) {
	from, to := d.deployment.spec.faultTimes(d.scenario)
	if !WaitUntil(ctx, start.Add(from)) {
		return
	}
	d.on()
	WaitUntil(ctx, start.Add(to))
	d.off()
}

func (d *disturbance) on() {
	switch d.scenario.Fault {
	case StoreDown:
		d.deployment.platform.SetFaults(platformd.Faults{Down: true})
	case HostKilled:
		last := len(d.hosts.Addresses()) - 1
		d.balancer.Remove(last, detection)
		d.err = d.hosts.Kill(last)
	case Restart:
		for _, s := range d.deployment.hit(d.scenario) {
			s.Restart()
		}
	default:
		d.setBehavior(d.behavior())
	}
}

func (d *disturbance) off() {
	d.deployment.platform.SetFaults(platformd.Faults{})
	d.setBehavior(upstreamd.Behavior{})
}

func (d *disturbance) setBehavior(b upstreamd.Behavior) {
	for _, s := range d.deployment.hit(d.scenario) {
		if err := s.SetBehavior(b); err != nil && d.err == nil {
			d.err = err
		}
	}
}

// behavior is what the fault does to the targets that it hits.
func (d *disturbance) behavior() upstreamd.Behavior {
	switch d.scenario.Fault {
	case Noisy:
		return upstreamd.Behavior{Noisy: true}
	case Slow:
		return upstreamd.Behavior{Slowdown: d.scenario.Factor}
	case Drain:
		return upstreamd.Behavior{Drain: upstreamd.Silent}
	case FailFast:
		return upstreamd.Behavior{FailFast: true}
	case Frozen:
		return upstreamd.Behavior{Report: upstreamd.Frozen}
	default:
		return upstreamd.Behavior{}
	}
}

// Balancer is the platform's balancer: it spreads callers over the entry hosts
// that it believes live.
type Balancer struct {
	mu        sync.Mutex
	addresses []string
	leaving   []departure
}

type departure struct {
	address string
	at      time.Time
}

// NewBalancer spreads callers over all hosts of a runner.
func NewBalancer(r HostRunner) *Balancer { return &Balancer{addresses: r.Addresses()} }

// Addresses returns the hosts that callers are sent to.
func (b *Balancer) Addresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for len(b.leaving) > 0 && !now.Before(b.leaving[0].at) {
		b.addresses = lo.Without(b.addresses, b.leaving[0].address)
		b.leaving = b.leaving[1:]
	}
	return b.addresses
}

// Remove sends no caller to host i after the lag.
func (b *Balancer) Remove(i int, lag time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = append(b.leaving, departure{address: b.addresses[i], at: time.Now().Add(lag)})
}

// WaitUntil waits for a time; false when the context ended.
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
