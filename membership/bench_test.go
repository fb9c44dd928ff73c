package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

func newCoreWithPeers(hosts int) (*Core, []HeartbeatUpdate) {
	c := NewCore(CoreOptions{Self: hostNamed(0), Timing: DefaultTiming(), Seed: 1}, epoch)
	members, heartbeats := make([]Member, 0, hosts), make([]HeartbeatUpdate, 0, hosts)
	for i := 1; i < hosts; i++ {
		m := hostNamed(i)
		m.Name = fmt.Sprintf("entry-%04d", i)
		m.Heartbeat = 1
		members = append(members, m)
		heartbeats = append(heartbeats, HeartbeatUpdate{ID: m.ID(), Heartbeat: 2})
	}
	c.HandlePeerUpdate(epoch, epoch, members, nil)
	return c, heartbeats
}

// BenchmarkHandlePeerUpdate measures merging a message of 64 heartbeats, and
// the memory that a Core takes for each host.
func BenchmarkHandlePeerUpdate(b *testing.B) {
	for _, hosts := range []int{19, 100, 300, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c, heartbeats := newCoreWithPeers(hosts)
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := epoch
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				message := heartbeats[:min(64, len(heartbeats))]
				for j := range message {
					message[j].Heartbeat = uint64(i + 3)
				}
				c.HandlePeerUpdate(now, now, nil, message)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(hosts), "B/host")
		})
	}
}

// BenchmarkDigest measures computing the membership content of a message to a
// peer.
func BenchmarkDigest(b *testing.B) {
	for _, hosts := range []int{19, 100, 300, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			c, _ := newCoreWithPeers(hosts)
			now := epoch.Add(time.Minute)
			for range b.N {
				_, _, _ = c.Hash(), c.RecentChanges(now, 16), c.RecentHeartbeats(now, 64)
			}
		})
	}
}
