package membership

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/internal/metric"
)

// Options configures a Service.
type Options struct {
	// Self describes this host. A zero Incarnation is replaced by the time at
	// which New is called, in milliseconds since 1970.
	Self Member
	// Timing defaults to DefaultTiming.
	Timing Timing
	Table  cloud.Table
	// Clock defaults to the system clock.
	Clock clockwork.Clock
	// Seed, combined with the name of the host, is the seed of the random
	// choice of peers and of the jitter.
	Seed uint64
	// AssumedHosts is the least value of ShareDivisor until a row read has
	// succeeded or a peer's message has arrived; it defaults to 64.
	AssumedHosts int
	Logger       *zap.Logger
	// Registerer registers the metrics; with nil they are not exported.
	Registerer prometheus.Registerer
}

func (o *Options) setDefaults() {
	const assumedHosts = 64
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(o.Clock.Now().UnixMilli())
	}
	// Hosts with the same seed must not act at the same time.
	o.Seed ^= xxhash.Sum64String(o.Self.Name)
	o.AssumedHosts = cmp.Or(o.AssumedHosts, assumedHosts)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}

func (o *Options) validate() error {
	switch {
	case o.Self.Name == "":
		return errors.New("membership: Self.Name is empty; the name of this host expected")
	case !o.Self.Addr.IsValid():
		return errors.New("membership: Self.Addr is invalid; the address and port for peers expected")
	case o.Table == nil:
		return errors.New("membership: Table is nil; a table service expected")
	default:
		return nil
	}
}

// Service runs a Core against the table service. It is safe for concurrent use.
type Service struct {
	opt  Options
	rows *rowStore
	mu   sync.Mutex
	core *Core
}

// New returns a Service, which Run starts. It fails when an option is missing
// or the metrics can't be registered.
func New(opt Options) (*Service, error) {
	opt.setDefaults()
	if err := opt.validate(); err != nil {
		return nil, err
	}
	s := &Service{
		opt: opt, rows: newRowStore(opt),
		core: NewCore(CoreOptions{
			Self: opt.Self, Timing: opt.Timing, Seed: opt.Seed, AssumedHosts: opt.AssumedHosts,
		}, opt.Clock.Now()),
	}
	if err := metric.Register(opt.Registerer, "membership", newCollector(s)); err != nil {
		return nil, err
	}
	return s, nil
}

// Run renews this host's row and reads those of the others until the context
// ends. It returns nil after the calls in progress have ended.
func (s *Service) Run(ctx context.Context) error {
	const tickInterval = 250 * time.Millisecond
	ticker := s.opt.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		for _, a := range s.tick() {
			calls.Go(func() { s.perform(ctx, a) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

func (s *Service) tick() []Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Tick(s.opt.Clock.Now())
}

// perform carries out one action and reports the outcome to the core.
func (s *Service) perform(ctx context.Context, a Action) {
	switch a := a.(type) {
	case WriteHeartbeat:
		s.renew(ctx, a.Member)
	case ReadRows:
		s.read(ctx)
	case Expired:
		s.opt.Logger.Info("host dropped from the membership: no heartbeat for longer than a lease; shared limits no longer count it", zap.String("host", a.Member.Name))
	case Superseded:
		s.opt.Logger.Error("another process runs under this host's name; this process gives up its lease and stops writing its row",
			zap.Uint64("incarnation", a.Incarnation))
	}
}

func (s *Service) renew(ctx context.Context, m Member) {
	sent := s.opt.Clock.Now()
	found, err := s.rows.write(ctx, m)
	now := s.opt.Clock.Now()
	s.mu.Lock()
	var actions []Action
	if err != nil {
		s.core.HandleRenewalFailure(now)
	} else {
		s.core.HandleRenewal(sent, now)
	}
	if found != nil {
		actions = s.core.handleSelfEntry(now, *found)
	}
	s.mu.Unlock()
	s.rows.countCall(err)
	s.performAll(ctx, actions)
}

func (s *Service) read(ctx context.Context) {
	started := s.opt.Clock.Now()
	members, err := s.rows.readAll(ctx)
	now := s.opt.Clock.Now()
	s.rows.countCall(err)
	s.mu.Lock()
	if err != nil {
		s.core.HandleReadFailure(now)
		s.mu.Unlock()
		return
	}
	result := s.core.HandleRows(started, now, members)
	s.mu.Unlock()
	s.performAll(ctx, result.Actions)
}

func (s *Service) performAll(ctx context.Context, actions []Action) {
	for _, a := range actions {
		s.perform(ctx, a)
	}
}

// Leave writes this host's row with the state Leaving, or Gone when gone is
// true. The peers are told by package peer.
func (s *Service) Leave(ctx context.Context, gone bool) error {
	s.mu.Lock()
	actions := s.core.Leave(s.opt.Clock.Now(), gone)
	m := s.core.Self()
	s.mu.Unlock()
	if len(actions) == 0 {
		return nil
	}
	sent := s.opt.Clock.Now()
	_, err := s.rows.write(ctx, m)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.core.HandleRenewalFailure(s.opt.Clock.Now())
		return errors.Wrap(err, "write member row of the leaving host")
	}
	s.core.HandleRenewal(sent, s.opt.Clock.Now())
	return nil
}
