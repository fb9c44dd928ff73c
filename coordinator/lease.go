package coordinator

import (
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/roster"
)

const (
	// maxWitnesses is the number of hosts that vote on the lease of a partition:
	// two of them may be lost.
	maxWitnesses = 7
	// leaseDuration is how long a vote binds its witness; the holder counts it for
	// leaseUse of that from when it asked, so that its lease ends first.
	leaseDuration = time.Second
	leaseUse      = 900 * time.Millisecond
	// leaseRenewInterval is the time between two requests for votes.
	leaseRenewInterval = 250 * time.Millisecond
)

// ballots are the votes of one witness. A witness votes for one host at a time
// and for none in the first leaseDuration after its start, since it may have
// voted before a restart. It does no I/O and reads no clock.
type ballots struct {
	startedAt time.Time
	votes     map[roster.Task]ballot
}

type ballot struct {
	candidate string
	until     time.Time
}

func newBallots(now time.Time) *ballots {
	return &ballots{startedAt: now, votes: map[roster.Task]ballot{}}
}

// vote decides whether a candidate gets this witness's vote.
func (b *ballots) vote(now time.Time, task roster.Task, candidate string) bool {
	current := b.votes[task]
	if now.Sub(b.startedAt) < leaseDuration || now.Before(current.until) && current.candidate != candidate {
		return false
	}
	if len(b.votes) >= maxRemembered {
		b.votes = lo.OmitBy(b.votes, func(_ roster.Task, v ballot) bool { return !now.Before(v.until) })
	}
	b.votes[task] = ballot{candidate: candidate, until: now.Add(leaseDuration)}
	return true
}

// maxRemembered is the number of votes, or of targets that asked for less, from
// which those that have expired are dropped.
const maxRemembered = 4096

// lease is a candidate's view of the lease of one partition. It does no I/O and
// reads no clock.
type lease struct {
	// votes holds until when the vote of each witness may be used.
	votes map[string]time.Time
	// heldSince is when a quorum was reached, zero while there is none.
	heldSince time.Time
}

// record counts a vote that was requested at askedAt.
func (l *lease) record(witness string, askedAt time.Time) {
	if until := askedAt.Add(leaseUse); until.After(l.votes[witness]) {
		l.votes[witness] = until
	}
}

// quorum returns how many of n witnesses have to vote for a holder: so many that,
// with all maxWitnesses, two hosts whose host lists differ by two hosts can't both
// have them.
func quorum(n int) int { return max(n/2+1, (2*n+2)/3) }

// check returns since when this host holds the lease, zero when it doesn't: it
// needs the votes of a quorum of the present witnesses.
func (l *lease) check(now time.Time, witnesses []roster.Host) time.Time {
	granted := lo.CountBy(witnesses, func(h roster.Host) bool { return now.Before(l.votes[h.Name]) })
	switch {
	case granted < quorum(len(witnesses)):
		l.heldSince = time.Time{}
	case l.heldSince.IsZero():
		l.heldSince = now
	}
	return l.heldSince
}

// witnessesOf returns the hosts that vote on the lease of a task, skipped and
// leaving ones included, so that hosts with the same host list agree on them.
func witnessesOf(r *roster.Roster, task roster.Task) []roster.Host {
	return r.Preferred(task, maxWitnesses)
}
