package placement

import (
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/registry"
)

var _ lb.ObservedAttempt = (*attempt)(nil)

// Observe implements lb.ObservedAttempt.
func (a *attempt) Observe(o backpressure.Observation) {
	a.balancer.RecordObservation(a.target.Instance, o, "")
}

// RecordObservation records what a target showed about its rate limit. from is
// the address of the host that reported it, "" when this host saw the response.
func (b *Balancer) RecordObservation(instance registry.Instance, o backpressure.Observation, from string) {
	now, changed := b.rateLimits.Record(instance, o)
	if !changed {
		return
	}
	b.logRateLimit(instance, now, from)
	b.metrics.recordRateLimit(instance.ID, now, from)
}

func (b *Balancer) logRateLimit(instance registry.Instance, o backpressure.Observation, from string) {
	message := "target names no rate limit any more"
	if o.Limited {
		message = "target named a rate limit for all hosts together"
	}
	b.opts.Logger.Info(message, zap.String("target", instance.ID), zap.Int64("born", instance.StartedMillis),
		zap.Float64("per_second", o.PerSecond), zap.String("reported_by", from), zap.Duration("age", b.opts.Clock.Now().Sub(o.HeardAt)))
}

// RateLimit returns the latest observation of a target's rate limit; ok is false
// when it has never named one.
func (b *Balancer) RateLimit(instance registry.Instance) (o backpressure.Observation, ok bool) {
	return b.rateLimits.Lookup(instance)
}
