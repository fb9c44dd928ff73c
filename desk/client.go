package desk

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/mesh"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
)

const (
	// firstAnswer is how long a desk may take for a first sign of life: the
	// way there and back between failure domains, and a look at the targets.
	firstAnswer = 25 * time.Millisecond
	// signOfLife is the time between two questions whether a desk still has a
	// waiting request.
	signOfLife = 100 * time.Millisecond
	// desksTried is the number of desks that a request asks before its host
	// looks itself.
	desksTried = 2
)

// Options configure a Client. All but Registerer are required.
type Options struct {
	Node   *mesh.Node
	Roster *roster.Roster
	// Local places the requests of pools whose desk is this host, and those
	// that no desk answered.
	Local         *placement.Balancer
	FailureDomain string
	Clock         clockwork.Clock
	Logger        *zap.Logger
	Registerer    prometheus.Registerer
}

// Client places requests by the desks of their pools. It implements
// ports.Placer and is safe for concurrent use.
type Client struct {
	Options
	placed *prometheus.CounterVec
	reach  reach
}

var _ ports.Placer = (*Client)(nil)

// NewClient returns a client.
func NewClient(o Options) (*Client, error) {
	c := &Client{Options: o, placed: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chestnut_desk_requests_total",
		Help: "Requests placed, by who placed them.",
	}, []string{"by"})}
	return c, metric.Register(o.Registerer, "desk", c.placed)
}

// kind names desks in the roster.
const kind = "desk"

// Task is the desk of a part of a pool in the roster.
func Task(pool string, part int) roster.Task {
	return roster.Task{Kind: kind, Name: pool + "/" + strconv.Itoa(part)}
}

// Pick chooses by what this host knows, without asking.
func (c *Client) Pick(q ports.PickQuery) (ports.Attempt, bool) { return c.Local.Pick(q) }

// Place implements ports.Placer.
func (c *Client) Place(ctx context.Context, q ports.PlaceQuery) (ports.Attempt, *ports.Refusal) {
	now := c.Clock.Now()
	if q.Part == 0 {
		q.Part = c.Local.DrawPartition(q.Pool)
	}
	for i, host := range c.Roster.Order(now, Task(q.Pool, q.Part)) {
		if i == desksTried || host.Name == c.Roster.Self().Name || c.reach.cutOff(now, c.Node.AnsweredAt()) {
			break
		}
		a, refusal, ok := c.askUsable(ctx, host, q)
		if refusal != nil && refusal.Reason == outcome.NoTarget && c.Local.TargetCount(q.Pool) > 0 {
			// The desk does not know of the pool's targets yet.
			break
		}
		if ok {
			c.placed.WithLabelValues("desk").Inc()
			return a, refusal
		}
		c.Roster.Unfit(c.Clock.Now(), kind, host.Name)
		c.Logger.Info("desk does not answer", zap.String("desk", host.Name), zap.String("pool", q.Pool), zap.String("request", q.RequestID))
	}
	c.placed.WithLabelValues("self").Inc()
	q.FailureDomain = c.FailureDomain
	return c.Local.Place(ctx, q)
}

// choicesAsked is the number of times that a desk is asked whose choices this
// host may not use.
const choicesAsked = 3

// askUsable asks a desk until it names a target that this host's own register
// allows: a desk that is cut off from the store may not know of one that
// leaves. ok is false when it names none, or gives no sign of life.
func (c *Client) askUsable(ctx context.Context, host roster.Host, q ports.PlaceQuery) (ports.Attempt, *ports.Refusal, bool) {
	q.Exclude = slices.Clone(q.Exclude)
	for choice := range choicesAsked {
		a, refusal, ok := c.ask(ctx, host, q)
		if !ok || refusal != nil {
			// With nothing left but targets that may not be used here, the desk's
			// refusal says nothing of the others.
			return nil, refusal, ok && choice == 0
		}
		if c.Local.HasTarget(q.Pool, a.instance()) {
			return a, nil, true
		}
		a.Done(c.Clock.Now(), abandoned)
		c.Logger.Info("desk chose a target that takes no new work", zap.String("desk", host.Name), zap.String("pool", q.Pool),
			zap.String("target", a.Identity()), zap.String("request", q.RequestID))
		q.Exclude = append(q.Exclude, a.Target())
	}
	return nil, nil, false
}

// ask asks a desk; ok is false when it gives no sign of life.
func (c *Client) ask(ctx context.Context, host roster.Host, q ports.PlaceQuery) (*attempt, *ports.Refusal, bool) {
	question, err := c.Node.Ask(host.Addr, kindPlace, newQuestion(c.Clock.Now(), q, c.FailureDomain))
	if err != nil {
		c.Logger.Warn("desk can't be asked", zap.String("desk", host.Name), zap.Error(err))
		return nil, nil, false
	}
	defer question.Close()
	timer := c.Clock.NewTimer(firstAnswer)
	defer timer.Stop()
	repeated := false
	for {
		select {
		case raw := <-question.Answers():
			var a placeAnswer
			if err := mesh.Decode(raw, &a); err != nil {
				c.Logger.Warn("answer of a desk is malformed", zap.String("desk", host.Name), zap.Error(err))
				return nil, nil, false
			}
			c.reach.ended(true)
			if attempt, refusal, done := c.take(host, question.ID(), a); done {
				c.Roster.Fit(kind, host.Name)
				return attempt, refusal, true
			}
			repeated = false
			timer.Reset(signOfLife)
		case <-timer.Chan():
			if repeated || question.Repeat(newQuestion(c.Clock.Now(), q, c.FailureDomain)) != nil {
				c.tellCancel(host, question.ID())
				c.reach.ended(false)
				return nil, nil, false
			}
			repeated = true
			timer.Reset(firstAnswer)
		case <-ctx.Done():
			c.tellCancel(host, question.ID())
			return nil, &ports.Refusal{Reason: outcome.DeadlinePassed}, true
		}
	}
}

// take turns an answer into a result; done is false while the request waits.
func (c *Client) take(host roster.Host, question uint64, a placeAnswer) (*attempt, *ports.Refusal, bool) {
	switch a.State {
	case placed:
		return &attempt{client: c, desk: host.Addr, question: question, answer: a}, nil, true
	case refused:
		return nil, &ports.Refusal{Reason: a.Reason, RetryAfter: mesh.Millis(a.RetryAfter)}, true
	default:
		return nil, nil, false
	}
}

func (c *Client) tellCancel(host roster.Host, question uint64) {
	if err := c.Node.Tell(host.Addr, kindCancel, cancelNews{Question: question}); err != nil {
		c.Logger.Debug("question not taken back", zap.String("desk", host.Name), zap.Error(err))
	}
}

// attempt is a request that a desk placed.
type attempt struct {
	client   *Client
	desk     netip.AddrPort
	question uint64
	answer   placeAnswer
	ended    atomic.Bool
}

var (
	_ ports.IdentifiedAttempt = (*attempt)(nil)
	_ ports.ReasonedAttempt   = (*attempt)(nil)
)

// Target returns the address to send to.
func (a *attempt) Target() netip.AddrPort { return a.answer.Addr }

// Identity returns the name of the target.
func (a *attempt) Identity() string { return a.answer.Target }

func (a *attempt) instance() registry.Instance {
	return registry.Instance{ID: a.answer.Target, Born: a.answer.Born}
}

// Basis returns what the desk's choice rested on.
func (a *attempt) Basis() ports.Basis {
	return ports.Basis{
		Present: a.answer.Present, Slots: a.answer.Slots, Slowdown: a.answer.Slowdown,
		Cost: a.answer.Cost, Age: mesh.Millis(a.answer.Age), By: a.desk.String(),
	}
}

// Done tells the desk how the request ended; only the first call counts. The
// desk forgets the request by itself when the news is lost.
func (a *attempt) Done(now time.Time, f ports.Feedback) {
	if !a.ended.CompareAndSwap(false, true) {
		return
	}
	a.client.Local.RecordRemoteEnd(now, a.instance(), f)
	err := a.client.Node.Tell(a.desk, kindDone, doneNews{
		Question: a.question, Verdict: f.Verdict, Latency: f.Latency.Microseconds(), LoadReport: f.LoadReport,
		WrongTarget: f.WrongTarget, ConnectFailed: f.ConnectFailed,
	})
	if err != nil {
		a.client.Logger.Debug("end of a request not told", zap.Stringer("desk", a.desk), zap.Error(err))
	}
}
