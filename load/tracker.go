package load

import (
	"cmp"
	"math"
	"time"
)

const (
	// decayServiceTimes is the age, in service times, at which a report has lost
	// 1-1/e of its weight, within minDecayTime and maxDecayTime.
	decayServiceTimes = 3
	minDecayTime      = 20 * time.Millisecond
	maxDecayTime      = time.Second
	// maxPeerReportAge is the age above which a peer's report is left aside.
	maxPeerReportAge = 2 * time.Second
	// othersWeight is the weight of a report in the mean.
	othersWeight = 0.1
	// latencyWeight is the weight of a call in the smoothed latency.
	latencyWeight = 0.2
	// maxOwnLatencyLag is the age above which a peer's latency goes before this
	// host's own.
	maxOwnLatencyLag = 3 * time.Second
)

// Tracker is what one host knows of the load of one target. It is pure and
// not safe for concurrent use.
type Tracker struct {
	// Slots is the number of requests that the target serves at once.
	Slots int
	// Own is the number of this host's requests in flight.
	Own int
	// memory is the age at which a report has lost 1-1/e of its weight, and
	// poolTrust the weight of the reports of the whole pool, 0 to 1.
	decayTime time.Duration
	poolTrust float64

	// reported is the number at the target that was last reported, of which
	// ownAtReport were this host's; valid when reportedAt is set.
	reported, ownAtReport int
	reportedAt            time.Time
	// others is the mean number of requests of other hosts.
	others float64
	trust  trust

	// service is the smoothed latency without queueing, latency with it.
	serviceTime, latency time.Duration
	latencyAt            time.Time
	samples              int
	peerLatency          time.Duration
	peerLatencyAt        time.Time
}

// NewTracker returns the knowledge of a target that nothing is known of.
func NewTracker(slots int) *Tracker {
	return &Tracker{Slots: slots, decayTime: maxDecayTime, poolTrust: 1, trust: newTrust()}
}

// runSpacing divides the memory into the time after which two reports are
// independent enough to count as a run when they are equal.
const runSpacing = 3

// SetReportWeighting sets how long reports keep their weight from the service time of the
// pool, as a queue changes within a few of them, and the weight of the reports
// of the whole pool, 0 to 1.
func (t *Tracker) SetReportWeighting(serviceTime time.Duration, poolTrust float64) {
	t.poolTrust = poolTrust
	if serviceTime > 0 {
		t.decayTime = min(max(decayServiceTimes*serviceTime, minDecayTime), maxDecayTime)
	}
}

// Frozen reports whether the target repeats itself as a busy one doesn't.
func (t *Tracker) Frozen() bool { return t.trust.frozen() }

// Report takes a load report that the target gave at now. arrived is the
// number of this host's requests that have surely reached the target, and
// poolMean the mean number of other hosts' requests at a target of the pool.
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

// BadReport takes a report that couldn't be read.
func (t *Tracker) BadReport() { t.trust.penalize() }

// Full takes a refusal: the target has at least its slots taken.
func (t *Tracker) Shed(now time.Time) {
	t.setReport(now, max(t.reported, 2*t.Slots))
}

// Relayed takes a report that a peer heard from the target.
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

// PeerLatency takes a peer's smoothed latency.
func (t *Tracker) PeerLatency(now time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	t.peerLatency = cmp.Or(t.peerLatency, d)
	t.peerLatency += time.Duration(latencyWeight * float64(d-t.peerLatency))
	t.peerLatencyAt = now
}

// Reported returns the last report and its age; n is Absent when there is
// none.
func (t *Tracker) LastReport(now time.Time) (n int, age time.Duration) {
	if t.reportedAt.IsZero() {
		return Absent, 0
	}
	return t.reported, now.Sub(t.reportedAt)
}

// MeanOthers returns the mean number of requests of other hosts at the
// target; ok is false while no report was heard.
func (t *Tracker) MeanOthers() (n float64, ok bool) {
	return t.others, !t.reportedAt.IsZero()
}

// Trust returns the weight of the target's reports, 0 to 1.
func (t *Tracker) Trust() float64 { return t.trust.value() }

// ReportWeight returns the weight of the last report, 0 to 1: its trust, less with
// age.
func (t *Tracker) ReportWeight(now time.Time) float64 {
	if t.reportedAt.IsZero() {
		return 0
	}
	age := max(now.Sub(t.reportedAt), 0)
	return t.Trust() * t.poolTrust * math.Exp(-float64(age)/float64(t.decayTime))
}

// Estimate returns the expected number of requests at the target: this host's
// own, which it knows, and those of others, from the last report as far as it
// is fresh and from prior for the rest. prior is the mean of the pool.
func (t *Tracker) Estimate(now time.Time, prior float64) float64 {
	weight := t.ReportWeight(now)
	return float64(t.Own) + weight*t.reportedOthers() + (1-weight)*prior
}

func (t *Tracker) reportedOthers() float64 { return float64(max(t.reported-t.ownAtReport, 0)) }

// Sent counts an attempt and returns the number at the target that the last
// report claims for it, the attempt left out; Absent without a report.
func (t *Tracker) Sent(now time.Time) (reported int) {
	reported = Absent
	if !t.reportedAt.IsZero() && now.Sub(t.reportedAt) <= t.decayTime {
		reported = t.Own + max(t.reported-t.ownAtReport, 0)
	}
	t.Own++
	return reported
}

// Ended ends an attempt.
func (t *Tracker) Ended() { t.Own-- }

// Answered takes the latency of a successful attempt; queue is the estimate
// at its start and claimed what Sent returned. poolServiceTime is the service time of
// the pool.
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

// queueingFactor is the factor on the service time of a request that finds n others
// at the target.
func (t *Tracker) queueingFactor(n float64) float64 {
	return 1 + max(n+1-float64(t.Slots), 0)/float64(t.Slots)
}

// Completion returns the expected latency of a request at a target with the
// given service time. n is the expected number of others there; as it is
// uncertain, the wait grows with it from 0 on.
func (t *Tracker) Completion(n float64, serviceTime time.Duration) time.Duration {
	return time.Duration(float64(serviceTime) * (1 + n/float64(t.Slots)))
}

// Latency returns the smoothed latency, 0 when unknown: this host's own, or
// the peers' while its own is missing or old.
func (t *Tracker) Latency() time.Duration {
	if t.peerLatencyAt.Sub(t.latencyAt) > maxOwnLatencyLag || t.samples == 0 {
		return t.peerLatency
	}
	return t.latency
}

// Samples returns the number of calls that Latency rests on.
func (t *Tracker) Samples() int { return t.samples }

// Service returns the smoothed service time, 0 when unknown.
func (t *Tracker) ServiceTime() time.Duration { return t.serviceTime }

// ResetLatency drops what calls showed, for a target that may have changed.
func (t *Tracker) ResetLatency() {
	t.samples, t.latency, t.serviceTime, t.peerLatency = 0, 0, 0, 0
}
