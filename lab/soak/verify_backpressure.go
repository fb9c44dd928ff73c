package soak

import (
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/platform/fakeupstream"
)

// interrupted reports whether a host was stopped, killed or paused between two
// times.
func (v *verifier) interrupted(host string, from, to time.Time) bool {
	overlaps := func(impact Impact) bool {
		return (impact.Host == host || impact.Kind == AllKill || impact.Kind == machineStall) && impact.From.Before(to) && impact.To.After(from)
	}
	kinds := []Kind{HostKill, HostPause, AllKill, machineStall}
	return lo.SomeBy(v.impacts, func(i Impact) bool { return lo.Contains(kinds, i.Kind) && overlaps(i) }) ||
		lo.SomeBy(v.gracefulStops, func(s gracefulStop) bool { return overlaps(s.Impact) })
}

// verifyRateLimits checks that all hosts together keep the rate limits that
// upstreams name, from bounds.settleTime after they were named on. Requests of
// hosts that were interrupted since then don't count.
func (v *verifier) verifyRateLimits() {
	arrivals := v.record.Arrivals()
	for _, l := range v.limits {
		var counted []time.Time
		for _, a := range arrivals {
			judged := a.Upstream == l.upstream && a.StartedAt.Equal(l.startedAt) && a.At.After(l.from.Add(bounds.settleTime)) && a.At.Before(l.to)
			if judged && !v.interrupted(v.hostByRequest[a.Request], l.from, a.At) {
				counted = append(counted, a.At)
			}
		}
		allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
		for i, from := range counted {
			n := lo.CountBy(counted[i:], func(at time.Time) bool { return at.Sub(from) < limitWindow })
			if float64(n) > allowed {
				v.addViolation("limit", "%s named %.0f a second and got %d requests in %v from %s on, %.0f are allowed", l.upstream, l.perSecond, n, limitWindow, v.secondsSinceStart(from), allowed)
				break
			}
		}
	}
}

// verifyPauses checks that a host sends nothing to an upstream that told it that it
// leaves, after bounds.drainPropagation, and next to nothing to one that told it to
// retry later.
func (v *verifier) verifyPauses() {
	// An upstream that restarts under its name has told nobody anything.
	type pair struct {
		host, upstream string
		startedAt      time.Time
	}
	byPair := lo.GroupBy(v.record.Arrivals(), func(a fakeupstream.Arrival) pair {
		return pair{v.hostByRequest[a.Request], a.Upstream, a.StartedAt}
	})
	endedAt := map[string]time.Time{}
	for _, s := range v.results {
		if s.Status != 0 {
			endedAt[s.RequestID] = s.Ended
		}
	}
	for p, arrivals := range byPair {
		for i, told := range arrivals {
			ended, answered := endedAt[told.Request]
			// A request that was held on its way reaches the upstream after its host has
			// given it up, which then hears nothing.
			if !answered || told.At.After(ended) {
				continue
			}
			if told.Leaving {
				v.verifyNothingAfter(p.host, told, arrivals[i+1:], ended.Add(bounds.drainPropagation))
			}
			until := told.At.Add(told.RetryAfter)
			late := lo.Filter(arrivals[i+1:], func(a fakeupstream.Arrival, _ int) bool {
				return a.At.After(ended.Add(retryAfterGrace)) && a.At.Before(until)
			})
			if len(late) > maxWhilePaused && !v.interrupted(p.host, told.At, until) && !v.wasCut(p.host, told.At, until) {
				v.addViolation("retry-after", "%s told %s at %s to retry after %v and got %d requests meanwhile", p.upstream, p.host, v.secondsSinceStart(told.At), told.RetryAfter, len(late))
			}
		}
	}
}

// verifyNothingAfter checks that none of the arrivals from a host was sent after a
// time.
func (v *verifier) verifyNothingAfter(host string, told fakeupstream.Arrival, arrivals []fakeupstream.Arrival, due time.Time) {
	for _, a := range arrivals {
		if a.At.After(due) && !v.interrupted(host, told.At, a.At) && !v.wasCut(host, told.At, a.At) {
			v.addViolation("leaving", "%s told %s at %s that it leaves and got %s at %s", a.Upstream, host, v.secondsSinceStart(told.At), a.Request, v.secondsSinceStart(a.At))
			return
		}
	}
}
