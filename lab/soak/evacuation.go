package soak

import (
	"fmt"
	"time"

	"github.com/samber/lo"
)

const (
	// domains is the number of failure domains.
	domains = 3
	// evacuationBound is the time after which an evacuation is in force; the evacuation
	// lasts for at least judgedEvacuation more.
	evacuationBound  = 5 * time.Second
	judgedEvacuation = 2 * time.Second
	// maxEvacuated is the number of failure domains that are evacuated at once: the
	// upstreams of the third one go on serving.
	maxEvacuated = domains - 1
)

// evacuation is an evacuation of a failure domain. to is zero until the operator
// begins to withdraw it.
type evacuation struct {
	domain             string
	acknowledgedAt, to time.Time
}

func domainName(n int) string { return fmt.Sprint("domain-", n%domains) }

// evacuateDomain evacuates a failure domain that is in use and takes it back, before
// the end of the run is judged.
func (d *Deployment) evacuateDomain(e Event) {
	evacuated := &evacuation{domain: domainName(e.Selector)}
	d.mu.Lock()
	active := d.activeEvacuations()
	if len(active) >= maxEvacuated || lo.Contains(active, evacuated.domain) {
		d.mu.Unlock()
		return
	}
	d.store.Evacuate(evacuated.domain)
	evacuated.acknowledgedAt = time.Now()
	d.evacuations = append(d.evacuations, evacuated)
	d.mu.Unlock()
	time.Sleep(min(evacuationBound+judgedEvacuation+e.Duration, time.Until(d.startedAt.Add(d.length-coolDown))))
	d.mu.Lock()
	defer d.mu.Unlock()
	evacuated.to = time.Now()
	d.store.Readmit(evacuated.domain)
}

// activeEvacuations returns the failure domains that are evacuated. The caller holds
// the mutex.
func (d *Deployment) activeEvacuations() []string {
	return lo.FilterMap(d.evacuations, func(e *evacuation, _ int) (string, bool) { return e.domain, e.to.IsZero() })
}

// rewriteEvacuations writes the evacuations again after the store was restored. The
// caller holds the mutex.
func (d *Deployment) rewriteEvacuations() {
	active := d.activeEvacuations()
	for _, domain := range lo.Uniq(lo.Map(d.evacuations, func(e *evacuation, _ int) string { return e.domain })) {
		if lo.Contains(active, domain) {
			d.store.Evacuate(domain)
		} else {
			d.store.Readmit(domain)
		}
	}
}

// verifyEvacuations checks that no request reaches an upstream of an evacuated failure
// domain later than evacuationBound after the acknowledgement.
func (v *verifier) verifyEvacuations() {
	arrivals := v.record.Arrivals()
	for _, e := range v.evacuations {
		for _, a := range arrivals {
			host := v.hostByRequest[a.Request]
			late := a.FailureDomain == e.domain && a.At.After(e.acknowledgedAt.Add(evacuationBound)) && a.At.Before(e.to)
			if late && v.undisturbed(host, a.At.Add(-evacuationBound), a.At) {
				v.addViolation("evacuation", "%s reached %s of %s at %s, evacuated at %s, sent by %s", a.Request, a.Upstream, e.domain,
					v.secondsSinceStart(a.At), v.secondsSinceStart(e.acknowledgedAt), host)
				break
			}
		}
	}
}

// undisturbed reports whether a host, and each host that may have sent its requests,
// was unaffected between two times.
func (v *verifier) undisturbed(name string, from, to time.Time) bool {
	if v.wasCut(name, from, to) {
		return lo.EveryBy(v.hosts, func(h *host) bool { return v.unaffected(h.name, from, to, false) })
	}
	return v.unaffected(name, from, to, false)
}
