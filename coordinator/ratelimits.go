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
	// maxKnownLimits is the number of rate limits in a placeResponse.
	maxKnownLimits = 4
)

// rateLimits is this host's part in the rate limits that targets name for all
// hosts together: it passes on what this host hears to the witnesses of the
// target's partition, votes on leases, and holds those of the partitions that
// this host coordinates. It implements placement.Fleet and is safe for concurrent
// use.
type rateLimits struct {
	Options

	mu      sync.Mutex
	ballots *ballots
	leases  map[roster.Task]*lease
	// publishedAt is when this host last passed on a target's rate limit.
	publishedAt map[registry.Instance]time.Time
}

var _ placement.Fleet = (*rateLimits)(nil)

func newRateLimits(o Options) *rateLimits {
	r := &rateLimits{
		Options: o, ballots: newBallots(o.Clock.Now()),
		leases: map[roster.Task]*lease{}, publishedAt: map[registry.Instance]time.Time{},
	}
	o.Node.Handle(kindObservation, r.handleObservation)
	o.Node.Handle(kindVote, r.handleVote)
	return r
}

// Role implements placement.Fleet.
func (r *rateLimits) Role(pool string, partition int) backpressure.Role {
	task := Task(pool, partition)
	role := backpressure.Role{Hosts: r.Roster.Count()}
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.leases[task]; l != nil {
		role.HeldSince = l.check(r.Clock.Now(), witnessesOf(r.Roster, task))
	}
	return role
}

// Observed implements placement.Fleet.
func (r *rateLimits) Observed(pool string, partition int, instance registry.Instance, o backpressure.Observation, changed bool) {
	now := r.Clock.Now()
	r.mu.Lock()
	due := changed || now.Sub(r.publishedAt[instance]) >= republishInterval
	if due {
		if len(r.publishedAt) >= maxBallots {
			r.publishedAt = lo.OmitBy(r.publishedAt, func(_ registry.Instance, at time.Time) bool { return now.Sub(at) >= republishInterval })
		}
		r.publishedAt[instance] = now
	}
	r.mu.Unlock()
	if !due {
		return
	}
	for _, h := range witnessesOf(r.Roster, Task(pool, partition)) {
		if h.Name != r.Roster.Self().Name {
			r.publish(h, instance, o)
		}
	}
}

// publish tells one host what is known of a target's rate limit.
func (r *rateLimits) publish(h roster.Host, instance registry.Instance, o backpressure.Observation) {
	if err := r.Node.Notify(h.Addr, kindObservation, newObservationNotice(r.Clock.Now(), instance, o)); err != nil {
		r.Logger.Debug("rate limit of a target not passed on; it is sent again with a later response", zap.String("to", h.Name), zap.String("target", instance.ID), zap.Error(err))
	}
}

func (r *rateLimits) handleObservation(m hostmsg.Message) {
	var n observationNotice
	if err := m.Decode(&n); err != nil {
		r.Logger.Debug("malformed notice of a rate limit dropped", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	r.Local.RecordObservation(n.instance(), n.observation(r.Clock.Now()), m.From.String())
}

func (r *rateLimits) handleVote(m hostmsg.Message) {
	var q voteRequest
	if err := m.Decode(&q); err != nil {
		r.Logger.Debug("malformed request for a vote dropped", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	m.Respond(voteResponse{Granted: r.vote(roster.Task{Kind: taskKind, Name: q.Task}, q.Candidate)})
}

func (r *rateLimits) vote(task roster.Task, candidate string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ballots.vote(r.Clock.Now(), task, candidate)
}

// run renews this host's leases until the context ends.
func (r *rateLimits) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(leaseRenewInterval):
			r.renew(ctx)
		}
	}
}

// renew asks for votes for the partitions that this host coordinates and that
// have a target with a rate limit; the leases of others lapse.
func (r *rateLimits) renew(ctx context.Context) {
	self := r.Roster.Self().Name
	wanted := map[roster.Task]placement.PartitionID{}
	for _, id := range r.Local.RateLimitedPartitions() {
		task := Task(id.Pool, id.Number)
		if r.Roster.Rank(r.Clock.Now(), task)[0].Name == self {
			wanted[task] = id
		}
	}
	r.dropLapsed(wanted)
	var votes sync.WaitGroup
	for task := range wanted {
		before := r.held(task)
		for _, h := range witnessesOf(r.Roster, task) {
			votes.Go(func() { r.requestVote(ctx, h, task) })
		}
		votes.Wait()
		if now := r.held(task); now != before {
			r.Logger.Info(lo.Ternary(now, "lease of a partition's rate limits acquired; this host sends within all but a small part of them",
				"lease of a partition's rate limits lost; this host sends within its share of the small part"),
				zap.String("partition", task.Name), zap.Int("hosts", r.Roster.Count()))
		}
	}
}

func (r *rateLimits) held(task roster.Task) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.leases[task]
	return l != nil && !l.check(r.Clock.Now(), witnessesOf(r.Roster, task)).IsZero()
}

// dropLapsed forgets the leases that are neither wanted nor held any more.
func (r *rateLimits) dropLapsed(wanted map[roster.Task]placement.PartitionID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, l := range r.leases {
		if _, keep := wanted[task]; !keep && l.check(r.Clock.Now(), witnessesOf(r.Roster, task)).IsZero() {
			delete(r.leases, task)
		}
	}
	for task := range wanted {
		if r.leases[task] == nil {
			r.leases[task] = &lease{votes: map[string]time.Time{}}
		}
	}
}

// requestVote asks one witness for its vote and counts it.
func (r *rateLimits) requestVote(ctx context.Context, h roster.Host, task roster.Task) {
	askedAt, self := r.Clock.Now(), r.Roster.Self().Name
	granted := false
	if h.Name == self {
		granted = r.vote(task, self)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, voteTimeout)
		defer cancel()
		var response voteResponse
		if err := r.Node.Call(callCtx, h.Addr, kindVote, voteRequest{Task: task.Name, Candidate: self}, &response); err != nil {
			r.Logger.Debug("witness did not vote; asking again at the next renewal", zap.String("witness", h.Name), zap.String("partition", task.Name), zap.Error(err))
			return
		}
		granted = response.Granted
	}
	if !granted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.leases[task]; l != nil {
		l.record(h.Name, askedAt)
	}
}

// knownLimits returns what this host knows of the rate limits in a partition, as
// a placeResponse carries it: that of the chosen target first, then some others.
func knownLimits(now time.Time, local *placement.Balancer, pool string, partition int, chosen registry.Instance) []observationNotice {
	var known []observationNotice
	if o, ok := local.RateLimit(chosen); ok {
		known = append(known, newObservationNotice(now, chosen, o))
	}
	for _, instance := range local.RateLimitedTargets(pool, partition, maxKnownLimits) {
		if o, ok := local.RateLimit(instance); ok && instance != chosen && len(known) < maxKnownLimits {
			known = append(known, newObservationNotice(now, instance, o))
		}
	}
	return known
}
