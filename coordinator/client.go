package coordinator

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
)

const (
	// firstResponseTimeout is how long a coordinator may take for its first
	// response: a round trip between failure domains, and a load query to the
	// targets.
	firstResponseTimeout = 25 * time.Millisecond
	// repeatInterval is the time between a response that says that the request
	// waits and the message that checks whether the coordinator still holds it.
	repeatInterval = 100 * time.Millisecond
	// maxCoordinatorsTried is the number of coordinators that may fail to respond to
	// one request before its host places it itself, maxUnable the number that may
	// respond that they are cut off from the targets.
	maxCoordinatorsTried = 2
	maxUnable            = 8
	// unableSkip is how long a coordinator is skipped that is cut off from the targets
	// of a pool.
	unableSkip = time.Second
)

// Options configure a Client. All but Reach and Registerer are required.
type Options struct {
	Node   *hostmsg.Node
	Roster *roster.Roster
	// Local places the requests of pools that this host coordinates, and those
	// that no coordinator answered.
	Local *placement.Balancer
	// Reach knows whether this host reaches a pool; nil stands for always.
	Reach         placement.Reachability
	FailureDomain string
	Clock         clockwork.Clock
	Logger        *zap.Logger
	Registerer    prometheus.Registerer
}

// Client places requests through the coordinators of their pools. It implements
// lb.QueueingBalancer and is safe for concurrent use.
type Client struct {
	Options
	requests  *prometheus.CounterVec
	isolation isolationDetector
	builds    coordinatorBuilds
	// unreachable holds the targets that this host could not connect to.
	unreachable unreachableTargets
	fleet       *fleet
	// rejectedLog bounds the log lines about choices that this host rejects.
	rejectedLog *rate.Limiter
}

var _ lb.QueueingBalancer = (*Client)(nil)

// NewClient returns a client. It fails when a metric can't be registered.
func NewClient(o Options) (*Client, error) {
	c := &Client{Options: o, fleet: newFleet(o), rejectedLog: rate.NewLimiter(maxRejectedLines, maxRejectedLines), requests: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chestnut_desk_requests_total",
		Help: "Requests placed, by who placed them.",
	}, []string{"by"})}
	o.Local.SetFleet(c.fleet)
	return c, metric.Register(o.Registerer, "coordinator", c.requests)
}

// taskKind is the kind of coordinator tasks in the roster. Hosts agree on a
// coordinator by a hash of it.
const taskKind = "desk"

// Task returns the roster's task of coordinating a partition of a pool;
// partition is its number, from 1.
func Task(pool string, partition int) roster.Task {
	return roster.Task{Kind: taskKind, Name: pool + "/" + strconv.Itoa(partition)}
}

// Run renews the leases under which this host sends to targets with a rate limit,
// until the context ends.
func (c *Client) Run(ctx context.Context) { c.fleet.run(ctx) }

// Pick chooses by what this host knows, without asking a coordinator.
func (c *Client) Pick(q lb.PickQuery) (lb.Attempt, bool) { return c.Local.Pick(q) }

// Place implements lb.QueueingBalancer. A request that the targets of one partition
// can't take is placed in another one.
func (c *Client) Place(ctx context.Context, q lb.PlaceQuery) (lb.Attempt, *lb.Refusal) {
	if q.Partition != 0 {
		return c.placeInPartition(ctx, q)
	}
	if q.Partition = c.drawPartition(q); q.Partition == 0 {
		// No coordinator is asked for a request that no target may serve.
		return c.Local.Place(ctx, q)
	}
	a, refusal := c.placeInPartition(ctx, q)
	if refusal == nil || refusal.Reason != outcome.RateLimited {
		return a, refusal
	}
	other := c.drawPartition(q)
	if other == q.Partition {
		return nil, refusal
	}
	q.Partition = other
	return c.placeInPartition(ctx, q)
}

// placeInPartition places a request in its partition of the pool.
func (c *Client) placeInPartition(ctx context.Context, q lb.PlaceQuery) (lb.Attempt, *lb.Refusal) {
	now := c.Clock.Now()
	paused, all := c.Local.PausedTargets(now, q.Pool, q.Partition)
	// The local balancer knows itself which targets are paused, and until when.
	local := q
	unreachable := lo.Filter(c.unreachable.list(now), func(addr netip.AddrPort, _ int) bool { return c.Local.PoolOf(addr) == q.Pool })
	q.Exclude = slices.Concat(q.Exclude, paused, unreachable)
	if len(unreachable) < c.Local.TargetCount(q.Pool) {
		local.Exclude = slices.Concat(local.Exclude, unreachable)
	}
	failed, unable := 0, 0
	for _, host := range c.Roster.Rank(now, Task(q.Pool, q.Partition)) {
		self := host.Name == c.Roster.Self().Name
		if self && c.cut(q.Pool) {
			continue
		}
		if all || self || failed == maxCoordinatorsTried || unable == maxUnable || c.isolation.isolated(now, c.Node.LastResponseAt()) {
			break
		}
		a, refusal, ok := c.requestUsableTarget(ctx, host, q)
		if refusal != nil && refusal.Reason == outcome.NoTarget && c.Local.TargetCount(q.Pool) > 0 {
			if refusal.RetryAfter >= 0 {
				// The coordinator doesn't know the pool's targets yet.
				break
			}
			unable++
			c.Roster.SkipUntil(c.Clock.Now().Add(unableSkip), taskKind, host.Name)
			c.Logger.Info("coordinator is cut off from the targets of a pool; it is skipped for a while", zap.String("desk", host.Name), zap.String("pool", q.Pool), zap.String("request", q.RequestID))
			continue
		}
		if ok {
			c.requests.WithLabelValues("desk").Inc()
			return a, refusal
		}
		failed++
		c.Roster.MarkFailed(c.Clock.Now(), taskKind, host.Name)
		c.Logger.Info("coordinator did not respond; it is skipped for a while and the request is placed elsewhere", zap.String("desk", host.Name), zap.String("pool", q.Pool), zap.String("request", q.RequestID))
	}
	c.requests.WithLabelValues("self").Inc()
	local.FailureDomain = c.FailureDomain
	return c.Local.Place(ctx, local)
}

// cut reports whether this host reaches no target of a pool.
func (c *Client) cut(pool string) bool { return c.Reach != nil && c.Reach.Cut(pool) }

// maxChoices is the number of times that a coordinator is asked for one request
// when this host may not use the targets that it chooses.
const maxChoices = 3

// maxRejectedLines is the number of log lines a second about choices that this host
// rejects: a coordinator without the newest evacuation causes some for each request.
const maxRejectedLines = 20

// requestUsableTarget asks a coordinator until it chooses a target that this
// host's own view of the registry allows: a coordinator that is cut off from
// the store may not know that a target leaves. ok is false when it chooses
// none, or doesn't respond.
func (c *Client) requestUsableTarget(ctx context.Context, host roster.Host, q lb.PlaceQuery) (lb.Attempt, *lb.Refusal, bool) {
	q.Exclude = slices.Clone(q.Exclude)
	for choice := range maxChoices {
		a, refusal, ok := c.requestTarget(ctx, host, q)
		if !ok || refusal != nil {
			// Once targets that this host may not use are excluded, the
			// coordinator's refusal says nothing of the other targets.
			return nil, refusal, ok && choice == 0
		}
		informed := c.coordinatorInformed(host, a)
		if informed && c.Local.TakesRequests(q.Pool, a.instance()) && c.Local.InRegions(q.Pool, a.instance(), q.Regions) {
			return a, nil, true
		}
		a.Done(c.Clock.Now(), abandoned)
		if c.rejectedLog.AllowN(c.Clock.Now(), 1) {
			c.Logger.Info("coordinator chose a target that this host may not use; asking for another", zap.String("desk", host.Name), zap.String("pool", q.Pool),
				zap.String("target", a.Identity()), zap.String("request", q.RequestID), zap.Bool("coordinator_informed", informed))
		}
		// A coordinator that does not know of an evacuation yet, or not of regions, is
		// told all targets that it must not choose at once.
		q.Exclude = slices.Concat(q.Exclude, []netip.AddrPort{a.Target()}, c.Local.UnusableTargets(q.Pool, q.Partition, q.Regions))
	}
	return nil, nil, false
}

// coordinatorInformed reports whether a coordinator knew what the target that it
// chose asked for, and whether it is cold. One that did not is told.
func (c *Client) coordinatorInformed(host roster.Host, a *attempt) bool {
	chosen := a.instance()
	limit, knewLimit := c.fleet.takeKnown(a.messageID).rateLimit(chosen)
	if knewLimit {
		a.rateLimit = backpressure.Limit{PerSecond: limit, Reason: backpressure.Named}
	}
	knewWarmup := c.coordinatorKnewWarmup(host, a)
	o, _ := c.Local.Observation(chosen)
	if !o.Leaving && (!o.Limited || knewLimit) {
		return knewWarmup
	}
	c.fleet.publish(host, chosen, o)
	return false
}

// noCoordinator makes a host place a request itself without skipping the coordinator.
var noCoordinator = &lb.Refusal{Reason: outcome.NoTarget}

// sendPlace sends a message of that kind to a coordinator and waits until the
// request is placed or refused. silent is true when no response arrived; done is
// false then, and when the message or the response is unusable.
func (c *Client) sendPlace(ctx context.Context, host roster.Host, q lb.PlaceQuery, kind hostmsg.Kind) (a *attempt, refusal *lb.Refusal, done, silent bool) {
	request, err := c.Node.Request(host.Addr, kind, c.placeMessage(kind, q))
	if errors.Is(err, hostmsg.ErrTooLarge) {
		c.Logger.Info("request does not fit a message; this host places it", zap.String("pool", q.Pool), zap.String("request", q.RequestID), zap.Error(err))
		return nil, noCoordinator, true, false
	}
	if err != nil {
		c.Logger.Warn("request to the coordinator could not be sent; the coordinator is skipped for a while", zap.String("desk", host.Name), zap.Error(err))
		return nil, nil, false, false
	}
	defer request.Close()
	timer := c.Clock.NewTimer(firstResponseTimeout)
	defer timer.Stop()
	repeated := false
	for {
		select {
		case raw := <-request.Responses():
			var response placeResponse
			if err := hostmsg.Decode(raw, &response); err != nil {
				c.Logger.Warn("response of the coordinator is malformed; the coordinator is skipped for a while", zap.String("desk", host.Name), zap.Error(err))
				return nil, nil, false, false
			}
			c.isolation.recordRequest(true)
			if kind == kindPlaceExtended {
				c.builds.record(c.Clock.Now(), host.Addr, true)
			}
			if attempt, refusal, done := c.unpackResponse(host, q.Pool, request.ID(), response); done {
				c.Roster.MarkHealthy(taskKind, host.Name)
				return attempt, refusal, true, false
			}
			repeated = false
			timer.Reset(repeatInterval)
		case <-timer.Chan():
			if repeated || request.Resend(c.placeMessage(kind, q)) != nil {
				c.sendCancel(host, request.ID())
				return nil, nil, false, true
			}
			repeated = true
			timer.Reset(firstResponseTimeout)
		case <-ctx.Done():
			c.sendCancel(host, request.ID())
			return nil, &lb.Refusal{Reason: outcome.DeadlinePassed}, true, false
		}
	}
}

// unpackResponse turns a response into a result; done is false while the request
// waits.
func (c *Client) unpackResponse(host roster.Host, pool string, messageID uint64, r placeResponse) (*attempt, *lb.Refusal, bool) {
	switch r.State {
	case placed:
		return &attempt{client: c, pool: pool, coordinator: host.Addr, messageID: messageID, response: r}, nil, true
	case refused:
		return nil, &lb.Refusal{Reason: r.Reason, RetryAfter: hostmsg.Milliseconds(r.RetryAfter)}, true
	default:
		return nil, nil, false
	}
}

func (c *Client) sendCancel(host roster.Host, messageID uint64) {
	if err := c.Node.Notify(host.Addr, kindCancel, cancelNotice{MessageID: messageID}); err != nil {
		c.Logger.Debug("withdrawal of a request could not be sent; the coordinator drops the request after its deadline", zap.String("desk", host.Name), zap.Error(err))
	}
}

// attempt is a request that a coordinator placed.
type attempt struct {
	client      *Client
	pool        string
	coordinator netip.AddrPort
	messageID   uint64
	response    placeResponse
	// rateLimit is the limit by which the target was chosen, as far as the coordinator
	// knew of one.
	rateLimit backpressure.Limit
	ended     atomic.Bool
}

var (
	_ lb.IdentifiedAttempt = (*attempt)(nil)
	_ lb.ExplainedAttempt  = (*attempt)(nil)
	_ lb.ObservedAttempt   = (*attempt)(nil)
)

// Target returns the address to send to.
func (a *attempt) Target() netip.AddrPort { return a.response.Addr }

// Identity returns the ID of the target.
func (a *attempt) Identity() string { return a.response.Target }

// Observe implements lb.ObservedAttempt.
func (a *attempt) Observe(s backpressure.Signal) {
	a.client.Local.RecordSignal(a.instance(), s)
}

func (a *attempt) instance() registry.Instance { return a.response.instance() }

// Instance returns the process of the target that was chosen.
func (a *attempt) Instance() registry.Instance { return a.instance() }

// Basis returns the state that the coordinator's choice was based on.
func (a *attempt) Basis() lb.SelectionBasis {
	return lb.SelectionBasis{
		Outstanding: a.response.Outstanding, Slots: a.response.Slots, Slowdown: a.response.Slowdown,
		Cost: a.response.Cost, Age: hostmsg.Milliseconds(a.response.Age), PlacedBy: a.coordinator.String(),
		RateLimit: a.rateLimit.PerSecond, RateLimitReason: a.rateLimit.Reason,
	}
}

// Done reports to the coordinator how the request ended; only the first call
// counts. When the message is lost, the coordinator drops the request
// placedRetention after its deadline.
func (a *attempt) Done(now time.Time, f lb.Feedback) {
	if !a.ended.CompareAndSwap(false, true) {
		return
	}
	placement.CheckFailure(a.client.Reach, a.pool, f, func(f lb.Feedback) { a.report(now, f) })
}

func (a *attempt) report(now time.Time, f lb.Feedback) {
	if f.ConnectFailed || f.Verdict == lb.Succeeded {
		a.client.unreachable.record(now, a.Target(), !f.ConnectFailed)
	}
	a.client.Local.RecordRemoteEnd(now, a.instance(), f)
	err := a.client.Node.Notify(a.coordinator, kindDone, doneNotice{
		MessageID: a.messageID, Verdict: f.Verdict, Latency: f.Latency.Microseconds(), LoadReport: f.LoadReport,
		WrongTarget: f.WrongTarget, ConnectFailed: f.ConnectFailed,
	})
	if err != nil {
		a.client.Logger.Debug("end of a request could not be sent; the coordinator drops the request after its deadline", zap.Stringer("desk", a.coordinator), zap.Error(err))
	}
}
