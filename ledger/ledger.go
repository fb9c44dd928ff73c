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
	"github.com/chestnutfield/chestnutfield/lb"
)

var _ lb.Ledger = (*Ledger)(nil)

// Ledger implements lb.Ledger. It is safe for concurrent use.
type Ledger struct {
	opt      Options
	active   *activeKeys
	claims   *writeQueue
	outcomes *writeQueue
	breaker  *breaker
	metrics  *metrics
	writes   atomic.Uint64
	// pending counts the orders whose outcome or release is not yet recorded.
	// pendingBytes is the size of the response bodies to be stored with them.
	pending      atomic.Int64
	pendingBytes atomic.Int64
}

// New returns a Ledger. Claims are answered only while Run is running.
func New(opt Options) (*Ledger, error) {
	opt.setDefaults()
	if err := opt.validate(); err != nil {
		return nil, err
	}
	l := &Ledger{
		opt: opt, active: newActiveKeys(), metrics: newMetrics(),
		breaker: newBreaker(opt.BreakerFailures, opt.ProbeInterval),
	}
	l.claims = l.newWriteQueue("claims", opt.ClaimCallsPerSecond)
	l.outcomes = l.newWriteQueue("outcomes", opt.OutcomeCallsPerSecond)
	if err := l.metrics.register(opt.Registerer, l); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Ledger) newWriteQueue(name string, callsPerSecond float64) *writeQueue {
	const (
		retryPause   = 20 * time.Millisecond
		burstSeconds = 0.5
		minBurst     = 5
	)
	burst := max(int(callsPerSecond*burstSeconds), minBurst)
	return &writeQueue{
		name: name, table: l.opt.Table, clock: l.opt.Clock, callTimeout: l.opt.CallTimeout, retryDelay: retryPause,
		limiter: rate.NewLimiter(rate.Limit(callsPerSecond), burst), breaker: l.breaker, metrics: l.metrics,
		onBreakerChange: l.breakerChanged, wake: make(chan struct{}, 1),
	}
}

// Run writes claims and outcomes to the table until ctx ends.
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

// probe sends one read when the breaker is open and a probe is due.
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
	l.opt.Logger.Warn("order ledger circuit breaker changed; while it is open, order claims are refused until a call to the table service succeeds", zap.Bool("open", open))
	l.claims.signal()
	l.outcomes.signal()
}

// newWriter returns a writer ID that no other write uses.
func (l *Ledger) newWriter() string {
	return fmt.Sprintf("%s/%x/%x", l.opt.Host, l.opt.Incarnation, l.writes.Add(1))
}

// Pending returns the number of orders whose outcome or release is not yet
// recorded.
func (l *Ledger) Pending() int { return int(l.pending.Load()) }

// SetCallRates sets the limits, in calls per second, of this host's calls for
// claims and for outcomes, for instance its share among the hosts. The limits
// have minimums: two claim calls per ClaimTimeout, one outcome call every two
// seconds.
func (l *Ledger) SetCallRates(claims, outcomes float64) {
	const (
		minClaimCallsPerTimeout  = 2
		minOutcomeCallsPerSecond = 0.5
	)
	now := l.opt.Clock.Now()
	l.claims.limiter.SetLimitAt(now, rate.Limit(max(claims, minClaimCallsPerTimeout/l.opt.ClaimTimeout.Seconds())))
	l.outcomes.limiter.SetLimitAt(now, rate.Limit(max(outcomes, minOutcomeCallsPerSecond)))
}
