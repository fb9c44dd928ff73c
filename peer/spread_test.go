package peer

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/platform/fake"
	"github.com/chestnutfield/chestnutfield/ports"
)

// pipes is a network of in-memory connections in a bubble's own time.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	// cut reports whether two addresses can't reach each other.
	cut  func(from, to string) bool
	open []net.Conn
}

type pipeListener struct {
	addr  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: l.addr} }

func (p *pipes) listen(addr string) net.Listener {
	l := &pipeListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[addr] = l
	return l
}

func (p *pipes) dial(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		p.mu.Lock()
		l := p.listeners[addr]
		blocked := p.cut != nil && p.cut(from, addr)
		p.mu.Unlock()
		if l == nil || blocked {
			return nil, errors.New("unreachable")
		}
		near, far := net.Pipe()
		select {
		case l.conns <- far:
			p.mu.Lock()
			defer p.mu.Unlock()
			p.open = append(p.open, near)
			return near, nil
		case <-l.done:
			return nil, errors.New("refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (p *pipes) setCut(cut func(from, to string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	for _, c := range p.open {
		_ = c.Close()
	}
	p.open = nil
}

// drainLog notes when each host learned of a target.
type drainLog struct {
	mu sync.Mutex
	at map[netip.AddrPort]time.Time
}

func (d *drainLog) learnedAt(target netip.AddrPort) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.at[target]
	return at, ok
}

func (d *drainLog) Leaving(now time.Time, target netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.at[target]; !known {
		d.at[target] = now
	}
	return true
}

// adopter puts every later version that it hears of in force.
type adopter struct{ version atomic.Uint64 }

func (a *adopter) Heard(_ string, version uint64) {
	for {
		own := a.version.Load()
		if version <= own || a.version.CompareAndSwap(own, version) {
			return
		}
	}
}
func (a *adopter) Encoded() ([]byte, uint64) { return nil, a.version.Load() }

// load is a fixed set of figures, sent in turn.
type load struct {
	mu      sync.Mutex
	figures []ports.Figure
	next    int
}

func (l *load) Outgoing(_ time.Time, limit int) []ports.Figure {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []ports.Figure{}
	for range min(limit, len(l.figures)) {
		out = append(out, l.figures[l.next%len(l.figures)])
		l.next++
	}
	return out
}
func (l *load) Incoming(time.Time, string, []ports.Figure) {}

func targets(n int) []ports.Figure {
	out := make([]ports.Figure, 0, n)
	for i := range n {
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], 0x0a000000+uint32(i)*7)
		out = append(out, ports.Figure{
			Target: netip.AddrPortFrom(netip.AddrFrom4(b), 9001), InFlight: i % 3, Reported: i % 5,
			Latency: time.Duration(i%40+1) * time.Millisecond, Age: time.Duration(i%900) * time.Millisecond,
		})
	}
	return out
}

// fleet is some hosts with their real membership over one fake table.
type fleet struct {
	ctx     context.Context
	configs []*adopter
	seeds   []netip.AddrPort
	change  []func(*Options)
	table   *fake.Table
	members []*membership.Service
	net     *pipes
	nodes   []*Node
	drains  []*drainLog
	stop    context.CancelFunc
	runs    sync.WaitGroup
}

func startFleet(t testing.TB, hosts, figures int, change ...func(*Options)) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{ctx: ctx, table: fake.NewTable(), net: &pipes{listeners: map[string]*pipeListener{}}, stop: cancel, change: change}
	const hostsPerSeed = 20
	for i := range 1 + hosts/hostsPerSeed {
		f.seeds = append(f.seeds, addrOf(i))
	}
	for range hosts {
		f.start(t, figures)
	}
	return f
}

// addrOf returns the address of the i-th host.
func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7003)
}

// start adds a host, which knows the addresses of the seeds.
func (f *fleet) start(t testing.TB, figures int) {
	i := len(f.nodes)
	addr := addrOf(i)
	members, err := membership.New(membership.Options{
		Self:  membership.Member{Name: fmt.Sprintf("entry-%03d", i), Addr: addr, FailureDomain: "scot-central-a"},
		Table: f.table, Seed: uint64(i + 1),
	})
	if err != nil {
		t.Fatal(err)
	}
	drains := &drainLog{at: map[netip.AddrPort]time.Time{}}
	config := &adopter{}
	f.configs = append(f.configs, config)
	opt := Options{
		Members: members, Drains: drains, Config: config, Figures: &load{figures: targets(figures)}, Token: "0123456789abcdef",
		Dial: f.net.dial(addr.String()), Seeds: func() []netip.AddrPort { return f.seeds },
	}
	for _, change := range f.change {
		change(&opt)
	}
	node, err := NewNode(opt)
	if err != nil {
		t.Fatal(err)
	}
	f.nodes, f.drains, f.members = append(f.nodes, node), append(f.drains, drains), append(f.members, members)
	ln := f.net.listen(addr.String())
	f.runs.Go(func() { _ = node.Serve(ln) })
	f.runs.Go(func() { _ = members.Run(f.ctx) })
	f.runs.Go(func() { _ = node.Run(f.ctx) })
}

func (f *fleet) close() {
	f.stop()
	for _, n := range f.nodes {
		_ = n.server.Close()
	}
	f.runs.Wait()
	for _, n := range f.nodes {
		n.clients.close()
	}
}

// bytes returns what each host carried since the counts in since, which may be
// nil: the highest, the mean, and the counts now.
func (f *fleet) bytes(since []float64) (highest, mean float64, counts []float64) {
	for i, n := range f.nodes {
		carried := testutil.ToFloat64(n.metrics.bytesIn) + testutil.ToFloat64(n.metrics.bytesOut)
		counts = append(counts, carried)
		if since != nil {
			carried -= since[i]
		}
		highest = max(highest, carried)
		mean += carried / float64(len(f.nodes))
	}
	return highest, mean, counts
}

// spread announces a leaving target at one host and returns the time until the
// last host learned of it.
func (f *fleet) spread(t testing.TB, within time.Duration) time.Duration {
	leaving := target("10.0.0.1:9001")
	start := time.Now()
	f.nodes[0].AnnounceDrain(leaving)
	time.Sleep(within)
	synctest.Wait()
	var last time.Duration
	for i, d := range f.drains[1:] {
		at, ok := d.learnedAt(leaving)
		if !ok {
			t.Fatalf("host %d has not learned of the leaving target after %v", i+1, within)
		}
		last = max(last, at.Sub(start))
	}
	return last
}

func fleetSizes() []int {
	if os.Getenv("CHESTNUT_LARGE") != "" {
		return []int{2, 19, 60, 100, 300}
	}
	return []int{2, 19}
}

func TestNewsOfALeavingTargetReachesAllHosts(t *testing.T) {
	for _, hosts := range fleetSizes() {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, hosts, 12)
			defer f.close()
			time.Sleep(20 * time.Second)
			took := f.spread(t, 2*time.Second)
			t.Logf("%d hosts: %v", hosts, took)
		})
	}
}

// News does not wait for rounds, which a spent budget leaves out.
func TestNewsPassesWhenTheBudgetIsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 19, 12, func(o *Options) { o.BytesPerSecond = 300 })
		defer f.close()
		time.Sleep(time.Minute)
		t.Logf("19 hosts: %v", f.spread(t, 2*time.Second))
		f.configs[3].version.Store(7)
		time.Sleep(3 * time.Second)
		for i, c := range f.configs {
			if c.version.Load() != 7 {
				t.Errorf("host %d has not heard of the version after 3 s", i)
			}
		}
	})
}

// bytesLimit is what a host may carry a second for control.
const bytesLimit = 19_000

func TestBytesStayWithinTheBudget(t *testing.T) {
	const seconds = 40
	for _, hosts := range fleetSizes() {
		for _, figures := range []int{12, 120, 1200} {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, hosts, figures)
				defer f.close()
				time.Sleep(20 * time.Second)
				_, _, before := f.bytes(nil)
				time.Sleep(seconds * time.Second)
				highest, mean, _ := f.bytes(before)
				t.Logf("%d hosts, %d targets: mean %.0f B/s, highest host %.0f B/s", hosts, figures, mean/seconds, highest/seconds)
				if highest > bytesLimit*seconds {
					t.Errorf("%d hosts, %d targets: a host carried %.0f bytes a second", hosts, figures, highest/seconds)
				}
			})
		}
	}
}

// All hosts start at once and know the addresses of a twentieth of them.
func TestBytesOfAStartOfAllHosts(t *testing.T) {
	const seconds = 20
	for _, hosts := range lo.Uniq(append(fleetSizes(), 60)) {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, hosts, 12)
			defer f.close()
			time.Sleep(seconds * time.Second)
			highest, mean, _ := f.bytes(nil)
			t.Logf("%d hosts: mean %.0f B/s, highest host %.0f B/s", hosts, mean/seconds, highest/seconds)
			if highest > bytesLimit*seconds {
				t.Errorf("%d hosts: a host carried %.0f bytes a second", hosts, highest/seconds)
			}
			for i, m := range f.members {
				if n := len(m.Hosts()); n != hosts {
					t.Errorf("host %d knows %d of %d hosts", i, n, hosts)
				}
			}
		})
	}
}

// Two halves lose each other while the table service is down. Both keep every
// host in their shares, and find each other again.
func TestHalvesThatLoseEachOtherKeepTheirShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 6
		f := startFleet(t, hosts, 12)
		defer f.close()
		time.Sleep(30 * time.Second)
		half := func(addr string) int { return int(netip.MustParseAddrPort(addr).Addr().As4()[3]) / (hosts / 2) }
		f.table.SetDown(true)
		f.net.setCut(func(from, to string) bool { return half(from) != half(to) })
		time.Sleep(10 * time.Minute)
		for i, m := range f.members {
			if n := m.ShareCount(); n != hosts {
				t.Errorf("host %d divides shares by %d while cut off", i, n)
			}
			if n := len(m.Hosts()); n != hosts/2 {
				t.Errorf("host %d believes %d hosts live while cut off", i, n)
			}
		}
		f.net.setCut(nil)
		time.Sleep(time.Minute)
		for i, m := range f.members {
			if n := len(m.Hosts()); n != hosts {
				t.Errorf("host %d believes %d hosts live after the cut", i, n)
			}
		}
		f.spread(t, 2*time.Second)
	})
}

// A host that stops is no longer listed anywhere within a second, and leaves
// the shares once it is gone.
func TestPlannedStopIsSpreadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 19
		f := startFleet(t, hosts, 12)
		defer f.close()
		time.Sleep(30 * time.Second)
		ctx := context.Background()
		for _, gone := range []bool{false, true} {
			f.table.SetDown(true)
			_ = f.members[0].Leave(ctx, gone)
			if err := f.nodes[0].Leave(ctx); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			for i, m := range f.members[1:] {
				if n := len(m.Hosts()); n != hosts-1 {
					t.Errorf("host %d lists %d hosts, gone %v", i+1, n, gone)
				}
				want := hosts
				if gone {
					want--
				}
				if n := m.ShareCount(); n != want {
					t.Errorf("host %d divides shares by %d, gone %v", i+1, n, gone)
				}
			}
		}
	})
}

// A host that starts while the table service is down learns of all hosts from
// the one whose address it has, and they of it.
func TestHostStartedDuringAnOutageIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 5
		f := startFleet(t, hosts, 12)
		defer f.close()
		time.Sleep(30 * time.Second)
		f.table.SetDown(true)
		f.start(t, 12)
		time.Sleep(2 * time.Second)
		for i, m := range f.members {
			if n := len(m.Hosts()); n != hosts+1 {
				t.Errorf("host %d lists %d hosts", i, n)
			}
		}
		if f.members[hosts].ShareCount() <= hosts+1 {
			t.Error("the new host takes its whole share at once")
		}
		time.Sleep(time.Minute)
		if n := f.members[hosts].ShareCount(); n != hosts+1 {
			t.Errorf("the new host divides shares by %d after a minute", n)
		}
	})
}
