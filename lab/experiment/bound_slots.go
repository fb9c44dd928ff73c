package experiment

import (
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/lab/upstreamd"
)

// unavailableTime is the service time of a slot that serves no requests: longer
// than any run.
const unavailableTime = 24 * time.Hour

// boundSlots returns the slots of a service under the fault of a scenario.
func boundSlots(spec Spec, sc Scenario, svc Service, seed uint64) []Slot {
	var slots []Slot
	affectedTargets := affectedCount(sc, svc.Targets)
	for target := range svc.Targets {
		slot := Slot(func(_, work time.Duration) time.Duration { return work })
		if target < affectedTargets {
			slot = faultySlot(spec, sc, targetSeed(seed, target))
		}
		slots = append(slots, lo.Times(svc.Slots, func(int) Slot { return slot })...)
	}
	return slots
}

// faultySlot returns a slot of a target that the fault affects.
func faultySlot(spec Spec, sc Scenario, seed uint64) Slot {
	from, to := spec.faultTimes(sc)
	noise := upstreamd.NoisyDuration(seed)
	return func(start, work time.Duration) time.Duration {
		if start < from || start >= to {
			return work
		}
		switch sc.Fault {
		case Noisy:
			return noise(start, work)
		case Slow:
			return time.Duration(float64(work) * sc.Factor)
		case SilentDrain, FailFast:
			return unavailableTime
		case Restart:
			return time.Duration(float64(work) * upstreamd.ColdStartFactor(start-from))
		default:
			return work
		}
	}
}

// boundSummaries computes the bound of every class over the measured window.
// Copies of requests are left out.
func boundSummaries(spec Spec, sc Scenario, classes []loadgen.Class, plan []loadgen.Request, seed uint64) []BoundSummary {
	if len(plan) == 0 {
		return nil
	}
	var records []loadgen.Record
	for _, svc := range spec.Services {
		requests := lo.Filter(plan, func(r loadgen.Request, _ int) bool {
			return classes[r.Class].Service == svc.Name && !r.Copy
		})
		for i, end := range BoundLatencies(boundSlots(spec, sc, svc, seed), classes, requests) {
			records = append(records, loadgen.Record{
				Request: requests[i], Outcome: loadgen.Answered, Latency: end + 2*spec.CallerDelay,
			})
		}
	}
	return lo.Map(loadgen.Summarize(classes, records, nil, spec.window()), func(s loadgen.Summary, _ int) BoundSummary {
		return BoundSummary{Service: s.Service, Class: string(s.Class), P50: s.P50, P99: s.P99, P999: s.P999}
	})
}
