package peer

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/membership"
)

func clusterSizes() []int {
	if os.Getenv("CHESTNUT_LARGE") != "" {
		return []int{2, 19, 60, 100, 300}
	}
	return []int{2, 19}
}

func TestDrainReachesAllHosts(t *testing.T) {
	for _, hosts := range clusterSizes() {
		synctest.Test(t, func(t *testing.T) {
			f := startCluster(t, hosts, 12)
			defer f.close()
			time.Sleep(20 * time.Second)
			took := f.drainPropagationTime(t, 2*time.Second)
			t.Logf("%d hosts: %v", hosts, took)
		})
	}
}

// News is pushed at once, so it must arrive even when the budget is spent and
// rounds are skipped.
func TestNewsIsPushedWhenTheBudgetIsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startCluster(t, 19, 12, func(o *Options) { o.BytesPerSecond = 300 })
		defer f.close()
		time.Sleep(time.Minute)
		t.Logf("19 hosts: %v", f.drainPropagationTime(t, 2*time.Second))
		f.configs[3].version.Store(7)
		time.Sleep(3 * time.Second)
		for i, c := range f.configs {
			if c.version.Load() != 7 {
				t.Errorf("host %d has not heard of the version after 3 s", i)
			}
		}
	})
}

// bytesLimit is the maximum number of bytes per second that a host's peer
// connections may carry.
const bytesLimit = 19_000

func TestBytesStayWithinTheBudget(t *testing.T) {
	const seconds = 40
	for _, hosts := range clusterSizes() {
		for _, loads := range []int{12, 120, 1200} {
			synctest.Test(t, func(t *testing.T) {
				f := startCluster(t, hosts, loads)
				defer f.close()
				time.Sleep(20 * time.Second)
				_, _, before := f.bytes(nil)
				time.Sleep(seconds * time.Second)
				highest, mean, _ := f.bytes(before)
				t.Logf("%d hosts, %d targets: mean %.0f B/s, highest host %.0f B/s", hosts, loads, mean/seconds, highest/seconds)
				if highest > bytesLimit*seconds {
					t.Errorf("%d hosts, %d targets: a host carried %.0f bytes a second", hosts, loads, highest/seconds)
				}
			})
		}
	}
}

// All hosts start at once and have the addresses of a twentieth of them.
func TestBytesStayWithinTheBudgetWhenAllHostsStart(t *testing.T) {
	const seconds = 20
	for _, hosts := range lo.Uniq(append(clusterSizes(), 60)) {
		synctest.Test(t, func(t *testing.T) {
			f := startCluster(t, hosts, 12)
			defer f.close()
			time.Sleep(seconds * time.Second)
			highest, mean, _ := f.bytes(nil)
			t.Logf("%d hosts: mean %.0f B/s, highest host %.0f B/s", hosts, mean/seconds, highest/seconds)
			if highest > bytesLimit*seconds {
				t.Errorf("%d hosts: a host carried %.0f bytes a second", hosts, highest/seconds)
			}
			for i, m := range f.members {
				if n := len(m.LiveHosts()); n != hosts {
					t.Errorf("host %d knows %d of %d hosts", i, n, hosts)
				}
			}
		})
	}
}

// The ring of names must reach every live host, whichever peers are chosen at
// random.
func TestSuccessorIsTheNextLiveHost(t *testing.T) {
	members := []membership.Member{
		{Name: "a", State: membership.Live}, {Name: "b", State: membership.Gone},
		{Name: "c", State: membership.Live}, {Name: "d", State: membership.Live},
	}
	for from, want := range map[string]string{"a": "c", "c": "d", "d": "a"} {
		if next, ok := successor(from, members); !ok || next.Name != want {
			t.Errorf("after %s: %q, want %q", from, next.Name, want)
		}
	}
	if next, ok := successor("a", members[:2]); ok {
		t.Errorf("a host that is alone has a successor: %q", next.Name)
	}
}
