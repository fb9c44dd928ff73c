package detour

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// Balancer places requests with another balancer and, while this host does not reach
// their pool, hands them over to a relay. It implements lb.QueueingBalancer and is
// safe for concurrent use.
type Balancer struct {
	lb.QueueingBalancer
	Relays *Relays
}

// Place implements lb.QueueingBalancer. Without a relay, the request is placed here:
// the pool may have targets that the probes did not find.
func (b *Balancer) Place(ctx context.Context, q lb.PlaceQuery) (lb.Attempt, *lb.Refusal) {
	r := b.Relays
	if !r.Reach.Cut(q.Pool) {
		return b.QueueingBalancer.Place(ctx, q)
	}
	name, addr, ok := r.pick(ctx, q)
	if !ok {
		r.requests.WithLabelValues("none").Inc()
		r.Logger.Info("no host was found that reaches the pool; the request is placed here", zap.String("request", q.RequestID), zap.String("pool", q.Pool))
		return b.QueueingBalancer.Place(ctx, q)
	}
	r.requests.WithLabelValues("relay").Inc()
	return &attempt{relays: r, pool: q.Pool, relay: name, addr: addr}, nil
}

// RelayBalancer places the requests that other hosts hand over. They are never handed
// over again.
type RelayBalancer struct {
	lb.QueueingBalancer
	Relays *Relays
}

// Place implements lb.QueueingBalancer.
func (b *RelayBalancer) Place(ctx context.Context, q lb.PlaceQuery) (lb.Attempt, *lb.Refusal) {
	if b.Relays.Reach.Cut(q.Pool) {
		return nil, &lb.Refusal{Reason: outcome.NoTarget}
	}
	return b.QueueingBalancer.Place(ctx, q)
}

// RetriesOnly is a retry budget for requests that other hosts hand over: their first
// attempts were counted there.
type RetriesOnly struct{ lb.RetryBudget }

// Deposit implements lb.RetryBudget.
func (RetriesOnly) Deposit(string, time.Time) {}

// attempt is a request that is handed over to a relay. It implements lb.PeerAttempt.
type attempt struct {
	relays *Relays
	pool   string
	relay  string
	addr   netip.AddrPort
	ended  atomic.Bool
}

var (
	_ lb.QueueingBalancer = (*Balancer)(nil)
	_ lb.QueueingBalancer = (*RelayBalancer)(nil)
	_ lb.PeerAttempt      = (*attempt)(nil)
)

// Target returns the address on which the relay takes requests.
func (a *attempt) Target() netip.AddrPort { return a.addr }

// Group returns the pool.
func (a *attempt) Group() (string, bool) { return a.pool, true }

// Done ends the attempt; only the first call counts. A relay that could not take the
// request is not used again until it answers a query.
func (a *attempt) Done(_ time.Time, f lb.Feedback) {
	if !a.ended.CompareAndSwap(false, true) || !f.ConnectFailed && f.Verdict != lb.Shed {
		return
	}
	a.relays.Logger.Info("relay did not take a request; it is not used until it answers a query", zap.String("relay", a.relay), zap.String("pool", a.pool), zap.Bool("connect_failed", f.ConnectFailed))
	a.relays.forget(a.pool, a.relay)
}
