package load

import (
	"cmp"
	"math"
	"time"
)

const (
	// memoryServices is the age, in service times, at which a report has lost
	// 1-1/e of its weight, within shortestMemory and longestMemory.
	memoryServices = 3
	shortestMemory = 20 * time.Millisecond
	longestMemory  = time.Second
	// maxPeerAge is the age above which a peer's report is left aside.
	maxPeerAge = 2 * time.Second
	// meanWeight is the weight of a report in the mean.
	meanWeight = 0.1
	// latencyWeight is the weight of a call in the smoothed latency.
	latencyWeight = 0.2
	// ownLatencyAge is the age above which a peer's latency goes before this
	// host's own.
	ownLatencyAge = 3 * time.Second
)

// Knowledge is what one host knows of the load of one target. It is pure and
// not safe for concurrent use.
type Knowledge struct {
	// Slots is the number of requests that the target serves at once.
	Slots int
	// Own is the number of this host's requests in flight.
	Own int
	// memory is the age at which a report has lost 1-1/e of its weight, and
	// poolTrust the weight of the reports of the whole pool, 0 to 1.
	memory    time.Duration
	poolTrust float64

	// reported is the number at the target that was last reported, of which
	// ownThen were this host's; valid when reportedAt is set.
	reported, ownThen int
	reportedAt        time.Time
	// others is the mean number of requests of other hosts.
	others float64
	trust  trust

	// service is the smoothed latency without queueing, latency with it.
	service, latency time.Duration
	latencyAt        time.Time
	samples          int
	peerLatency      time.Duration
	peerLatencyAt    time.Time
}

// NewKnowledge returns the knowledge of a target that nothing is known of.
func NewKnowledge(slots int) *Knowledge {
	return &Knowledge{Slots: slots, memory: longestMemory, poolTrust: 1, trust: fullTrust()}
}

// runSpacing divides the memory into the time after which two reports are
// independent enough to count as a run when they are equal.
const runSpacing = 3

// Remember sets how long reports keep their weight from the service time of the
// pool, as a queue changes within a few of them, and the weight of the reports
// of the whole pool, 0 to 1.
func (k *Knowledge) Remember(service time.Duration, poolTrust float64) {
	k.poolTrust = poolTrust
	if service > 0 {
		k.memory = min(max(memoryServices*service, shortestMemory), longestMemory)
	}
}

// Frozen reports whether the target repeats itself as a busy one doesn't.
func (k *Knowledge) Frozen() bool { return k.trust.frozen() }

// Report takes a load report that the target gave at now. arrived is the
// number of this host's requests that have surely reached the target, and
// poolMean the mean number of other hosts' requests at a target of the pool.
func (k *Knowledge) Report(now time.Time, r Report, arrived int, poolMean float64) {
	n, ok := r.Count(k.Slots)
	if !ok {
		return
	}
	k.trust.checkCount(n, arrived)
	if now.Sub(k.reportedAt) >= k.memory/runSpacing {
		k.trust.checkRun(n, poolMean)
	}
	k.take(now, n)
}

// BadReport takes a report that couldn't be read.
func (k *Knowledge) BadReport() { k.trust.lower() }

// Full takes a refusal: the target has at least its slots taken.
func (k *Knowledge) Full(now time.Time) {
	k.take(now, max(k.reported, 2*k.Slots))
}

// Relayed takes a report that a peer heard from the target.
func (k *Knowledge) Relayed(at time.Time, n int, now time.Time) {
	if now.Sub(at) > maxPeerAge || !at.After(k.reportedAt) || at.After(now) {
		return
	}
	k.take(at, n)
}

func (k *Knowledge) take(at time.Time, n int) {
	first := k.reportedAt.IsZero()
	k.reported, k.ownThen, k.reportedAt = n, k.Own, at
	others := float64(max(n-k.Own, 0))
	if first {
		k.others = others
		return
	}
	k.others += meanWeight * (others - k.others)
}

// PeerLatency takes a peer's smoothed latency.
func (k *Knowledge) PeerLatency(now time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	k.peerLatency = cmp.Or(k.peerLatency, d)
	k.peerLatency += time.Duration(latencyWeight * float64(d-k.peerLatency))
	k.peerLatencyAt = now
}

// Reported returns the last report and its age; n is Absent when there is
// none.
func (k *Knowledge) Reported(now time.Time) (n int, age time.Duration) {
	if k.reportedAt.IsZero() {
		return Absent, 0
	}
	return k.reported, now.Sub(k.reportedAt)
}

// MeanOthers returns the mean number of requests of other hosts at the
// target; ok is false while no report was heard.
func (k *Knowledge) MeanOthers() (n float64, ok bool) {
	return k.others, !k.reportedAt.IsZero()
}

// Trust returns the weight of the target's reports, 0 to 1.
func (k *Knowledge) Trust() float64 { return k.trust.value() }

// Freshness returns the weight of the last report, 0 to 1: its trust, less with
// age.
func (k *Knowledge) Freshness(now time.Time) float64 {
	if k.reportedAt.IsZero() {
		return 0
	}
	age := max(now.Sub(k.reportedAt), 0)
	return k.Trust() * k.poolTrust * math.Exp(-float64(age)/float64(k.memory))
}

// Estimate returns the expected number of requests at the target: this host's
// own, which it knows, and those of others, from the last report as far as it
// is fresh and from prior for the rest. prior is the mean of the pool.
func (k *Knowledge) Estimate(now time.Time, prior float64) float64 {
	fresh := k.Freshness(now)
	return float64(k.Own) + fresh*k.claimedOthers() + (1-fresh)*prior
}

func (k *Knowledge) claimedOthers() float64 { return float64(max(k.reported-k.ownThen, 0)) }

// Sent counts an attempt and returns the number at the target that the last
// report claims for it, the attempt left out; Absent without a report.
func (k *Knowledge) Sent(now time.Time) (claimed int) {
	claimed = Absent
	if !k.reportedAt.IsZero() && now.Sub(k.reportedAt) <= k.memory {
		claimed = k.Own + max(k.reported-k.ownThen, 0)
	}
	k.Own++
	return claimed
}

// Ended ends an attempt.
func (k *Knowledge) Ended() { k.Own-- }

// Answered takes the latency of a successful attempt; queue is the estimate
// at its start and claimed what Sent returned. typical is the service time of
// the pool.
func (k *Knowledge) Answered(now time.Time, latency time.Duration, queue float64, claimed int, typical time.Duration) {
	k.samples++
	service := time.Duration(float64(latency) / k.stretch(queue))
	if k.samples == 1 {
		k.latency, k.service = latency, service
	}
	k.latency += time.Duration(latencyWeight * float64(latency-k.latency))
	k.service += time.Duration(latencyWeight * float64(service-k.service))
	k.latencyAt = now
	if claimed != Absent && typical > 0 {
		k.trust.checkLatency(float64(latency) / (float64(typical) * k.stretch(float64(claimed))))
	}
}

// stretch is the factor on the service time of a request that finds n others
// at the target.
func (k *Knowledge) stretch(n float64) float64 {
	return 1 + max(n+1-float64(k.Slots), 0)/float64(k.Slots)
}

// Completion returns the expected latency of a request at a target with the
// given service time. n is the expected number of others there; as it is
// uncertain, the wait grows with it from 0 on.
func (k *Knowledge) Completion(n float64, service time.Duration) time.Duration {
	return time.Duration(float64(service) * (1 + n/float64(k.Slots)))
}

// Latency returns the smoothed latency, 0 when unknown: this host's own, or
// the peers' while its own is missing or old.
func (k *Knowledge) Latency() time.Duration {
	if k.peerLatencyAt.Sub(k.latencyAt) > ownLatencyAge || k.samples == 0 {
		return k.peerLatency
	}
	return k.latency
}

// Samples returns the number of calls that Latency rests on.
func (k *Knowledge) Samples() int { return k.samples }

// Service returns the smoothed service time, 0 when unknown.
func (k *Knowledge) Service() time.Duration { return k.service }

// ForgetLatency drops what calls showed, for a target that may have changed.
func (k *Knowledge) ForgetLatency() {
	k.samples, k.latency, k.service, k.peerLatency = 0, 0, 0, 0
}
