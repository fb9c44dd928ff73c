package soak

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/vishvananda/netlink"
)

// hostCut is a cut of some hosts from all upstreams, while callers, the store and the
// other hosts still reach them.
type hostCut struct {
	hosts []*host
	// reset makes new connections fail at once; otherwise they hang.
	reset    bool
	from, to time.Time
	ended    chan struct{}
}

// names returns the names of the hosts.
func (c *hostCut) names() []string {
	return lo.Map(c.hosts, func(h *host, _ int) string { return h.name })
}

// cutHosts cuts hosts from all upstreams: one of them, or most. Open connections are
// reset, or live on with an odd selector.
func (d *Deployment) cutHosts(e Event) {
	cut := &hostCut{reset: e.Selector%3 == 0, from: time.Now(), ended: make(chan struct{})}
	n := 1
	if e.Selector%4 >= 2 {
		n = max(1, len(d.hosts)*3/4)
	}
	for i := range n {
		cut.hosts = append(cut.hosts, d.hosts[(e.Selector+i)%len(d.hosts)])
	}
	d.mu.Lock()
	d.cuts = append(d.cuts, cut)
	relays := lo.Map(d.upstreams, func(u *relayedUpstream, _ int) *Relay { return u.relay })
	d.mu.Unlock()
	if e.Selector%2 == 0 {
		for _, r := range relays {
			r.resetClients(func(client, relay netip.AddrPort) bool {
				return lo.Contains(cut.hosts, d.owners.find(d.hosts, client, relay))
			})
		}
	}
	time.Sleep(bounds.settleTime + e.Duration)
	d.mu.Lock()
	cut.to = time.Now()
	d.mu.Unlock()
	close(cut.ended)
	// Requests in flight at the start of the cut may be lost.
	d.recordImpact(Impact{Kind: e.Kind, Upstreams: true, From: cut.from, To: cut.to})
}

// admitAtUpstream holds back or refuses the connections of hosts that are cut off.
func (d *Deployment) admitAtUpstream(client, relay netip.AddrPort) bool {
	for {
		d.mu.Lock()
		active := lo.Filter(d.cuts, func(c *hostCut, _ int) bool { return c.to.IsZero() })
		d.mu.Unlock()
		if len(active) == 0 {
			return true
		}
		owner := d.owners.find(d.hosts, client, relay)
		cut, found := lo.Find(active, func(c *hostCut) bool { return lo.Contains(c.hosts, owner) })
		if !found {
			return true
		}
		if cut.reset {
			return false
		}
		<-cut.ended
	}
}

// socketOwners finds the host whose process has a socket. Its lock makes connections
// that arrive together share one look at the processes.
type socketOwners struct {
	mu     sync.Mutex
	lookAt time.Time
	owners map[string]*host
}

// find returns the host that has the client's end of a connection, nil if none has.
func (o *socketOwners) find(hosts []*host, client, relay netip.AddrPort) *host {
	arrived := time.Now()
	socket, err := netlink.SocketGet(net.TCPAddrFromAddrPort(client), net.TCPAddrFromAddrPort(relay))
	if err != nil {
		// The connection has ended.
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lookAt.Before(arrived) {
		o.lookAt, o.owners = time.Now(), map[string]*host{}
		for _, h := range hosts {
			for _, link := range openFiles(h.pid()) {
				o.owners[link] = h
			}
		}
	}
	return o.owners[fmt.Sprintf("socket:[%d]", socket.INode)]
}

// openFiles returns what the file descriptors of a process refer to.
func openFiles(pid int) []string {
	dir := fmt.Sprintf("/proc/%d/fd/", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		// The process has ended.
		return nil
	}
	return lo.FilterMap(files, func(file os.DirEntry, _ int) (string, bool) {
		to, err := os.Readlink(dir + file.Name())
		return to, err == nil
	})
}

// wasCut reports whether a host was cut off from the upstreams around two times:
// another host then sent its requests, and heard what the upstreams said.
func (v *verifier) wasCut(host string, from, to time.Time) bool {
	return lo.SomeBy(v.cuts, func(c *hostCut) bool {
		return c.from.Before(to.Add(bounds.settleTime)) && c.to.After(from.Add(-bounds.settleTime)) &&
			lo.Contains(c.names(), host)
	})
}

// verifyCuts checks that the callers of hosts that were cut off from the upstreams are
// served like the others while nothing else is wrong.
func (v *verifier) verifyCuts() {
	for _, cut := range v.cuts {
		from := cut.from.Add(bounds.settleTime)
		if v.disturbed(cut) {
			continue
		}
		others := lo.FlatMap(v.cuts, func(c *hostCut, _ int) []string {
			return lo.Ternary(c.from.Before(cut.to) && c.to.After(cut.from), c.names(), nil)
		})
		tries := lo.Filter(v.results, func(r RequestResult, _ int) bool {
			return r.Sent.After(from) && r.Sent.Before(cut.to) && !r.turnedAway()
		})
		at := lo.Filter(tries, func(r RequestResult, _ int) bool { return lo.Contains(cut.names(), r.Host) })
		elsewhere := lo.Reject(tries, func(r RequestResult, _ int) bool { return lo.Contains(others, r.Host) })
		failed := lo.CountBy(at, func(r RequestResult) bool { return !r.Correct })
		if len(elsewhere) > 0 && servedShare(at) < bounds.minCutShare*servedShare(elsewhere) && failed > maxCutFailures+len(tries)/50 {
			v.addViolation("cut", "hosts that were cut off from the upstreams at %s served %.2f of %d requests, the others %.2f of %d",
				v.secondsSinceStart(cut.from), servedShare(at), len(at), servedShare(elsewhere), len(elsewhere))
		}
	}
}

// disturbed reports whether something else than a cut or a graceful stop happened
// during a cut.
func (v *verifier) disturbed(cut *hostCut) bool {
	return lo.SomeBy(v.impacts, func(i Impact) bool {
		return i.Kind != HostCut && i.Kind != KeyWithdrawalAtCut && i.From.Before(cut.to) && i.To.After(cut.from.Add(-bounds.settleTime))
	})
}

func servedShare(results []RequestResult) float64 {
	return float64(lo.CountBy(results, func(r RequestResult) bool { return r.Correct })) / float64(max(len(results), 1))
}
