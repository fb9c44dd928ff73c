package peer

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"
)

// Two halves of the hosts are disconnected from each other while the table
// service is down. Both must keep counting every host in their shares, and list
// each other again once reconnected.
func TestDisconnectedHalvesKeepTheirShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 6
		f := startCluster(t, hosts, 12)
		defer f.close()
		time.Sleep(30 * time.Second)
		half := func(addr string) int { return int(netip.MustParseAddrPort(addr).Addr().As4()[3]) / (hosts / 2) }
		f.table.SetDown(true)
		f.net.setCut(func(from, to string) bool { return half(from) != half(to) })
		time.Sleep(10 * time.Minute)
		for i, m := range f.members {
			if n := m.ShareDivisor(); n != hosts {
				t.Errorf("host %d divides shares by %d while cut off", i, n)
			}
			if n := len(m.LiveHosts()); n != hosts/2 {
				t.Errorf("host %d believes %d hosts live while cut off", i, n)
			}
		}
		f.net.setCut(nil)
		time.Sleep(time.Minute)
		for i, m := range f.members {
			if n := len(m.LiveHosts()); n != hosts {
				t.Errorf("host %d believes %d hosts live after the cut", i, n)
			}
		}
		f.drainPropagationTime(t, 2*time.Second)
	})
}

// A host that stops must not be listed as live anywhere after a second, and
// must not count in the shares once it is gone.
func TestPlannedStopIsPropagatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 19
		f := startCluster(t, hosts, 12)
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
				if n := len(m.LiveHosts()); n != hosts-1 {
					t.Errorf("host %d lists %d hosts, gone %v", i+1, n, gone)
				}
				want := hosts
				if gone {
					want--
				}
				if n := m.ShareDivisor(); n != want {
					t.Errorf("host %d divides shares by %d, gone %v", i+1, n, gone)
				}
			}
		}
	})
}

// A host that starts while the table service is down must learn of all hosts
// from the seed whose address it has, and they of it.
func TestHostStartedDuringAnOutageIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 5
		f := startCluster(t, hosts, 12)
		defer f.close()
		time.Sleep(30 * time.Second)
		f.table.SetDown(true)
		f.start(t, 12)
		time.Sleep(2 * time.Second)
		for i, m := range f.members {
			if n := len(m.LiveHosts()); n != hosts+1 {
				t.Errorf("host %d lists %d hosts", i, n)
			}
		}
		if f.members[hosts].ShareDivisor() <= hosts+1 {
			t.Error("the new host takes its whole share at once")
		}
		time.Sleep(time.Minute)
		if n := f.members[hosts].ShareDivisor(); n != hosts+1 {
			t.Errorf("the new host divides shares by %d after a minute", n)
		}
	})
}
