package balance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minRejections is the number of rejections in a row that make a report; a host
	// ejects the target at the same number.
	minRejections = 2
	// confirmationTime is how long all requests must have been rejected before hosts
	// act on a report: at 19 hosts with 2 requests a second each, a target that serves
	// some of them has served many meanwhile.
	confirmationTime = 500 * time.Millisecond
	// rejectionExpiry is the time after the last rejection seen by any host at which
	// a report ends: longer than it takes until one of the hosts sends a trial
	// request, at any number of hosts.
	rejectionExpiry = 10 * time.Second
	// Each host sends a trial request once minTrialDelay has passed without a known
	// rejection, and a random part of ejectionTimePerHost for each host: the first of
	// them tells the others before most of these have sent theirs.
	minTrialDelay = 4 * time.Second
	// minRenewal is the time between two rejections that are told to others.
	minRenewal = time.Second
	// reportPause is the time after the refutation of a report in which a host makes
	// no further one of that target: an overloaded target rejects some requests.
	reportPause = time.Second
	// sinceTolerance is the difference between two times of a first rejection below
	// which they are taken for one: each message adds its delay to a time.
	sinceTolerance = 250 * time.Millisecond
)

// rejection is what this host knows of a target that rejects all requests, by its own
// requests and by the reports of other hosts. A report says that a host's requests
// have all been rejected since a time; it is refuted by any request that was sent
// later and served, at any host. It does no I/O and reads no clock, and is safe for
// concurrent use.
type rejection struct {
	// reported is true while since is after servedAt, so that the usual case needs no
	// lock.
	reported atomic.Bool

	mu  sync.Mutex
	rng *rand.Rand
	// inRow is the number of this host's requests that were rejected one after
	// another, first the time of the first of them.
	inRow int
	first time.Time
	// servedAt is when the latest request that is known to have been served was sent.
	servedAt time.Time
	// since and renewedAt are the times of the first and the last rejection of the
	// report; zero when there was none.
	since, renewedAt time.Time
	// refutedAt is when the last report was found refuted.
	refutedAt time.Time
	// trialAt is when this host may send its next trial request.
	trialAt time.Time
}

func newRejection(seed, key uint64) *rejection {
	return &rejection{rng: rand.New(rand.NewPCG(seed, key))}
}

// rejectionReport is the part of a rejection that hosts exchange.
type rejectionReport struct {
	// since and renewedAt are the times of the first and the last rejection.
	since, renewedAt time.Time
	// servedAt is when a request was sent that was served and refutes the report; zero
	// when none is known.
	servedAt time.Time
}

// rejected records that a request of this host was rejected. It returns true when that
// renews a report.
func (r *rejection) rejected(now time.Time, hosts int) (news bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inRow == 0 {
		r.first = now
	}
	r.inRow++
	if !r.standing(now) || now.Sub(r.renewedAt) < minRenewal {
		return false
	}
	r.renew(now, now, hosts)
	return true
}

// failed records that a request of this host failed without being rejected, which says
// nothing about rejections: the host may be cut off from the target.
func (r *rejection) failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inRow = 0
}

// served records that a request of this host, sent at the given time, was served.
func (r *rejection) served(now, sent time.Time) mergeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inRow = 0
	confirmed := now.Sub(r.since) >= confirmationTime
	switch {
	case !r.serve(now, sent):
		return unchanged
	case confirmed:
		return returnedNow
	default:
		return refutedNow
	}
}

// serve records that the target served a request sent at the given time. It returns
// true when that refutes a report, also one that has expired: hosts may still have
// ejected the target.
func (r *rejection) serve(now, sent time.Time) (refuted bool) {
	if !sent.After(r.servedAt) {
		return false
	}
	stood := r.since.After(r.servedAt)
	r.servedAt = sent
	if !stood || r.since.After(sent) {
		return false
	}
	r.inRow, r.refutedAt = 0, now
	r.reported.Store(false)
	return true
}

// report makes a report of this host's own rejections when there are enough of them.
// It returns false when there is a report already.
func (r *rejection) report(now time.Time, hosts int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inRow < minRejections || !r.first.After(r.servedAt) || r.standing(now) || now.Sub(r.refutedAt) < reportPause {
		return false
	}
	r.since = r.first
	r.reported.Store(true)
	r.renew(now, now, hosts)
	return true
}

func (r *rejection) renew(now, renewedAt time.Time, hosts int) {
	r.renewedAt = renewedAt
	r.drawTrial(now, hosts)
}

func (r *rejection) drawTrial(now time.Time, hosts int) {
	r.trialAt = now.Add(minTrialDelay + time.Duration(r.rng.Float64()*float64(hosts)*float64(ejectionTimePerHost)))
}

// standing reports whether there is a report that is neither refuted nor expired.
func (r *rejection) standing(now time.Time) bool {
	return r.since.After(r.servedAt) && now.Sub(r.renewedAt) <= rejectionExpiry
}

// active reports whether the target gets trial requests only.
func (r *rejection) active(now time.Time) bool {
	return r.standing(now) && now.Sub(r.since) >= confirmationTime
}

// restricted reports whether the target gets trial requests only.
func (r *rejection) restricted(now time.Time) bool {
	if !r.reported.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active(now)
}

// trialDue reports whether this host may send the target a trial request now.
func (r *rejection) trialDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active(now) && !now.Before(r.trialAt)
}

// trialSent records that this host sends a trial request.
func (r *rejection) trialSent(now time.Time, hosts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drawTrial(now, hosts)
}

// mergeResult says what a report of another host, or a request that was served, changed.
type mergeResult uint8

const (
	// unchanged: nothing that other hosts need to be told at once.
	unchanged mergeResult = iota
	// reportedNow: there is a report from now on.
	reportedNow
	// renewedNow: the target has rejected another request.
	renewedNow
	// refutedNow: the report is known to be untrue, before anybody acted on it.
	refutedNow
	// returnedNow: the target got trial requests only, and is known to serve requests.
	returnedNow
)

// merge merges the report of another host. One that this host can refute is kept so
// that its sender learns of it.
func (r *rejection) merge(now time.Time, in rejectionReport, hosts int) mergeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	stood, unrefuted, confirmed := r.standing(now), r.reported.Load(), now.Sub(r.since) >= confirmationTime
	newer := in.since.Sub(r.since) > sinceTolerance
	if newer {
		r.since = in.since
		r.reported.Store(r.since.After(r.servedAt))
	}
	renewed := in.renewedAt.Sub(r.renewedAt) >= minRenewal
	if renewed {
		r.renew(now, in.renewedAt, hosts)
	}
	refuted := !in.servedAt.Before(r.since) && r.serve(now, in.servedAt)
	switch stands := r.standing(now); {
	case stands && !stood:
		return reportedNow
	case stands && renewed:
		return renewedNow
	case refuted && unrefuted && confirmed:
		return returnedNow
	case refuted || !stands && newer && in.servedAt.IsZero():
		return refutedNow
	default:
		return unchanged
	}
}

// outgoing returns the report to send to other hosts; ok is false when there is none.
// The time of a served request is sent only where it refutes the report: each message
// adds its delay to all times, by which an earlier one would come to refute it.
func (r *rejection) outgoing(now time.Time) (out rejectionReport, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() || min(now.Sub(r.renewedAt), now.Sub(r.refutedAt)) > rejectionExpiry {
		return rejectionReport{}, false
	}
	out = rejectionReport{since: r.since, renewedAt: r.renewedAt}
	if !r.servedAt.Before(r.since) {
		out.servedAt = r.servedAt
	}
	return out, true
}

// returnsAt returns when this host may send its next trial request.
func (r *rejection) returnsAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trialAt
}
