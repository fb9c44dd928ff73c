package soak

import (
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/platform/fakeupstream"
)

const (
	// warmupPerSecond is the rate that a cold upstream takes. In any coldWindow, it gets
	// at most coldFactor times that rate and coldSlack requests more.
	warmupPerSecond = 2
	coldWindow      = time.Second
	coldFactor      = 1.5
	coldSlack       = 8
	// minColdStart is the shortest time for which an upstream is cold after its start,
	// coldStartStep what each further one of coldStartSteps adds.
	minColdStart   = 1500 * time.Millisecond
	coldStartStep  = 400 * time.Millisecond
	coldStartSteps = 6
	// minColdAgain is the shortest time for which an upstream that runs becomes cold.
	minColdAgain = 3 * time.Second
	// preferredSlowdown is the slowdown, in percent, that all other upstreams of a service
	// report while one is cold: hosts that don't limit it would send it nearly everything.
	preferredSlowdown = 900
)

// coldPeriod is a time in which an upstream is cold.
type coldPeriod struct {
	upstream            string
	startedAt, from, to time.Time
}

// becomeCold makes an upstream cold for a time. The caller holds the mutex.
func (d *Deployment) becomeCold(s *fakeupstream.Server, length time.Duration) {
	from := time.Now()
	s.BecomeCold(from.Add(length))
	d.colds = append(d.colds, coldPeriod{upstream: s.ID, startedAt: s.StartedAt, from: from, to: from.Add(length)})
}

// coldStart makes a new upstream cold. The caller holds the mutex.
func (d *Deployment) coldStart(s *fakeupstream.Server) {
	if d.hasNewParts() {
		d.becomeCold(s, minColdStart+time.Duration(d.upstreamsStarted%coldStartSteps)*coldStartStep)
	}
}

// coolUpstream makes an upstream that runs cold, while the others of its service
// report that they are slow.
func (d *Deployment) coolUpstream(e Event) {
	u := d.pickUpstream(e.Selector)
	length := minColdAgain + e.Duration
	d.mu.Lock()
	d.becomeCold(u.server, length)
	others := lo.Filter(d.upstreams, func(o *relayedUpstream, _ int) bool { return o != u && o.server.Service == u.server.Service })
	d.mu.Unlock()
	report := func(slowdown int) {
		for _, o := range others {
			o.server.UpdateBehavior(func(b *fakeupstream.Behavior) { b.ReportedSlowdown = slowdown })
		}
	}
	report(preferredSlowdown)
	time.Sleep(length)
	report(0)
}

// verifyColdUpstreams checks that a cold upstream gets no more than it takes in any
// second, from all hosts together and whatever happens.
func (v *verifier) verifyColdUpstreams() {
	type process struct {
		upstream  string
		startedAt time.Time
	}
	byProcess := lo.GroupBy(v.record.Arrivals(), func(a fakeupstream.Arrival) process { return process{a.Upstream, a.StartedAt} })
	const allowed = coldFactor*warmupPerSecond*float64(coldWindow/time.Second) + coldSlack
	for _, c := range v.colds {
		at := lo.FilterMap(byProcess[process{c.upstream, c.startedAt}], func(a fakeupstream.Arrival, _ int) (time.Time, bool) {
			return a.At, a.At.After(c.from) && a.At.Before(c.to)
		})
		for i, from := range at {
			n := lo.CountBy(at[i:], func(t time.Time) bool { return t.Sub(from) < coldWindow })
			if float64(n) > allowed && !v.arrivalsHeldUp(from) {
				v.addViolation("cold", "%s was cold from %s to %s and got %d requests in %v from %s on, %.0f are allowed",
					c.upstream, v.secondsSinceStart(c.from), v.secondsSinceStart(c.to), n, coldWindow, v.secondsSinceStart(from), allowed)
				break
			}
		}
	}
}

// arrivalsHeldUp reports whether requests that arrived in the window after a time may
// have been sent earlier: the path to upstreams was released, or the machine stood still.
func (v *verifier) arrivalsHeldUp(from time.Time) bool {
	return lo.SomeBy(v.impacts, func(i Impact) bool {
		held := i.Kind == PathSilent || i.Kind == HostCut || i.Kind == KeyWithdrawalAtCut || i.Kind == machineStall
		return held && i.To.After(from.Add(-coldWindow)) && i.To.Before(from.Add(coldWindow))
	})
}
