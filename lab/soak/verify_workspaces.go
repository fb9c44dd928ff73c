package soak

import (
	"net/http"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/platform/fakeupstream"
)

const (
	// quotaWindow is the window of the quota's bound: the requests that pass in it are
	// at most quotaFactor times the quota of that time and quotaSlack more.
	quotaWindow = 5 * time.Second
	quotaFactor = 1.1
	quotaSlack  = 20
	// minTokens is the number of tokens that a quota has left at least when a request
	// was wrongly refused: one for the request, the others for requests that were sent
	// at about the same time and took theirs earlier.
	minTokens = 3
	// quotaTimeout is the time within which a quota host has to answer. A host leaves
	// one that doesn't, which takes a part of the quota for a moment.
	quotaTimeout = 25 * time.Millisecond
	// quotaRecovery is the time after such a moment until the whole quota is served: up
	// to a second until the hosts have changed their quota host, and as long again.
	quotaRecovery = 2 * time.Second
)

// verifyWorkspaces checks the keys and workspaces of all requests, and the quotas.
func (v *verifier) verifyWorkspaces() {
	if len(v.workspaces) == 0 {
		return
	}
	arrivals := lo.GroupBy(v.record.Arrivals(), func(a fakeupstream.Arrival) string { return a.Request })
	for _, s := range slices.Concat(v.results, v.routeChecks, v.crashResults) {
		k, known := v.keys[s.Key]
		if !known {
			v.verifyUnknownKey(s, arrivals[s.RequestID])
			continue
		}
		v.verifyKey(s, k)
		for _, a := range arrivals[s.RequestID] {
			if len(a.Keys) > 0 {
				v.addViolation("key", "%s got the key of %s from %s: %q", a.Upstream, s.RequestID, s.Host, a.Keys)
			}
			if !slices.Equal(a.Tenants, []string{k.workspace}) {
				v.addViolation("workspace", "%s got %s of %s from %s with workspace %q", a.Upstream, s.RequestID, k.workspace, s.Host, a.Tenants)
			}
			withdrawn := !k.withdrawnAt.IsZero() && a.Ran && a.At.After(k.withdrawnAt.Add(keyPropagation))
			if withdrawn && v.undisturbed(s.Host, a.At.Add(-keyPropagation), a.At) {
				v.addViolation("withdrawn", "%s ran at %s, its key was withdrawn at %s, sent by %s", s.RequestID, v.secondsSinceStart(a.At), v.secondsSinceStart(k.withdrawnAt), s.Host)
			}
		}
	}
	byWorkspace := lo.GroupBy(v.results, func(s RequestResult) string {
		if k, known := v.keys[s.Key]; known {
			return k.workspace
		}
		return ""
	})
	for _, w := range v.workspaces {
		v.verifyQuotaBound(w, byWorkspace[w.name])
		v.verifyQuotaServed(w, byWorkspace[w.name])
	}
}

// verifyUnknownKey checks that a request with an unknown key, or none, reaches no
// upstream and gets 401. Hosts that may have outdated tables may refuse it with 503.
func (v *verifier) verifyUnknownKey(s RequestResult, arrivals []fakeupstream.Arrival) {
	if len(arrivals) > 0 {
		v.addViolation("unknown key", "%s reached %s with key %q, sent by %s", s.RequestID, arrivals[0].Upstream, s.Key, s.Host)
	}
	refused := s.Status == 0 || s.Status == http.StatusUnauthorized || slices.Contains(notRunStatuses, s.Status)
	if !refused || s.Status != http.StatusUnauthorized && v.unaffected(s.Host, s.Sent.Add(-keyPropagation), s.Ended, false) {
		v.addViolation("unknown key", "%s with key %q got status %d (%v) from %s at %s", s.RequestID, s.Key, s.Status, s.Err, s.Host, v.secondsSinceStart(s.Ended))
	}
}

// verifyKey checks that a request with a key in force is not denied, and that a denied
// one has not run.
func (v *verifier) verifyKey(s RequestResult, k *issuedKey) {
	if s.Status != http.StatusUnauthorized {
		return
	}
	if len(v.runsByRequest[s.RequestID]) > 0 {
		v.addViolation("true refusal", "%s was denied by %s at %s and ran", s.RequestID, s.Host, v.secondsSinceStart(s.Ended))
	}
	inForce := s.Sent.After(k.addedAt.Add(keyPropagation)) && (k.withdrawnFrom.IsZero() || s.Ended.Before(k.withdrawnFrom))
	if k.stays || inForce && v.undisturbed(s.Host, s.Sent.Add(-keyPropagation), s.Ended) {
		v.addViolation("key", "%s was denied by %s at %s with a key added at %s", s.RequestID, s.Host, v.secondsSinceStart(s.Ended), v.secondsSinceStart(k.addedAt))
	}
}

// verifyQuotaBound checks that the requests of a workspace that ran keep its quota,
// over all hosts and whatever happens.
func (v *verifier) verifyQuotaBound(w *workspace, results []RequestResult) {
	if w.perSecond == 0 {
		return
	}
	at := lo.FilterMap(results, func(s RequestResult, _ int) (time.Time, bool) {
		runs := v.runsByRequest[s.RequestID]
		if len(runs) == 0 {
			return time.Time{}, false
		}
		return runs[0].At, true
	})
	slices.SortFunc(at, time.Time.Compare)
	allowed := (w.perSecond*quotaWindow.Seconds()+quotaBurst)*quotaFactor + quotaSlack
	for i, from := range at {
		n := lo.CountBy(at[i:], func(t time.Time) bool { return t.Sub(from) < quotaWindow })
		if float64(n) > allowed {
			v.addViolation("quota", "%d requests of %s ran in %v from %s on, %.0f are allowed", n, w.name, quotaWindow, v.secondsSinceStart(from), allowed)
			return
		}
	}
}

// verifyQuotaServed checks that no request within the quota is refused because of it
// while all hosts run. It follows a token bucket that is empty at the start and
// whenever a host was interrupted.
func (v *verifier) verifyQuotaServed(w *workspace, results []RequestResult) {
	results = slices.SortedFunc(slices.Values(results), func(a, b RequestResult) int { return a.Sent.Compare(b.Sent) })
	tokens, last := 0.0, v.startedAt.Add(bounds.settleTime)
	for _, s := range results {
		if s.Sent.Before(last) {
			continue
		}
		if v.anyInterrupted(last, s.Ended) {
			tokens, last = 0, s.Ended
			continue
		}
		tokens = min(quotaBurst, tokens+w.perSecond*s.Sent.Sub(last).Seconds())
		last = s.Sent
		refused := s.Status == http.StatusTooManyRequests && !s.failedByUpstream()
		switch {
		case s.Status == http.StatusUnauthorized:
		case !refused:
			tokens--
		case w.perSecond == 0 || tokens >= minTokens:
			v.addViolation("quota", "%s of %s was refused by %s at %s with %.1f tokens left", s.RequestID, w.name, s.Host, v.secondsSinceStart(s.Sent), tokens)
		}
		if refused && len(v.runsByRequest[s.RequestID]) > 0 {
			v.addViolation("true refusal", "%s was refused by %s at %s and ran", s.RequestID, s.Host, v.secondsSinceStart(s.Ended))
		}
	}
}

// anyInterrupted reports whether any host was interrupted or delayed between two times
// or in bounds.settleTime before the first.
func (v *verifier) anyInterrupted(from, to time.Time) bool {
	if lo.SomeBy(v.delays, func(i Impact) bool { return i.From.Before(to) && i.To.After(from.Add(-quotaRecovery)) }) {
		return true
	}
	from = from.Add(-bounds.settleTime)
	return lo.SomeBy(v.hosts, func(h *host) bool { return v.interrupted(h.name, from, to) })
}
