package ledger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/ports"
)

var _ ports.Ledger = (*Ledger)(nil)

// Ledger implements ports.Ledger. It is safe for concurrent use.
type Ledger struct {
	opt      Options
	book     *book
	claims   *lane
	outcomes *lane
	breaker  *breaker
	metrics  *metrics
	writes   atomic.Uint64
	// pending counts orders whose end or release is not yet recorded, and the
	// bytes of their answers.
	pending      atomic.Int64
	pendingBytes atomic.Int64
}

// New returns a Ledger; Run must run for claims to be answered.
func New(opt Options) (*Ledger, error) {
	opt.setDefaults()
	if err := opt.validate(); err != nil {
		return nil, err
	}
	l := &Ledger{
		opt: opt, book: newBook(), metrics: newMetrics(),
		breaker: newBreaker(opt.BreakerAfter, opt.ProbeInterval),
	}
	l.claims = l.newLane("claims", opt.ClaimCallsPerSecond)
	l.outcomes = l.newLane("outcomes", opt.OutcomeCallsPerSecond)
	if err := l.metrics.register(opt.Registerer, l); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Ledger) newLane(name string, callsPerSecond float64) *lane {
	const (
		retryPause   = 20 * time.Millisecond
		burstSeconds = 0.5
		leastBurst   = 5
	)
	burst := max(int(callsPerSecond*burstSeconds), leastBurst)
	return &lane{
		name: name, table: l.opt.Table, clock: l.opt.Clock, callTimeout: l.opt.CallTimeout, pause: retryPause,
		limiter: rate.NewLimiter(rate.Limit(callsPerSecond), burst), breaker: l.breaker, metrics: l.metrics,
		onBreaker: l.breakerChanged, wake: make(chan struct{}, 1),
	}
}

// Run serves claims and records ends until the context ends.
func (l *Ledger) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range l.opt.ClaimCallsInFlight {
		workers.Go(func() { l.claims.run(ctx) })
	}
	workers.Go(func() { l.outcomes.run(ctx) })
	ticker := l.opt.Clock.NewTicker(l.opt.ProbeInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			workers.Wait()
			return nil
		case <-ticker.Chan():
			l.probe(ctx)
		}
	}
}

// probe reads once while the breaker is open and the time has come.
func (l *Ledger) probe(ctx context.Context) {
	if !l.breaker.probeDue(l.opt.Clock.Now()) {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, l.opt.Clock, l.opt.CallTimeout)
	defer cancel()
	_, _, err := l.opt.Table.Get(ctx, cloud.Key{Partition: PartitionPrefix + "probe", Sort: "probe"})
	l.metrics.call("probe", err == nil, 1)
	if l.breaker.report(l.opt.Clock.Now(), err == nil) {
		l.breakerChanged()
	}
}

func (l *Ledger) breakerChanged() {
	_, open := l.breaker.isOpen(l.opt.Clock.Now())
	l.opt.Logger.Warn("order ledger breaker changed", zap.Bool("open", open))
	l.claims.signal()
	l.outcomes.signal()
}

// writer returns a name that no other write has.
func (l *Ledger) writer() string {
	return fmt.Sprintf("%s/%x/%x", l.opt.Host, l.opt.Incarnation, l.writes.Add(1))
}

// Pending returns the number of orders whose end is not yet recorded.
func (l *Ledger) Pending() int { return int(l.pending.Load()) }

// SetCallRates bounds the calls a second of this host for claims and for
// outcomes, for instance by its share among the hosts. Claims keep enough calls
// for two within ClaimTimeout, outcomes one in two seconds.
func (l *Ledger) SetCallRates(claims, outcomes float64) {
	const (
		callsPerTimeout = 2
		leastOutcomes   = 0.5
	)
	now := l.opt.Clock.Now()
	l.claims.limiter.SetLimitAt(now, rate.Limit(max(claims, callsPerTimeout/l.opt.ClaimTimeout.Seconds())))
	l.outcomes.limiter.SetLimitAt(now, rate.Limit(max(outcomes, leastOutcomes)))
}
