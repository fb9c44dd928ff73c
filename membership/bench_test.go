package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

func coreOf(hosts int) (*Core, []Beat) {
	c := NewCore(CoreOptions{Self: hostNamed(0), Timing: DefaultTiming(), Seed: 1}, epoch)
	members, beats := make([]Member, 0, hosts), make([]Beat, 0, hosts)
	for i := 1; i < hosts; i++ {
		m := hostNamed(i)
		m.Name = fmt.Sprintf("entry-%04d", i)
		m.Heartbeat = 1
		members = append(members, m)
		beats = append(beats, Beat{ID: m.ID(), Heartbeat: 2})
	}
	c.Heard(epoch, epoch, members, nil)
	return c, beats
}

// BenchmarkHeard measures taking in a message of 64 heartbeats, and the memory
// that the state takes.
func BenchmarkHeard(b *testing.B) {
	for _, hosts := range []int{19, 100, 300, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c, beats := coreOf(hosts)
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := epoch
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				message := beats[:min(64, len(beats))]
				for j := range message {
					message[j].Heartbeat = uint64(i + 3)
				}
				c.Heard(now, now, nil, message)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(hosts), "B/host")
		})
	}
}

// BenchmarkDigest measures what a message to a peer takes from the state.
func BenchmarkDigest(b *testing.B) {
	for _, hosts := range []int{19, 100, 300, 1000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			c, _ := coreOf(hosts)
			now := epoch.Add(time.Minute)
			for range b.N {
				_, _, _ = c.Hash(), c.Changes(now, 16), c.Beats(now, 64)
			}
		})
	}
}
