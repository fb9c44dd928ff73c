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
	// Self describes this host. A zero Incarnation is replaced by the time of
	// New in milliseconds.
	Self Member
	// Timing defaults to DefaultTiming.
	Timing Timing
	Table  cloud.Table
	// Clock defaults to the real one.
	Clock clockwork.Clock
	// Seed and the name drive the choice of peers and the jitter.
	Seed uint64
	// AssumedHosts is the least share count before anything is known of other
	// hosts; it defaults to 64.
	AssumedHosts int
	Logger       *zap.Logger
	// Registerer takes the metrics; nil leaves them out.
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
	// Hosts that share a seed must not act in step.
	o.Seed ^= xxhash.Sum64String(o.Self.Name)
	o.AssumedHosts = cmp.Or(o.AssumedHosts, assumedHosts)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}

func (o *Options) validate() error {
	switch {
	case o.Self.Name == "":
		return errors.New("membership: Self.Name is empty")
	case !o.Self.Addr.IsValid():
		return errors.New("membership: Self.Addr is not an address and port")
	case o.Table == nil:
		return errors.New("membership: Table is nil")
	default:
		return nil
	}
}

// Service runs a Core against the table service. It is safe for concurrent
// use.
type Service struct {
	opt  Options
	rows *rowStore
	mu   sync.Mutex
	core *Core
}

// New returns a Service; Run starts it.
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

// Run drives the membership until the context ends.
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

// perform carries out one action and reports how it ended.
func (s *Service) perform(ctx context.Context, a Action) {
	switch a := a.(type) {
	case WriteHeartbeat:
		s.renew(ctx, a.Member)
	case ReadRows:
		s.read(ctx)
	case Expired:
		s.opt.Logger.Info("host no longer counted", zap.String("host", a.Member.Name))
	case Superseded:
		s.opt.Logger.Error("another process runs under this host's name",
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
		s.core.RenewFailed(now)
	} else {
		s.core.Renewed(sent, now)
	}
	if found != nil {
		actions = s.core.heardSelf(now, *found)
	}
	s.mu.Unlock()
	s.rows.observe(err)
	s.performAll(ctx, actions)
}

func (s *Service) read(ctx context.Context) {
	started := s.opt.Clock.Now()
	members, err := s.rows.readAll(ctx)
	now := s.opt.Clock.Now()
	s.rows.observe(err)
	s.mu.Lock()
	if err != nil {
		s.core.ReadFailed(now)
		s.mu.Unlock()
		return
	}
	news := s.core.RowsRead(started, now, members)
	s.mu.Unlock()
	s.performAll(ctx, news.Actions)
}

func (s *Service) performAll(ctx context.Context, actions []Action) {
	for _, a := range actions {
		s.perform(ctx, a)
	}
}

// Leave spreads the planned stop of this host through its row; gone ends it.
// Peers are told by the exchange.
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
		s.core.RenewFailed(s.opt.Clock.Now())
		return errors.Wrap(err, "write leave row")
	}
	s.core.Renewed(sent, s.opt.Clock.Now())
	return nil
}
