package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/platform/fakeupstream"
)

// notRunStatuses are the response statuses that guarantee that a request has not
// run.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// verifier checks the observations of a run against the guarantees.
type verifier struct {
	*Deployment
	violations []string
	// runsByRequest are the runs of each request at upstreams, hostByRequest is the
	// host that each request was sent to; both by request ID.
	runsByRequest map[string][]fakeupstream.Arrival
	hostByRequest map[string]string
	served        map[bool]int
	sent          map[bool]int
}

// Verify returns every violation of a run of that length, one line each. All events must
// be over.
func (d *Deployment) Verify(length time.Duration) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := &verifier{
		Deployment: d, violations: slices.Clone(d.violations), hostByRequest: map[string]string{}, served: map[bool]int{}, sent: map[bool]int{},
		runsByRequest: lo.GroupBy(lo.Filter(d.record.Arrivals(), func(a fakeupstream.Arrival, _ int) bool { return a.Ran }),
			func(a fakeupstream.Arrival) string { return a.Request }),
	}
	for _, s := range slices.Concat(d.results, d.routeChecks, d.crashResults) {
		v.hostByRequest[s.RequestID] = s.Host
	}
	v.verifyResponses()
	v.verifyOrders()
	v.verifyAttempts()
	v.verifyDraining()
	v.verifyRateLimits()
	v.verifyPauses()
	v.verifyGracefulStops()
	v.verifyConfigurations()
	v.verifyHealthCheckRate(length)
	v.verifyRecovery()
	v.verifyCuts()
	v.verifyCrashing()
	v.verifyColdUpstreams()
	v.verifyEvacuations()
	v.verifyWorkspaces()
	return v.violations
}

func (v *verifier) addViolation(guarantee, format string, args ...any) {
	v.violations = append(v.violations, guarantee+": "+fmt.Sprintf(format, args...))
}

// secondsSinceStart formats a time in seconds from the start of the run.
func (v *verifier) secondsSinceStart(t time.Time) string {
	return fmt.Sprintf("%.2fs", t.Sub(v.startedAt).Seconds())
}

// unaffected reports whether no impact or graceful stop affected a host between
// two times and in bounds.settleTime before the first. Impacts at upstreams are
// included if upstreams is true.
func (v *verifier) unaffected(host string, from, to time.Time, upstreams bool) bool {
	from = from.Add(-bounds.settleTime)
	if from.Before(v.startedAt) {
		return false
	}
	affects := func(impact Impact) bool {
		relevant := impact.Host == host || impact.Host == "" && !impact.Upstreams || impact.Upstreams && (upstreams || impact.Kind == machineStall)
		return relevant && impact.From.Before(to) && impact.To.After(from)
	}
	return !lo.SomeBy(v.impacts, affects) && !lo.SomeBy(v.gracefulStops, func(s gracefulStop) bool { return affects(s.Impact) })
}

// verifyResponses checks that each successful response is complete and belongs to
// the caller's request, that a route that is in every configuration is always
// known, that no request is held beyond its timeout, and that requests which ran
// at healthy upstreams are answered.
func (v *verifier) verifyResponses() {
	lost := 0
	for _, s := range v.results {
		v.sent[s.Order]++
		took := s.Ended.Sub(s.Sent)
		var malformed *http1.Error
		switch {
		case errors.As(s.Err, &malformed):
			v.addViolation("malformed", "%s got bytes from %s at %s that are no response: %s", s.RequestID, s.Host, v.secondsSinceStart(s.Ended), malformed.Detail)
		case s.Status >= 200 && s.Status < 300 && !s.Correct:
			v.addViolation("own answer", "%s got a success that is not its own whole answer from %s at %s", s.RequestID, s.Host, v.secondsSinceStart(s.Ended))
		case s.Status >= 200 && s.Status < 300:
			v.served[s.Order]++
		case s.Status == http.StatusUnauthorized && len(v.workspaces) > 0:
			// verifyWorkspaces judges it.
		case s.Status >= 400 && s.Status < 500 && !slices.Contains(notRunStatuses, s.Status):
			v.addViolation("routes", "%s was denied with %d by %s at %s", s.RequestID, s.Status, s.Host, v.secondsSinceStart(s.Ended))
		case s.Status == 0 && len(v.runsByRequest[s.RequestID]) > 0 && v.unaffected(s.Host, s.Sent, s.Ended, true):
			lost++
		}
		if took > routeTimeout+bounds.timeoutSlack && v.unaffected(s.Host, s.Sent, s.Ended, true) {
			v.addViolation("timeout", "%s was held %v by %s at %s", s.RequestID, took, s.Host, v.secondsSinceStart(s.Ended))
		}
	}
	if lost > maxUnexplained {
		v.addViolation("lost", "%d requests that ran at sound upstreams were cut without an answer", lost)
	}
}

// verifyOrders checks that an order runs at most once, and not at all if its
// response says that it has not run.
func (v *verifier) verifyOrders() {
	for _, s := range v.results {
		if !s.Order {
			continue
		}
		runs := len(v.runsByRequest[s.RequestID])
		if runs > 1 {
			v.addViolation("at most once", "%s ran %d times, sent to %s at %s", s.RequestID, runs, s.Host, v.secondsSinceStart(s.Sent))
		}
		if runs > 0 && slices.Contains(notRunStatuses, s.Status) {
			v.addViolation("true refusal", "%s was refused with %d by %s at %s and ran", s.RequestID, s.Status, s.Host, v.secondsSinceStart(s.Ended))
		}
	}
}

// verifyAttempts checks that requests run on no more upstreams than their route
// allows, only if they were sent by a caller, and only at the service that their
// route names.
func (v *verifier) verifyAttempts() {
	exceeded := 0
	for id, runs := range v.runsByRequest {
		_, known := v.hostByRequest[id]
		if !known {
			v.addViolation("unasked", "%s ran, which nobody sent", id)
			continue
		}
		if len(lo.UniqBy(runs, func(a fakeupstream.Arrival) string { return a.Upstream })) > maxAttempts {
			exceeded++
		}
	}
	if exceeded > maxUnexplained {
		v.addViolation("attempts", "%d requests ran on more than %d upstreams", exceeded, maxAttempts)
	}
	for _, s := range v.results {
		want := lo.Ternary(s.Order, orderService, lookupService)
		for _, a := range v.runsByRequest[s.RequestID] {
			if a.Service != want {
				v.addViolation("route", "%s ran at a target of %s", s.RequestID, a.Service)
			}
		}
	}
}

// verifyDraining checks that a draining or removed upstream receives no new
// requests after bounds.drainPropagation.
func (v *verifier) verifyDraining() {
	for _, a := range v.record.Arrivals() {
		left, ok := v.leftAt[a.Upstream]
		if !ok {
			continue
		}
		due := left.Add(bounds.drainPropagation)
		host := v.hostByRequest[a.Request]
		if a.At.After(due) && v.unaffected(host, left, a.At, false) {
			v.addViolation("leaving", "%s reached %s %v after it left, sent by %s at %s", a.Request, a.Upstream, a.At.Sub(left), host, v.secondsSinceStart(a.At))
		}
	}
}

// verifyGracefulStops checks that a graceful stop ends within bounds.stopGrace and
// cuts no request.
func (v *verifier) verifyGracefulStops() {
	for _, st := range v.gracefulStops {
		otherwiseAffected := func(from, to time.Time) bool {
			return lo.SomeBy(v.impacts, func(impact Impact) bool {
				return (impact.Host == st.Host || impact.Host == "") && impact.From.Before(to) && impact.To.After(from.Add(-bounds.settleTime))
			}) || lo.SomeBy(v.gracefulStops, func(o gracefulStop) bool {
				return o.Host == st.Host && o.From != st.From && o.From.Before(to) && o.To.After(from.Add(-bounds.settleTime))
			})
		}
		if st.timedOut && !otherwiseAffected(st.From, st.To) {
			v.addViolation("stop", "%s did not end within %v of %s", st.Host, bounds.stopGrace, v.secondsSinceStart(st.From))
		}
		for _, s := range v.results {
			if s.Host != st.Host || s.Incarnation != st.incarnation || s.Ended.Before(st.From) || s.Sent.After(st.To) || otherwiseAffected(s.Sent, s.Ended) {
				continue
			}
			ran, waited := len(v.runsByRequest[s.RequestID]) > 0, s.Ended.Sub(s.Sent) > bounds.earlyCloseSlack
			cut := s.Status == 0 && (ran || waited && !strings.Contains(s.Err.Error(), "refused"))
			serverError := ran && !s.Signed && s.Status >= 500 && !slices.Contains(notRunStatuses, s.Status)
			if cut || serverError {
				v.addViolation("stop", "%s sent at %s was cut by the stop of %s at %s: status %d, %v", s.RequestID, v.secondsSinceStart(s.Sent), s.Host, v.secondsSinceStart(st.From), s.Status, s.Err)
			}
		}
	}
}

// verifyConfigurations checks that a configuration is in force on each host within
// bounds.configPropagation, and that a process never reverts to an older one.
func (v *verifier) verifyConfigurations() {
	type process struct {
		host        string
		incarnation int
	}
	inForce := map[process]int{}
	for _, s := range v.routeChecks {
		_, n, ok := lo.FindIndexOf(v.configs, func(c acceptedConfig) bool { return c.prefix == s.Prefix })
		if !ok || s.Status == 0 {
			continue
		}
		key := process{s.Host, s.Incarnation}
		found := s.Status != http.StatusNotFound
		served := s.Status == http.StatusOK
		if served {
			if n < inForce[key] {
				v.addViolation("configuration", "%s went back to version %d after %d at %s", s.Host, v.configs[n].version, v.configs[inForce[key]].version, v.secondsSinceStart(s.Sent))
			}
			inForce[key] = max(inForce[key], n)
		}
		next := n + 1
		replaced := next < len(v.configs) && s.Sent.After(v.configs[next].at.Add(bounds.configPropagation))
		inTime := s.Sent.After(v.configs[n].at.Add(bounds.configPropagation)) && (next >= len(v.configs) || s.Ended.Before(v.configs[next].at))
		switch {
		case replaced && served && v.unaffected(s.Host, v.configs[next].at, s.Ended, false):
			v.addViolation("configuration", "%s served %s at %s, dropped at %s", s.Host, s.Prefix, v.secondsSinceStart(s.Sent), v.secondsSinceStart(v.configs[next].at))
		case inTime && !found && v.unaffected(s.Host, v.configs[n].at, s.Ended, false):
			v.addViolation("configuration", "%s did not know %s at %s, added at %s", s.Host, s.Prefix, v.secondsSinceStart(s.Sent), v.secondsSinceStart(v.configs[n].at))
		}
	}
}

// verifyHealthCheckRate checks that the health checks keep their budget.
func (v *verifier) verifyHealthCheckRate(length time.Duration) {
	checkRate := float64(v.record.HealthChecks()) / float64(len(v.upstreams)) / length.Seconds()
	if checkRate > bounds.healthChecksPerSecond {
		v.addViolation("measuring", "%.1f health checks a second and upstream", checkRate)
	}
}

// verifyRecovery checks that lookups and orders are served again once all events
// have ended.
func (v *verifier) verifyRecovery() {
	faultsEnd := lo.MaxBy(slices.Concat(v.impacts, lo.Map(v.gracefulStops, func(s gracefulStop, _ int) Impact { return s.Impact })),
		func(a, b Impact) bool { return a.To.After(b.To) }).To.Add(bounds.settleTime)
	for _, order := range []bool{false, true} {
		late := lo.Filter(v.results, func(s RequestResult, _ int) bool {
			return s.Order == order && s.Sent.After(faultsEnd) && !s.turnedAway()
		})
		served := lo.CountBy(late, func(s RequestResult) bool { return s.Correct })
		if float64(served) < bounds.minServedShare*float64(len(late)) {
			v.addViolation("recovery", "%d of %d requests served after trouble ended at %s (orders: %t)", served, len(late), v.secondsSinceStart(faultsEnd), order)
		}
	}
}

// turnedAway reports whether a request was refused because of its key or quota, which
// tells nothing about upstreams.
func (s RequestResult) turnedAway() bool {
	return s.Status == http.StatusUnauthorized || s.Status == http.StatusTooManyRequests
}

// Summary returns one line with counts of the run: requests by outcome, events and
// configurations.
func (d *Deployment) Summary() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	served := lo.CountBy(d.results, func(s RequestResult) bool { return s.Correct })
	refused := lo.CountBy(d.results, func(s RequestResult) bool { return slices.Contains(notRunStatuses, s.Status) })
	summary := fmt.Sprintf("%d requests, %d served, %d refused, %d disturbances, %d planned stops, %d configurations",
		len(d.results), served, refused, len(d.impacts), len(d.gracefulStops), len(d.configs))
	if !d.hasNewParts() {
		return summary
	}
	withStatus := func(status int) int {
		return lo.CountBy(d.results, func(s RequestResult) bool { return s.Status == status })
	}
	return fmt.Sprintf("%s, %d denied, %d beyond quotas, %d times cold, %d evacuations, %d keys withdrawn, %d short delays of the machine", summary,
		withStatus(http.StatusUnauthorized), withStatus(http.StatusTooManyRequests), len(d.colds), len(d.evacuations), len(d.withdrawn), len(d.delays))
}
