package storesync

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/roster"
)

const (
	// strongLink is what a host sends and receives unless set otherwise, in bytes a
	// second.
	strongLink  = 25e6
	linkLatency = 500 * time.Microsecond
	// closedPortDelay is how long a connection attempt to a dead host takes.
	closedPortDelay = snapshotDialTimeout
)

// MemoryNetwork connects hosts in memory under the virtual time of testing/synctest.
type MemoryNetwork struct {
	mu     sync.Mutex
	byAddr map[netip.AddrPort]*MemoryHost
}

// MemoryHost is a host of a MemoryNetwork; its state is guarded by MemoryNetwork.mu.
type MemoryHost struct {
	network  *MemoryNetwork
	self     roster.Host
	link     float64
	follower *Follower
	stop     func()
	packets  chan packet
	alive    bool
	// sendFree and receiveFree are when the link has sent and received everything.
	sendFree, receiveFree time.Time
	sentBytes             int
	largeTransfers        int
}

type packet struct {
	data []byte
	from netip.AddrPort
}

// AddHost adds a host that is not started yet and gives it an address.
func (n *MemoryNetwork) AddHost(self roster.Host) *MemoryHost {
	i := len(n.byAddr)
	self.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(i%250 + 1)}), 7000)
	h := &MemoryHost{network: n, self: self, link: strongLink}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byAddr == nil {
		n.byAddr = map[netip.AddrPort]*MemoryHost{}
	}
	n.byAddr[self.Addr] = h
	return h
}

// Self returns the host with its address.
func (h *MemoryHost) Self() roster.Host { return h.self }

// Start runs a follower with the given options; those that connect it with the network
// are set here.
func (h *MemoryHost) Start(o Options) *Follower {
	conn := memoryConn{h, make(chan packet, 4096), make(chan struct{})}
	o.Node = lo.Must(hostmsg.New(zap.NewNop(), nil))
	o.Node.Use(conn)
	o.Clock, o.Logger = clockwork.NewRealClock(), zap.NewNop()
	f := lo.Must(New(o))
	f.fetchBody = h.fetch
	ctx, cancel := context.WithCancel(context.Background())
	h.network.mu.Lock()
	h.alive, h.packets, h.follower = true, conn.packets, f
	h.stop = func() { cancel(); _ = o.Node.Close() }
	h.network.mu.Unlock()
	go func() { _ = o.Node.Run() }()
	go f.Run(ctx)
	return f
}

// Stop ends the host as a failure does, without a word to the others. It does nothing
// for a host that does not run.
func (h *MemoryHost) Stop() {
	h.network.mu.Lock()
	alive := h.alive
	h.alive = false
	h.network.mu.Unlock()
	if alive {
		h.stop()
	}
}

// Stop stops all hosts and returns when none waits for the store any more.
func (n *MemoryNetwork) Stop() {
	for _, h := range n.byAddr {
		h.Stop()
	}
	time.Sleep(5 * time.Second)
}

// transfer returns how long it takes to send bytes from one host to another, each
// link one transfer after the other; from is nil for the store. The caller holds mu.
func (h *MemoryHost) transfer(from *MemoryHost, bytes int) time.Duration {
	now, done := time.Now(), time.Time{}
	take := func(free *time.Time, link float64) {
		*free = lo.Ternary(free.After(now), *free, now).Add(time.Duration(float64(bytes) / link * float64(time.Second)))
		done = lo.Ternary(free.After(done), *free, done)
	}
	take(&h.receiveFree, h.link)
	if from != nil {
		take(&from.sendFree, from.link)
		from.sentBytes += bytes
	}
	return done.Sub(now)
}

// transferInParts takes the time to send bytes in parts, between which others pass.
func (h *MemoryHost) transferInParts(from *MemoryHost, bytes int) {
	const part = 16 << 10
	for ; bytes > 0; bytes -= part {
		h.network.mu.Lock()
		took := h.transfer(from, min(bytes, part))
		h.network.mu.Unlock()
		time.Sleep(took)
	}
}

// snapshot returns an encoded snapshot for a host that has the given versions.
func (f *Follower) snapshot(has peerVersions) ([]byte, error) {
	parts, err := f.snapshotParts(has)
	return slices.Concat(parts...), err
}

// fetch stands in for requestSnapshot.
func (h *MemoryHost) fetch(addr netip.AddrPort, has peerVersions) ([]byte, error) {
	n := h.network
	n.mu.Lock()
	from := n.byAddr[addr]
	up := from != nil && from.alive && from.follower != nil
	n.mu.Unlock()
	if !up {
		time.Sleep(closedPortDelay)
		return nil, errHostUnreachable
	}
	time.Sleep(2 * linkLatency)
	body, err := from.follower.snapshot(has)
	if err != nil {
		return nil, err
	}
	large := len(body) > largeSnapshotBytes
	n.mu.Lock()
	if large && from.largeTransfers == maxLargeSnapshots {
		n.mu.Unlock()
		return nil, errHostBusy
	}
	from.largeTransfers += lo.Ternary(large, 1, 0)
	n.mu.Unlock()
	h.transferInParts(from, len(body))
	n.mu.Lock()
	defer n.mu.Unlock()
	from.largeTransfers -= lo.Ternary(large, 1, 0)
	return body, nil
}

// memoryConn is the hostmsg.PacketConn of a host.
type memoryConn struct {
	host    *MemoryHost
	packets chan packet
	closed  chan struct{}
}

func (c memoryConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.host.self.Addr) }
func (c memoryConn) Close() error        { close(c.closed); return nil }

func (c memoryConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case p := <-c.packets:
		return copy(b, p.data), p.from, nil
	case <-c.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (c memoryConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	n := c.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	c.host.sentBytes += len(b)
	if dst := n.byAddr[to]; dst != nil && dst.alive {
		p, queue := packet{slices.Clone(b), c.host.self.Addr}, dst.packets
		time.AfterFunc(linkLatency, func() {
			select {
			case queue <- p:
			default:
			}
		})
	}
	return len(b), nil
}
