package peer

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/membership"
)

// drainLog records when a host learned of each draining target.
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

func (d *drainLog) MarkDraining(now time.Time, target netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.at[target]; !known {
		d.at[target] = now
	}
	return true
}

// adoptingConfig is a TableSource that adopts every higher version that a peer
// reports.
type adoptingConfig struct{ version atomic.Uint64 }

func (a *adoptingConfig) HandlePeerVersion(_ string, version uint64) {
	for {
		own := a.version.Load()
		if version <= own || a.version.CompareAndSwap(own, version) {
			return
		}
	}
}
func (a *adoptingConfig) EncodedTables() ([]byte, uint64) { return nil, a.version.Load() }

// rotatingLoads is a fixed set of loads, sent in rotation.
type rotatingLoads struct {
	mu    sync.Mutex
	loads []lb.TargetLoad
	next  int
}

func (l *rotatingLoads) Outgoing(_ time.Time, limit int) []lb.TargetLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []lb.TargetLoad{}
	for range min(limit, len(l.loads)) {
		out = append(out, l.loads[l.next%len(l.loads)])
		l.next++
	}
	return out
}
func (l *rotatingLoads) Incoming(time.Time, string, []lb.TargetLoad) {}

func testLoads(n int) []lb.TargetLoad {
	out := make([]lb.TargetLoad, 0, n)
	for i := range n {
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], 0x0a000000+uint32(i)*7)
		out = append(out, lb.TargetLoad{
			Target: netip.AddrPortFrom(netip.AddrFrom4(b), 9001), InFlight: i % 3, Reported: i % 5,
			Latency: time.Duration(i%40+1) * time.Millisecond, Age: time.Duration(i%900) * time.Millisecond,
		})
	}
	return out
}

// cluster is a number of hosts with real memberships over one fake table
// service.
type cluster struct {
	ctx     context.Context
	configs []*adoptingConfig
	seeds   []netip.AddrPort
	change  []func(*Options)
	table   *fake.Table
	members []*membership.Service
	net     *pipeNetwork
	nodes   []*Node
	drains  []*drainLog
	stop    context.CancelFunc
	runs    sync.WaitGroup
}

func startCluster(t testing.TB, hosts, loads int, change ...func(*Options)) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	f := &cluster{ctx: ctx, table: fake.NewTable(), net: &pipeNetwork{listeners: map[string]*pipeListener{}}, stop: cancel, change: change}
	const hostsPerSeed = 20
	for i := range 1 + hosts/hostsPerSeed {
		f.seeds = append(f.seeds, addrOf(i))
	}
	for range hosts {
		f.start(t, loads)
	}
	return f
}

// addrOf returns the address of the i-th host.
func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7003)
}

// start adds a host that has the addresses of the seeds.
func (f *cluster) start(t testing.TB, loads int) {
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
	config := &adoptingConfig{}
	f.configs = append(f.configs, config)
	opt := Options{
		Members: members, Drains: drains, Config: config, Loads: &rotatingLoads{loads: testLoads(loads)}, Token: "0123456789abcdef",
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

func (f *cluster) close() {
	f.stop()
	for _, n := range f.nodes {
		_ = n.server.Close()
	}
	f.runs.Wait()
	for _, n := range f.nodes {
		n.clients.close()
	}
}

// bytes returns the bytes that each host has carried since the counts in since,
// which may be nil: the highest, the mean, and the counts now.
func (f *cluster) bytes(since []float64) (highest, mean float64, counts []float64) {
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

// drainPropagationTime announces a draining target at one host and returns the
// time until the last host learned of it.
func (f *cluster) drainPropagationTime(t testing.TB, within time.Duration) time.Duration {
	draining := target("10.0.0.1:9001")
	start := time.Now()
	f.nodes[0].AnnounceDrain(draining)
	time.Sleep(within)
	synctest.Wait()
	var last time.Duration
	for i, d := range f.drains[1:] {
		at, ok := d.learnedAt(draining)
		if !ok {
			t.Fatalf("host %d has not learned of the draining target after %v", i+1, within)
		}
		last = max(last, at.Sub(start))
	}
	return last
}
