package quota

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/internal/metric"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// Options configure a Client. All but HostsKnown and Registerer are required.
type Options struct {
	Node   *hostmsg.Node
	Roster *roster.Roster
	// Tables returns the tables in force.
	Tables func() *table.Tables
	// HostsKnown reports whether the roster holds the list of hosts. Until then the
	// host delegates nothing, since its part would be that of fewer hosts. Nil
	// stands for always.
	HostsKnown func() bool
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// maxRefusalLines is the number of log lines a second about refusals.
const maxRefusalLines = 20

// Client admits requests within the quotas of their workspaces and is the quota
// host of some of them. It implements lb.Quota and is safe for concurrent use.
type Client struct {
	Options
	host *hostState
	wake chan struct{}
	// needed is the set of shards with quotas in the tables last seen.
	needed atomic.Pointer[neededShards]

	requests   *prometheus.CounterVec
	changes    *prometheus.CounterVec
	delegated  *prometheus.GaugeVec
	askedAgain *prometheus.CounterVec
	refusalLog *rate.Limiter
}

var _ lb.Quota = (*Client)(nil)

// NewClient returns a client and registers its message handlers at the node. It
// fails when a metric can't be registered.
func NewClient(o Options) (*Client, error) {
	c := &Client{
		Options: o, host: newHostState(o.Roster.Self().Name, o.Clock.Now()), wake: make(chan struct{}, 1),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_quota_requests_total",
			Help: "Requests of workspaces with a quota, by result and by who decided.",
		}, []string{"result", "by"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_quota_host_changes_total",
			Help: "Changes of the quota host that this host uses, by cause.",
		}, []string{"cause"}),
		delegated: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "chestnut_quota_delegated_fraction",
			Help: "Part of the quotas of a shard that is delegated to this host.",
		}, []string{"shard"}),
		askedAgain: newAskedAgain(),
		refusalLog: rate.NewLimiter(maxRefusalLines, maxRefusalLines),
	}
	c.handleMessages()
	return c, metric.Register(o.Registerer, "quota", c.requests, c.changes, c.delegated, c.askedAgain)
}

// The values of the metrics' label "by".
const (
	bySelf   = "self"
	byHost   = "host"
	byBridge = "bridge"
)

// Take implements lb.Quota. While the quota host is not ready, the request waits: after
// a restart of all hosts the first delegations arrive within a few hundred milliseconds,
// and callers that are refused come back only once or twice. Without an answer, some
// requests go on asking for as long as their deadlines allow (askingRequest).
func (c *Client) Take(ctx context.Context, q lb.QuotaQuery) (lb.QuotaPermit, *lb.Refusal) {
	if c.termsOf(q.Workspace).rate <= 0 {
		return noPermit{}, nil
	}
	s := c.host.shards[shardOf(q.Workspace.Name)]
	began := c.Clock.Now()
	asking := newAskingRequest(began, s, q)
	defer asking.stop()
	for giveUp := began.Add(q.MaxWait); ; {
		permit, refusal, quotaHost := c.ask(ctx, s, q, asking)
		if permit != nil || refusal != nil {
			c.reportAsking(q, asking, refusal, began)
			return permit, refusal
		}
		now := c.Clock.Now()
		q.MaxWait = max(0, giveUp.Sub(now)-unreadyInterval)
		if s.admit(now, q.Workspace.Name, rand.Float64()) {
			c.requests.WithLabelValues("granted", byBridge).Inc()
			return &bridgedPermit{shard: s, workspace: q.Workspace.Name}, nil
		}
		if q.MaxWait <= 0 && !asking.goOn(now, decision{verdict: unready}) {
			refusal = c.refuse(q, decision{verdict: refused, wait: s.untilReady(now)}, quotaHost, byBridge)
			c.reportAsking(q, asking, refusal, began)
			return nil, refusal
		}
		select {
		case <-c.Clock.After(unreadyInterval):
		case <-ctx.Done():
			return nil, &lb.Refusal{Reason: outcome.DeadlinePassed}
		}
	}
}

// ask asks the quota host for a token; without permit and refusal, it is not ready.
func (c *Client) ask(ctx context.Context, s *shard, q lb.QuotaQuery, asking *askingRequest) (permitted lb.QuotaPermit, refusal *lb.Refusal, quotaHost string) {
	name := q.Workspace.Name
	from := asking.source()
	query := tokenQuery{workspace: name, terms: c.termsOf(q.Workspace), maxWait: q.MaxWait, bridged: from.bridged, phase: rand.Float64()}
	p := &permit{client: c, shard: s, workspace: name, by: bySelf}
	d := decision{verdict: unready}
	if from.host == c.Roster.Self().Name {
		d = s.take(c.Clock.Now(), query)
	} else if host, known := c.Roster.Find(from.host); known {
		p.quotaHost, p.by = host.Addr, byHost
		d = c.request(ctx, host, p, query, asking.tries())
	} else if from.host != "" {
		c.hostFailed(from.host, "not in the list of hosts")
	}
	if d.verdict == unready {
		s.unanswered(name, from.bridged)
	}
	if ctx.Err() != nil {
		if d.verdict == granted {
			p.Return()
		}
		return nil, &lb.Refusal{Reason: outcome.DeadlinePassed}, from.host
	}
	if d.verdict == unready || asking.goOn(c.Clock.Now(), d) {
		return nil, nil, from.host
	}
	permitted, refusal = c.apply(ctx, q, p, d, from.host)
	return permitted, refusal, from.host
}

// termsOf returns the quota of a workspace in the tables in force. A request that
// was routed by other tables must not bring an old quota under a new version.
func (c *Client) termsOf(w table.Workspace) terms {
	t := c.Tables()
	if current, found := t.Workspaces[w.Name]; found {
		return newTerms(current.RatePerSecond, current.Burst, t.Version)
	}
	return newTerms(w.RatePerSecond, w.Burst, 0)
}

// apply turns a decision into a permit or a refusal, after the wait for a token.
func (c *Client) apply(ctx context.Context, q lb.QuotaQuery, p *permit, d decision, quotaHost string) (lb.QuotaPermit, *lb.Refusal) {
	if d.verdict != granted {
		return nil, c.refuse(q, d, quotaHost, p.by)
	}
	c.requests.WithLabelValues("granted", p.by).Inc()
	if d.wait > 0 {
		select {
		case <-c.Clock.After(d.wait):
		case <-ctx.Done():
			p.Return()
			return nil, &lb.Refusal{Reason: outcome.DeadlinePassed}
		}
	}
	return p, nil
}

// refuse returns the refusal of a request. Without an answer of the quota host, the
// Retry-After is at most the time until another one may be used.
func (c *Client) refuse(q lb.QuotaQuery, d decision, quotaHost, by string) *lb.Refusal {
	retryAfter := spreadRetry(d.wait, rand.Float64())
	if by == byBridge {
		retryAfter = min(retryAfter, delegationValidity)
	}
	c.requests.WithLabelValues("refused", by).Inc()
	if c.refusalLog.AllowN(c.Clock.Now(), 1) {
		c.Logger.Info("request refused: its workspace has no token of its quota left", zap.String("request", q.RequestID),
			zap.String("workspace", q.Workspace.Name), zap.String("quota_host", quotaHost), zap.String("by", by),
			zap.Float64("delegated", d.fraction), zap.Float64("tokens", d.tokens), zap.Duration("retry_after", retryAfter))
	}
	return &lb.Refusal{Reason: outcome.QuotaExceeded, RetryAfter: retryAfter}
}

// request asks the quota host for a token, up to tries times when it doesn't answer.
// Without an answer the quota host counts as unready.
func (c *Client) request(ctx context.Context, host roster.Host, p *permit, q tokenQuery, tries int) decision {
	sentAt := c.Clock.Now()
	body := tokenRequest{
		Workspace: q.workspace, Rate: q.rate, Burst: q.burst, Version: q.version,
		MaxWait: q.maxWait.Milliseconds(), Bridged: q.bridged,
	}
	r, err := c.Node.Request(host.Addr, kindToken, body)
	if err != nil {
		c.hostFailed(host.Name, "request for a token could not be sent")
		return decision{verdict: unready}
	}
	defer r.Close()
	p.messageID = r.ID()
	d, ok := c.awaitAnswer(ctx, r, body, tries)
	if ok {
		c.answered(host.Name, p.shard, q.workspace, d)
		return d
	}
	c.sendReturn(p, true)
	// One lost message is no failure of a host that answered others meanwhile.
	if ctx.Err() == nil && !c.host.respondsSince(host.Name, sentAt) {
		c.hostFailed(host.Name, "requests for a token unanswered")
	}
	return decision{verdict: unready}
}

// awaitAnswer waits for the response to a request for a token and repeats the
// request when there is none.
func (c *Client) awaitAnswer(ctx context.Context, r *hostmsg.Request, body tokenRequest, tries int) (decision, bool) {
	for try := 1; ; {
		select {
		case raw := <-r.Responses():
			var response tokenResponse
			if err := hostmsg.Decode(raw, &response); err == nil {
				return response.decision(), true
			}
			c.Logger.Debug("malformed response to a request for a token dropped")
		case <-c.Clock.After(requestTimeout):
			if len(r.Responses()) > 0 {
				// After a pause of this process both may be ready; the next round takes
				// the response.
				continue
			}
			if try == tries || r.Resend(body) != nil {
				return decision{}, false
			}
			try++
		case <-ctx.Done():
			return decision{}, false
		}
	}
}

func (c *Client) answered(host string, s *shard, workspace string, d decision) {
	now := c.Clock.Now()
	c.host.answered(now, host)
	c.Roster.MarkHealthy(taskKind, host)
	s.answered(now, workspace, d)
}

// hostFailed skips a quota host that doesn't answer, in all shards.
func (c *Client) hostFailed(host, cause string) {
	c.host.fail(host)
	now := c.Clock.Now()
	if !c.Roster.Skipped(now, taskKind, host) {
		c.Roster.MarkFailed(now, taskKind, host)
		c.changes.WithLabelValues("lost").Inc()
		c.Logger.Info("quota host does not answer; another one is used after the last delegation has ended",
			zap.String("quota_host", host), zap.String("cause", cause))
	}
	c.wakeUp()
}

func (c *Client) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// retryPause is the pause of the loop while a quota host is looked for, stepPause
// otherwise.
const (
	retryPause = requestTimeout
	stepPause  = heartbeatInterval / 2
)

// Run sends delegations and changes quota hosts until the context ends.
func (c *Client) Run(ctx context.Context) {
	pause := stepPause
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-c.Clock.After(pause):
		}
		pause = c.step()
	}
}

// step does one round of the loop and returns the pause until the next.
func (c *Client) step() time.Duration {
	needed := c.neededShards()
	if needed.count() == 0 || c.HostsKnown != nil && !c.HostsKnown() {
		return stepPause
	}
	now := c.Clock.Now()
	p := c.host.step(now, rosterRanking{c.Roster}, needed)
	c.send(p)
	for _, host := range p.silent {
		c.Roster.SkipUntil(now.Add(contactValidity), taskKind, host)
	}
	for _, host := range p.lost {
		c.hostFailed(host, "heartbeats unanswered")
	}
	c.logChanges(p.changes)
	for i, s := range c.host.shards {
		if needed.has(i) {
			c.delegated.WithLabelValues(shardLabels[i]).Set(s.fraction(now))
		}
	}
	if p.searching {
		return retryPause
	}
	return stepPause
}
