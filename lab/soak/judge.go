package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/platform/fakeupstream"
)

// refusals are the statuses that promise that a request has not run.
var refusals = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// judge holds what was seen against the promises.
type judge struct {
	*World
	broken []string
	// ran are the runs of each request, sentBy the host that each was sent to.
	ran    map[string][]fakeupstream.Arrival
	sentBy map[string]string
	served map[bool]int
	asked  map[bool]int
}

// Judge returns every broken promise, one line each. Disturbances must be over.
func (w *World) Judge(length time.Duration) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := &judge{
		World: w, broken: slices.Clone(w.broken), sentBy: map[string]string{}, served: map[bool]int{}, asked: map[bool]int{},
		ran: lo.GroupBy(lo.Filter(w.record.Arrivals(), func(a fakeupstream.Arrival, _ int) bool { return a.Ran }),
			func(a fakeupstream.Arrival) string { return a.Request }),
	}
	for _, s := range slices.Concat(w.seen, w.probes) {
		j.sentBy[s.Request] = s.Host
	}
	j.answers()
	j.orders()
	j.lookups()
	j.leaving()
	j.stopping()
	j.configurations()
	j.checks(length)
	j.recovery()
	return j.broken
}

func (j *judge) breaks(promise, format string, args ...any) {
	j.broken = append(j.broken, promise+": "+fmt.Sprintf(format, args...))
}

// at tells a moment in seconds from the start.
func (j *judge) at(t time.Time) string { return fmt.Sprintf("%.2fs", t.Sub(j.began).Seconds()) }

// calm reports whether a host was undisturbed in a time and bounds.contact
// before it. Upstreams count where upstreams is true.
func (j *judge) calm(host string, from, to time.Time, upstreams bool) bool {
	from = from.Add(-bounds.contact)
	if from.Before(j.began) {
		return false
	}
	struck := func(d Disturbance) bool {
		mine := d.Host == host || d.Host == "" && !d.Upstreams || d.Upstreams && (upstreams || d.Kind == stalled)
		return mine && d.From.Before(to) && d.To.After(from)
	}
	return !lo.SomeBy(j.disturbed, struck) && !lo.SomeBy(j.stops, func(s stop) bool { return struck(s.Disturbance) })
}

// answers: each caller gets the whole answer to its own request; a route that
// all configurations have is never unknown; nobody is held past the timeout.
func (j *judge) answers() {
	lost := 0
	for _, s := range j.seen {
		j.asked[s.Order]++
		took := s.Ended.Sub(s.Sent)
		switch {
		case s.Status >= 200 && s.Status < 300 && !s.Own:
			j.breaks("own answer", "%s got a success that is not its own whole answer from %s at %s", s.Request, s.Host, j.at(s.Ended))
		case s.Status >= 200 && s.Status < 300:
			j.served[s.Order]++
		case s.Status >= 400 && s.Status < 500 && !slices.Contains(refusals, s.Status):
			j.breaks("routes", "%s was denied with %d by %s at %s", s.Request, s.Status, s.Host, j.at(s.Ended))
		case s.Status == 0 && len(j.ran[s.Request]) > 0 && j.calm(s.Host, s.Sent, s.Ended, true):
			lost++
		}
		if took > routeTimeout+bounds.hold && j.calm(s.Host, s.Sent, s.Ended, true) {
			j.breaks("timeout", "%s was held %v by %s at %s", s.Request, took, s.Host, j.at(s.Ended))
		}
	}
	if lost > lostMost {
		j.breaks("lost", "%d requests that ran at sound upstreams were cut without an answer", lost)
	}
}

// orders run once at most, and a refusal is true.
func (j *judge) orders() {
	for _, s := range j.seen {
		if !s.Order {
			continue
		}
		runs := len(j.ran[s.Request])
		if runs > 1 {
			j.breaks("at most once", "%s ran %d times, sent to %s at %s", s.Request, runs, s.Host, j.at(s.Sent))
		}
		if runs > 0 && slices.Contains(refusals, s.Status) {
			j.breaks("true refusal", "%s was refused with %d by %s at %s and ran", s.Request, s.Status, s.Host, j.at(s.Ended))
		}
	}
}

// lookups run on no more upstreams than their route allows, and nothing runs
// that nobody sent, or where no configuration allows it.
func (j *judge) lookups() {
	over := 0
	for id, runs := range j.ran {
		_, known := j.sentBy[id]
		if !known {
			j.breaks("unasked", "%s ran, which nobody sent", id)
			continue
		}
		if len(lo.UniqBy(runs, func(a fakeupstream.Arrival) string { return a.Upstream })) > attempts {
			over++
		}
	}
	if over > lostMost {
		j.breaks("attempts", "%d requests ran on more than %d upstreams", over, attempts)
	}
	for _, s := range j.seen {
		want := lo.Ternary(s.Order, orders, lookups)
		for _, a := range j.ran[s.Request] {
			if a.Service != want {
				j.breaks("route", "%s ran at a target of %s", s.Request, a.Service)
			}
		}
	}
}

// leaving: an upstream that leaves gets nothing new after the bound.
func (j *judge) leaving() {
	for _, a := range j.record.Arrivals() {
		left, ok := j.left[a.Upstream]
		if !ok {
			continue
		}
		due := left.Add(bounds.leave)
		host := j.sentBy[a.Request]
		if a.At.After(due) && j.calm(host, left, a.At, false) {
			j.breaks("leaving", "%s reached %s %v after it left, sent by %s at %s", a.Request, a.Upstream, a.At.Sub(left), host, j.at(a.At))
		}
	}
}

// stopping: a planned stop ends within the grace and cuts nothing.
func (j *judge) stopping() {
	for _, st := range j.stops {
		others := func(from, to time.Time) bool {
			return lo.SomeBy(j.disturbed, func(d Disturbance) bool {
				return (d.Host == st.Host || d.Host == "") && d.From.Before(to) && d.To.After(from.Add(-bounds.contact))
			}) || lo.SomeBy(j.stops, func(o stop) bool {
				return o.Host == st.Host && o.From != st.From && o.From.Before(to) && o.To.After(from.Add(-bounds.contact))
			})
		}
		if st.overran && !others(st.From, st.To) {
			j.breaks("stop", "%s did not end within %v of %s", st.Host, bounds.grace, j.at(st.From))
		}
		for _, s := range j.seen {
			if s.Host != st.Host || s.Incarnation != st.run || s.Ended.Before(st.From) || s.Sent.After(st.To) || others(s.Sent, s.Ended) {
				continue
			}
			ran, waited := len(j.ran[s.Request]) > 0, s.Ended.Sub(s.Sent) > bounds.lossSlack
			cut := s.Status == 0 && (ran || waited && !strings.Contains(s.Err.Error(), "refused"))
			broken := ran && !s.Signed && s.Status >= 500 && !slices.Contains(refusals, s.Status)
			if cut || broken {
				j.breaks("stop", "%s sent at %s was cut by the stop of %s at %s: status %d, %v", s.Request, j.at(s.Sent), s.Host, j.at(st.From), s.Status, s.Err)
			}
		}
	}
}

// configurations are in force in time and never revert.
func (j *judge) configurations() {
	type life struct {
		host string
		run  int
	}
	inForce := map[life]int{}
	for _, s := range j.probes {
		_, n, ok := lo.FindIndexOf(j.configs, func(c accepted) bool { return c.prefix == s.Prefix })
		if !ok || s.Status == 0 {
			continue
		}
		l := life{s.Host, s.Incarnation}
		found := s.Status != http.StatusNotFound
		served := s.Status == http.StatusOK
		if served {
			if n < inForce[l] {
				j.breaks("configuration", "%s went back to version %d after %d at %s", s.Host, j.configs[n].version, j.configs[inForce[l]].version, j.at(s.Sent))
			}
			inForce[l] = max(inForce[l], n)
		}
		next := n + 1
		replaced := next < len(j.configs) && s.Sent.After(j.configs[next].at.Add(bounds.apply))
		inTime := s.Sent.After(j.configs[n].at.Add(bounds.apply)) && (next >= len(j.configs) || s.Ended.Before(j.configs[next].at))
		switch {
		case replaced && served && j.calm(s.Host, j.configs[next].at, s.Ended, false):
			j.breaks("configuration", "%s served %s at %s, dropped at %s", s.Host, s.Prefix, j.at(s.Sent), j.at(j.configs[next].at))
		case inTime && !found && j.calm(s.Host, j.configs[n].at, s.Ended, false):
			j.breaks("configuration", "%s did not know %s at %s, added at %s", s.Host, s.Prefix, j.at(s.Sent), j.at(j.configs[n].at))
		}
	}
}

// checks: measuring keeps its budget.
func (j *judge) checks(length time.Duration) {
	perSecond := float64(j.record.Checks()) / float64(len(j.ends)) / length.Seconds()
	if perSecond > bounds.checksPerSecond {
		j.breaks("measuring", "%.1f health checks a second and upstream", perSecond)
	}
}

// recovery: once trouble has ended, requests of each kind are served.
func (j *judge) recovery() {
	over := lo.MaxBy(slices.Concat(j.disturbed, lo.Map(j.stops, func(s stop, _ int) Disturbance { return s.Disturbance })),
		func(a, b Disturbance) bool { return a.To.After(b.To) }).To.Add(bounds.contact)
	for _, order := range []bool{false, true} {
		late := lo.Filter(j.seen, func(s Seen, _ int) bool { return s.Order == order && s.Sent.After(over) })
		served := lo.CountBy(late, func(s Seen) bool { return s.Own })
		if float64(served) < bounds.leastServed*float64(len(late)) {
			j.breaks("recovery", "%d of %d requests served after trouble ended at %s (orders: %t)", served, len(late), j.at(over), order)
		}
	}
}

// Summary tells what callers got, in one line.
func (w *World) Summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	own := lo.CountBy(w.seen, func(s Seen) bool { return s.Own })
	refused := lo.CountBy(w.seen, func(s Seen) bool { return slices.Contains(refusals, s.Status) })
	return fmt.Sprintf("%d requests, %d served, %d refused, %d disturbances, %d planned stops, %d configurations",
		len(w.seen), own, refused, len(w.disturbed), len(w.stops), len(w.configs))
}
