package load

import (
	"cmp"
	"math"
	"time"
)

const (
	// decayServiceTimes is the time constant, in service times, with which the
	// weight of a report decays. It is limited to minDecayTime to maxDecayTime.
	decayServiceTimes = 3
	minDecayTime      = 20 * time.Millisecond
	maxDecayTime      = time.Second
	// maxPeerReportAge is the age above which a report from a peer is ignored.
	maxPeerReportAge = 2 * time.Second
	// othersWeight is the weight of a report in the moving average of the number
	// of requests of other hosts.
	othersWeight = 0.1
	// latencyWeight is the weight of a request in the moving average of the
	// latency.
	latencyWeight = 0.2
	// maxOwnLatencyLag is how much newer a peer's latency must be to be used
	// instead of this host's own.
	maxOwnLatencyLag = 3 * time.Second
)

// Tracker tracks the load of one target as seen by one host. It does no I/O, reads
// no clock and is not safe for concurrent use.
type Tracker struct {
	// Slots is the number of requests that the target serves concurrently.
	Slots int
	// Own is the number of requests that this host has in flight at the target.
	Own int
	// decayTime is the age at which a report has lost 1-1/e of its weight, and
	// poolTrust the weight of the reports of the whole pool, 0 to 1.
	decayTime time.Duration
	poolTrust float64

	// reported is the last reported number of requests at the target, of which
	// ownAtReport were this host's. Both are valid when reportedAt is set.
	reported, ownAtReport int
	reportedAt            time.Time
	// others is the moving average of the number of requests of other hosts.
	others float64
	trust  trust

	// serviceTime and latency are moving averages without and with the time
	// spent in the target's queue.
	serviceTime, latency time.Duration
	latencyAt            time.Time
	samples              int
	peerLatency          time.Duration
	peerLatencyAt        time.Time
}

// NewTracker returns a Tracker for a target with the given number of slots and no
// measurements.
func NewTracker(slots int) *Tracker {
	return &Tracker{Slots: slots, decayTime: maxDecayTime, poolTrust: 1, trust: newTrust()}
}

// runSpacing divides the decay time. Equal reports that are at least the quotient
// apart count as a run; closer ones are not independent of each other.
const runSpacing = 3

// SetReportWeighting sets the decay time of reports from the service time of the
// pool, because a queue changes within a few service times, and the weight of the
// reports of the whole pool, 0 to 1.
func (t *Tracker) SetReportWeighting(serviceTime time.Duration, poolTrust float64) {
	t.poolTrust = poolTrust
	if serviceTime > 0 {
		t.decayTime = min(max(decayServiceTimes*serviceTime, minDecayTime), maxDecayTime)
	}
}

// Frozen reports whether the target repeats the same number more often than a busy
// target would.
func (t *Tracker) Frozen() bool { return t.trust.frozen() }

// Report records a load report that the target sent at now. arrived is the number
// of this host's requests in flight that are assumed to have reached the target,
// and poolMean the mean number of requests of other hosts at a target of the pool.
func (t *Tracker) Report(now time.Time, r Report, arrived int, poolMean float64) {
	n, ok := r.Count(t.Slots)
	if !ok {
		return
	}
	t.trust.checkCount(n, arrived)
	if now.Sub(t.reportedAt) >= t.decayTime/runSpacing {
		t.trust.checkRun(n, poolMean)
	}
	t.setReport(now, n)
}

// BadReport records a report that could not be parsed.
func (t *Tracker) BadReport() { t.trust.penalize() }

// Shed records that the target shed a request: its load is assumed to be at least
// twice its slots.
func (t *Tracker) Shed(now time.Time) {
	t.setReport(now, max(t.reported, 2*t.Slots))
}

// PeerReport records a report that a peer received from the target at at. It is
// ignored unless it is newer than the last one and at most maxPeerReportAge old.
func (t *Tracker) PeerReport(at time.Time, n int, now time.Time) {
	if now.Sub(at) > maxPeerReportAge || !at.After(t.reportedAt) || at.After(now) {
		return
	}
	t.setReport(at, n)
}

func (t *Tracker) setReport(at time.Time, n int) {
	first := t.reportedAt.IsZero()
	t.reported, t.ownAtReport, t.reportedAt = n, t.Own, at
	others := float64(max(n-t.Own, 0))
	if first {
		t.others = others
		return
	}
	t.others += othersWeight * (others - t.others)
}

// PeerLatency records the average latency that a peer measured.
func (t *Tracker) PeerLatency(now time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	t.peerLatency = cmp.Or(t.peerLatency, d)
	t.peerLatency += time.Duration(latencyWeight * float64(d-t.peerLatency))
	t.peerLatencyAt = now
}

// LastReport returns the last reported number of requests and its age; n is Absent
// when there is none.
func (t *Tracker) LastReport(now time.Time) (n int, age time.Duration) {
	if t.reportedAt.IsZero() {
		return Absent, 0
	}
	return t.reported, now.Sub(t.reportedAt)
}

// MeanOthers returns the moving average of the number of requests of other hosts at
// the target; ok is false before the first report.
func (t *Tracker) MeanOthers() (n float64, ok bool) {
	return t.others, !t.reportedAt.IsZero()
}

// Trust returns the weight of the target's reports, 0 to 1.
func (t *Tracker) Trust() float64 { return t.trust.value() }

// ReportWeight returns the weight of the last report, 0 to 1: the trust in the
// target and its pool, reduced by the age of the report.
func (t *Tracker) ReportWeight(now time.Time) float64 {
	if t.reportedAt.IsZero() {
		return 0
	}
	age := max(now.Sub(t.reportedAt), 0)
	return t.Trust() * t.poolTrust * math.Exp(-float64(age)/float64(t.decayTime))
}

// Estimate returns the estimated number of requests at the target: this host's own
// plus those of other hosts. The latter are the mean of the last report and prior,
// weighted by ReportWeight. prior is the mean of the pool.
func (t *Tracker) Estimate(now time.Time, prior float64) float64 {
	weight := t.ReportWeight(now)
	return float64(t.Own) + weight*t.reportedOthers() + (1-weight)*prior
}

func (t *Tracker) reportedOthers() float64 { return float64(max(t.reported-t.ownAtReport, 0)) }

// Sent counts an attempt as in flight. It returns the number of other requests at
// the target according to the last report and this host's own count, Absent when
// there is no report or it is older than the decay time.
func (t *Tracker) Sent(now time.Time) (reported int) {
	reported = Absent
	if !t.reportedAt.IsZero() && now.Sub(t.reportedAt) <= t.decayTime {
		reported = t.Own + max(t.reported-t.ownAtReport, 0)
	}
	t.Own++
	return reported
}

// Ended counts an attempt as no longer in flight.
func (t *Tracker) Ended() { t.Own-- }

// Succeeded records the latency of a successful attempt. estimate is the Estimate
// when it was sent, reported the result of Sent, and poolServiceTime the service
// time of the pool.
func (t *Tracker) Succeeded(now time.Time, latency time.Duration, estimate float64, reported int, poolServiceTime time.Duration) {
	t.samples++
	serviceTime := time.Duration(float64(latency) / t.queueingFactor(estimate))
	if t.samples == 1 {
		t.latency, t.serviceTime = latency, serviceTime
	}
	t.latency += time.Duration(latencyWeight * float64(latency-t.latency))
	t.serviceTime += time.Duration(latencyWeight * float64(serviceTime-t.serviceTime))
	t.latencyAt = now
	if reported != Absent && poolServiceTime > 0 {
		t.trust.checkLatency(float64(latency) / (float64(poolServiceTime) * t.queueingFactor(float64(reported))))
	}
}

// queueingFactor returns the expected ratio of latency to service time for a
// request that finds n others at the target.
func (t *Tracker) queueingFactor(n float64) float64 {
	return 1 + max(n+1-float64(t.Slots), 0)/float64(t.Slots)
}

// Completion returns the expected latency of a request at a target with the given
// service time and n expected other requests. Because n is uncertain, the expected
// wait grows from n = 0 on, not only once all slots are taken.
func (t *Tracker) Completion(n float64, serviceTime time.Duration) time.Duration {
	return time.Duration(float64(serviceTime) * (1 + n/float64(t.Slots)))
}

// Latency returns the moving average of the latency, 0 when unknown: this host's
// own or, while that is missing or old, the peers'.
func (t *Tracker) Latency() time.Duration {
	if t.peerLatencyAt.Sub(t.latencyAt) > maxOwnLatencyLag || t.samples == 0 {
		return t.peerLatency
	}
	return t.latency
}

// Samples returns the number of latencies recorded by this host since ResetLatency.
func (t *Tracker) Samples() int { return t.samples }

// ServiceTime returns the moving average of the service time, 0 when unknown.
func (t *Tracker) ServiceTime() time.Duration { return t.serviceTime }

// ResetLatency drops the measured latencies, for a target that may have changed.
func (t *Tracker) ResetLatency() {
	t.samples, t.latency, t.serviceTime, t.peerLatency = 0, 0, 0, 0
}
