package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
)

const (
	// voteTimeout bounds one request for a vote: several round trips between
	// failure domains, short against leaseRenewInterval.
	voteTimeout = 100 * time.Millisecond
	// republishInterval is the time between two notices of an unchanged rate
	// limit from one host, in case an earlier one was lost.
	republishInterval = 2 * time.Second
	// minPublishInterval is the time between two notices about one target, which
	// may name another limit with each response.
	minPublishInterval = 100 * time.Millisecond
	// maxKnownLimits is the number of rate limits in a knownNotice.
	maxKnownLimits = 4
)

// fleet is this host's part in what targets ask all hosts for: it passes on what
// this host hears to the witnesses of the target's partition, votes on leases, and
// holds those of the partitions that this host coordinates. It implements
// placement.Fleet and is safe for concurrent use.
type fleet struct {
	Options

	mu           sync.Mutex
	ballots      *ballots
	leases       map[roster.Task]*lease
	publications map[registry.Instance]publication
	// known holds what coordinators told this host of rate limits before their
	// responses, by the message ID of the request.
	known map[uint64]knownNotice
	// knownWarmups holds the chosen targets that coordinators told to be cold, by the
	// message ID of the request.
	knownWarmups map[uint64]registry.Instance
}

// publication is when this host last passed on what a target asked for; pending is
// true when that has changed since.
type publication struct {
	at      time.Time
	pending bool
}

var _ placement.Fleet = (*fleet)(nil)

func newFleet(o Options) *fleet {
	f := &fleet{
		Options: o, ballots: newBallots(o.Clock.Now()),
		leases: map[roster.Task]*lease{}, publications: map[registry.Instance]publication{}, known: map[uint64]knownNotice{},
		knownWarmups: map[uint64]registry.Instance{},
	}
	o.Node.Handle(kindObservation, f.handleObservation)
	o.Node.Handle(kindVote, f.handleVote)
	o.Node.Handle(kindKnown, f.handleKnown)
	o.Node.Handle(kindWarmup, f.handleWarmup)
	return f
}

// Role implements placement.Fleet.
func (f *fleet) Role(pool string, partition int) backpressure.Role {
	task := Task(pool, partition)
	role := backpressure.Role{Hosts: f.Roster.Count()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.leases[task]; l != nil {
		role.HeldSince = l.check(f.Clock.Now(), witnessesOf(f.Roster, task))
	}
	return role
}

// Observed implements placement.Fleet.
func (f *fleet) Observed(pool string, partition int, instance registry.Instance, o backpressure.Observation, changed bool) {
	if !f.takePublication(f.Clock.Now(), instance, changed) {
		return
	}
	for _, h := range witnessesOf(f.Roster, Task(pool, partition)) {
		if h.Name != f.Roster.Self().Name {
			f.publish(h, instance, o)
		}
	}
}

// takePublication reports whether what a target asked for is to be passed on now: at
// once when it changed, unless it was passed on just before, and now and then
// otherwise.
func (f *fleet) takePublication(now time.Time, instance registry.Instance, changed bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.publications[instance]
	since := now.Sub(last.at)
	last.pending = last.pending || changed
	due := since >= republishInterval || last.pending && since >= minPublishInterval
	if due {
		last = publication{at: now}
	}
	if len(f.publications) >= maxRemembered {
		f.publications = lo.OmitBy(f.publications, func(_ registry.Instance, p publication) bool { return now.Sub(p.at) >= republishInterval })
	}
	f.publications[instance] = last
	return due
}

// publish tells one host what a target asked for.
func (f *fleet) publish(h roster.Host, instance registry.Instance, o backpressure.Observation) {
	if err := f.Node.Notify(h.Addr, kindObservation, newObservationNotice(f.Clock.Now(), instance, o)); err != nil {
		f.Logger.Debug("what a target asked for was not passed on; it is sent again with a later response", zap.String("to", h.Name), zap.String("target", instance.ID), zap.Error(err))
	}
}

func (f *fleet) handleObservation(m hostmsg.Message) {
	var n observationNotice
	if err := m.Decode(&n); err != nil {
		f.Logger.Debug("malformed notice of what a target asked for dropped", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	f.Local.RecordObservation(n.instance(), n.observation(f.Clock.Now()), m.From.String())
}

func (f *fleet) handleKnown(m hostmsg.Message) {
	var n knownNotice
	if err := m.Decode(&n); err != nil {
		f.Logger.Debug("malformed notice of known rate limits dropped", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	now := f.Clock.Now()
	for _, o := range n.Known {
		f.Local.RecordObservation(o.instance(), o.observation(now), m.From.String())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.known) >= maxRemembered {
		// They belong to requests that ended before their response.
		clear(f.known)
	}
	f.known[n.MessageID] = n
}

// takeKnown returns and forgets what a coordinator told before the response to a
// request; without it, the notice is empty.
func (f *fleet) takeKnown(messageID uint64) knownNotice {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.known[messageID]
	delete(f.known, messageID)
	return n
}

func (f *fleet) handleVote(m hostmsg.Message) {
	var q voteRequest
	if err := m.Decode(&q); err != nil {
		f.Logger.Debug("malformed request for a vote dropped", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	m.Respond(voteResponse{Granted: f.vote(roster.Task{Kind: taskKind, Name: q.Task}, q.Candidate)})
}

func (f *fleet) vote(task roster.Task, candidate string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ballots.vote(f.Clock.Now(), task, candidate)
}

// run renews this host's leases until the context ends.
func (f *fleet) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.Clock.After(leaseRenewInterval):
			f.renew(ctx)
		}
	}
}

// renew asks for votes for the partitions that this host coordinates and that
// have a target with a rate limit, named or because it is cold; the leases of others lapse.
func (f *fleet) renew(ctx context.Context) {
	self := f.Roster.Self().Name
	wanted := map[roster.Task]bool{}
	for _, id := range f.Local.RateLimitedPartitions() {
		task := Task(id.Pool, id.Number)
		if f.Roster.Rank(f.Clock.Now(), task)[0].Name == self {
			wanted[task] = true
		}
	}
	f.dropLapsed(wanted)
	var renewals sync.WaitGroup
	for task := range wanted {
		renewals.Go(func() { f.renewLease(ctx, task) })
	}
	renewals.Wait()
}

// renewLease asks the witnesses of one partition for their votes.
func (f *fleet) renewLease(ctx context.Context, task roster.Task) {
	before := f.held(task)
	var votes sync.WaitGroup
	for _, h := range witnessesOf(f.Roster, task) {
		votes.Go(func() { f.requestVote(ctx, h, task) })
	}
	votes.Wait()
	switch now := f.held(task); {
	case now && !before:
		f.Logger.Info("lease of a partition's rate limits acquired; this host sends within all but a small part of them", zap.String("partition", task.Name), zap.Int("hosts", f.Roster.Count()))
	case before && !now:
		f.Logger.Info("lease of a partition's rate limits lost; this host sends within its share of the small part", zap.String("partition", task.Name), zap.Int("hosts", f.Roster.Count()))
	}
}

func (f *fleet) held(task roster.Task) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.leases[task]
	return l != nil && !l.check(f.Clock.Now(), witnessesOf(f.Roster, task)).IsZero()
}

// dropLapsed forgets the leases that are neither wanted nor held any more.
func (f *fleet) dropLapsed(wanted map[roster.Task]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, l := range f.leases {
		if !wanted[task] && l.check(f.Clock.Now(), witnessesOf(f.Roster, task)).IsZero() {
			delete(f.leases, task)
		}
	}
	for task := range wanted {
		if f.leases[task] == nil {
			f.leases[task] = &lease{votes: map[string]time.Time{}}
		}
	}
}

// requestVote asks one witness for its vote and counts it.
func (f *fleet) requestVote(ctx context.Context, h roster.Host, task roster.Task) {
	askedAt, self := f.Clock.Now(), f.Roster.Self().Name
	granted := false
	if h.Name == self {
		granted = f.vote(task, self)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, voteTimeout)
		defer cancel()
		var response voteResponse
		if err := f.Node.Call(callCtx, h.Addr, kindVote, voteRequest{Task: task.Name, Candidate: self}, &response); err != nil {
			f.Logger.Debug("witness did not vote; asking again at the next renewal", zap.String("witness", h.Name), zap.String("partition", task.Name), zap.Error(err))
			return
		}
		granted = response.Granted
	}
	if !granted {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.leases[task]; l != nil {
		l.record(h.Name, askedAt)
	}
}

// knownLimits returns what this host knows of the rate limits in a partition, as
// a knownNotice carries it: that of the chosen target first, then some others.
func knownLimits(now time.Time, local *placement.Balancer, pool string, partition int, chosen registry.Instance) []observationNotice {
	var known []observationNotice
	if o, ok := local.Observation(chosen); ok {
		known = append(known, newObservationNotice(now, chosen, o))
	}
	for _, instance := range local.RateLimitedTargets(pool, partition, maxKnownLimits) {
		if o, ok := local.Observation(instance); ok && instance != chosen && len(known) < maxKnownLimits {
			known = append(known, newObservationNotice(now, instance, o))
		}
	}
	return known
}
