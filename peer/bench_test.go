package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/membership"
)

// newMembershipWithPeers returns the membership of a host that counts hosts-2
// others.
func newMembershipWithPeers(b *testing.B, hosts int, addr netip.AddrPort) (*membership.Service, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	s, err := membership.New(membership.Options{
		Self:  membership.Member{Name: "entry-" + addr.String(), Addr: addr, FailureDomain: "scot-central-a"},
		Table: fake.NewTable(), Clock: clock,
	})
	if err != nil {
		b.Fatal(err)
	}
	var others []membership.Member
	for i := range hosts - 2 {
		others = append(others, membership.Member{
			Name: fmt.Sprintf("entry-%03d", i), Addr: addr, FailureDomain: "scot-central-a",
			Incarnation: uint64(clock.Now().UnixMilli()), Heartbeat: 1000, State: membership.Live,
		})
	}
	s.HandlePeerUpdate(membership.PeerUpdate{Members: others})
	return s, clock
}

// warmUp makes two hosts known to each other, advances their clocks until the
// changes are no longer sent, and gives each as many recent heartbeats as it
// would have in a deployment.
func warmUp(b *testing.B, near, far *benchHost, hosts int) {
	near.exchange(context.Background(), far.members.Self().Addr)
	timing := membership.DefaultTiming()
	for _, h := range []*benchHost{near, far} {
		h.clock.Advance(timing.GossipPeriod + time.Second)
		var heartbeats []membership.HeartbeatUpdate
		recent := float64(hosts) * (timing.GossipPeriod / 3).Seconds() / timing.HeartbeatInterval(hosts).Seconds()
		for _, m := range h.members.Members()[:min(int(recent), hosts-1)] {
			heartbeats = append(heartbeats, membership.HeartbeatUpdate{ID: m.ID(), Heartbeat: 2000})
		}
		h.members.HandlePeerUpdate(membership.PeerUpdate{Heartbeats: heartbeats})
	}
	if near.members.Digest(0, 0).Hash != far.members.Digest(0, 0).Hash {
		b.Fatal("hosts disagree about the members")
	}
}

type benchHost struct {
	*Node
	members *membership.Service
	clock   *clockwork.FakeClock
}

func benchNode(b *testing.B, hosts, loads int) *benchHost {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	addr := netip.MustParseAddrPort(ln.Addr().String())
	members, clock := newMembershipWithPeers(b, hosts, addr)
	n, err := NewNode(Options{
		Members: members, Loads: &rotatingLoads{loads: testLoads(loads)},
		Token: "0123456789abcdef", BytesPerSecond: 1 << 40, LoadsPerMessage: loads,
	})
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = n.Serve(ln) }()
	b.Cleanup(func() {
		n.clients.close()
		_ = n.server.Close()
	})
	return &benchHost{Node: n, members: members, clock: clock}
}

// BenchmarkSync measures one exchange with its response: the CPU time of both
// sides, and the bytes that the connection carried.
func BenchmarkSync(b *testing.B) {
	for _, hosts := range []int{2, 19, 100, 300} {
		for _, loads := range []int{12, 60, 300, 1200} {
			b.Run(fmt.Sprintf("hosts=%d/figures=%d", hosts, loads), func(b *testing.B) {
				near, far := benchNode(b, hosts, loads), benchNode(b, hosts, loads)
				warmUp(b, near, far, hosts)
				addr := far.members.Self().Addr
				near.exchange(context.Background(), addr)
				sent := testutil.ToFloat64(near.metrics.bytesOut) + testutil.ToFloat64(near.metrics.bytesIn)
				busy := cpuTime(b)
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					near.exchange(context.Background(), addr)
				}
				b.StopTimer()
				carried := testutil.ToFloat64(near.metrics.bytesOut) + testutil.ToFloat64(near.metrics.bytesIn) - sent
				b.ReportMetric(carried/float64(b.N), "B/exchange")
				b.ReportMetric(float64((cpuTime(b)-busy).Microseconds())/float64(b.N), "cpu-µs/exchange")
			})
		}
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
