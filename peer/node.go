package peer

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/peer/peerpb"
)

// maxExchanges bounds the exchanges that this host has open at once.
const maxExchanges = 16

// Node exchanges what this host knows with its peers. It is safe for
// concurrent use.
type Node struct {
	opt      Options
	budget   *budget
	drains   *drainBook
	versions *versionBook
	clients  *clients
	server   *http.Server
	metrics  *metrics
	wake     chan struct{}
	slots    chan struct{}
	// version is that of the tables when it was last looked at.
	version atomic.Uint64
	// lastFull is when all members were last sent, in nanoseconds.
	lastFull atomic.Int64
	// lastRound is when a round last met a peer, in nanoseconds.
	lastRound atomic.Int64
}

// NewNode returns a Node; Serve answers peers and Run meets them.
func NewNode(opt Options) (*Node, error) {
	opt.setDefaults()
	if err := opt.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		opt: opt, drains: newDrainBook(), versions: newVersionBook(),
		budget:  newBudget(opt.BytesPerSecond, opt.Clock.Now()),
		metrics: newMetrics(),
		wake:    make(chan struct{}, 1), slots: make(chan struct{}, maxExchanges),
	}
	n.clients = newClients(n)
	n.server = newServer(n)
	if err := n.metrics.register(opt.Registerer); err != nil {
		return nil, err
	}
	return n, nil
}

// Run meets peers until the context ends.
func (n *Node) Run(ctx context.Context) error {
	ticker := n.opt.Clock.NewTicker(n.opt.Interval)
	defer ticker.Stop()
	defer n.clients.close()
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.wake:
			n.meet(ctx, &open, n.newsPeers())
		case <-ticker.Chan():
			if n.versionGrew() {
				n.meet(ctx, &open, n.newsPeers())
			} else if n.roundDue(n.opt.Clock.Now()) {
				n.meet(ctx, &open, n.opt.Members.Peers(n.opt.FanOut))
			}
		}
	}
}

// versionGrew reports whether the tables have a later version than when it was
// last asked, which is news to pass on.
func (n *Node) versionGrew() bool {
	if n.opt.Config == nil {
		return false
	}
	_, version := n.opt.Config.Encoded()
	return n.version.Swap(version) < version
}

// Push passes on what this host knows at once, in place of waiting for the
// next round. A later version of the tables is noticed without it.
func (n *Node) Push() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// AnnounceDrain spreads the news that a target takes no new work.
func (n *Node) AnnounceDrain(target netip.AddrPort) {
	if n.drains.learn(n.opt.Clock.Now(), drain{target: unmap(target)}) {
		n.Push()
	}
}

// roundDue reports whether the budget allows a round. However short the budget,
// a peer is met every few seconds, so that heartbeats pass.
func (n *Node) roundDue(now time.Time) bool {
	const longestGap = 4 * time.Second
	if n.budget.left(now) > 0 || now.UnixNano()-n.lastRound.Load() >= int64(longestGap) {
		n.lastRound.Store(now.UnixNano())
		return true
	}
	n.metrics.skippedRounds.Inc()
	return false
}

// newsPeers chooses the peers that news is passed on to: random ones, and the
// next host in order of name. Random ones alone miss a host now and then,
// which then waits for its own round; along the ring every host is told.
func (n *Node) newsPeers() []membership.Member {
	peers := n.opt.Members.Peers(n.opt.PushFanOut)
	next, ok := successor(n.opt.Members.Self().Name, n.opt.Members.Members())
	if !ok || slices.ContainsFunc(peers, func(m membership.Member) bool { return m.Name == next.Name }) {
		return peers
	}
	return append(peers[:min(len(peers), max(n.opt.PushFanOut-1, 0))], next)
}

// successor returns the live host that follows a name in a ring of all names.
func successor(name string, members []membership.Member) (membership.Member, bool) {
	others := lo.Filter(members, func(m membership.Member, _ int) bool {
		return m.Name != name && m.State == membership.Live
	})
	byName := func(a, b membership.Member) bool { return a.Name < b.Name }
	after := lo.Filter(others, func(m membership.Member, _ int) bool { return m.Name > name })
	if len(after) > 0 {
		return lo.MinBy(after, byName), true
	}
	return lo.MinBy(others, byName), len(others) > 0
}

// meet starts exchanges with peers, or with a seed while none is known.
func (n *Node) meet(ctx context.Context, open *sync.WaitGroup, peers []membership.Member) {
	addrs := lo.Map(peers, func(m membership.Member, _ int) netip.AddrPort { return m.Addr })
	if len(addrs) == 0 && n.opt.Seeds != nil {
		addrs = lo.Samples(n.opt.Seeds(), n.opt.FanOut)
	}
	for _, addr := range addrs {
		if addr == n.opt.Members.Self().Addr {
			continue
		}
		select {
		case n.slots <- struct{}{}:
		default:
			n.metrics.exchanges.WithLabelValues("no_slot").Inc()
			return
		}
		open.Go(func() {
			defer func() { <-n.slots }()
			n.exchange(ctx, addr)
		})
	}
}

// exchange syncs with one peer.
func (n *Node) exchange(ctx context.Context, addr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, n.opt.Timeout)
	defer cancel()
	sent := n.opt.Clock.Now()
	request := n.compose(sent, n.opt.FiguresPerMessage, false)
	reply, err := n.clients.get(addr).Sync(ctx, request.encode())
	if err != nil {
		n.metrics.exchanges.WithLabelValues("failed").Inc()
		return
	}
	m, err := decode(reply)
	if err != nil {
		n.metrics.refused.Inc()
		return
	}
	n.metrics.exchanges.WithLabelValues("ok").Inc()
	n.take(m, sent)
}

// compose returns the message to send now with up to figures figures; full
// adds all members.
func (n *Node) compose(now time.Time, figures int, full bool) message {
	const (
		mostChanges     = 16
		leastChanges    = 4
		beatsPerMessage = 64
	)
	changes := max(n.budget.part(now, mostChanges), leastChanges)
	digest := n.opt.Members.Digest(changes, beatsPerMessage)
	m := message{
		from: digest.Self.Name, membersHash: digest.Hash,
		members: digest.Changes, beats: digest.Heartbeats, drains: n.drains.current(now),
		figuresWanted: n.budget.part(now, n.opt.FiguresPerMessage),
	}
	if full {
		m.members = n.opt.Members.Members()
	}
	if n.opt.Config != nil {
		_, m.version = n.opt.Config.Encoded()
	}
	if limit := min(figures, m.figuresWanted); n.opt.Figures != nil && limit > 0 {
		m.figures = n.opt.Figures.Outgoing(now, limit)
	}
	return m
}

// take merges a message. sent is when this host sent the request that it
// answers, zero when the message is a request.
func (n *Node) take(m message, sent time.Time) {
	now := n.opt.Clock.Now()
	news := n.opt.Members.HandlePeerUpdate(membership.PeerUpdate{RequestSentAt: sent, Members: m.members, Heartbeats: m.beats})
	for _, d := range m.drains {
		if !n.drains.learn(now, d) {
			continue
		}
		news = true
		if n.opt.Drains != nil {
			n.opt.Drains.Leaving(now, d.target)
		}
	}
	if n.opt.Figures != nil && len(m.figures) > 0 {
		n.opt.Figures.Incoming(now, m.from, m.figures)
	}
	n.versions.heard(m.from, m.version, now)
	if n.opt.Config != nil {
		n.opt.Config.Heard(m.from, m.version)
	}
	if news {
		n.Push()
	}
}

// answer returns the reply to a peer's message.
func (n *Node) answer(m message) *peerpb.SyncMessage {
	now := n.opt.Clock.Now()
	n.take(m, time.Time{})
	own := n.opt.Members.Digest(0, 0)
	full := own.Hash != m.membersHash && n.fullDue(now)
	reply := n.compose(now, m.figuresWanted, full)
	return reply.encode()
}

// fullDue reports whether all members may be sent again; the gap grows with
// their number.
func (n *Node) fullDue(now time.Time) bool {
	const gapPerMember = 50 * time.Millisecond
	gap := max(time.Duration(len(n.opt.Members.Members()))*gapPerMember, n.opt.Interval)
	last := n.lastFull.Load()
	if now.UnixNano()-last < int64(gap) {
		return false
	}
	return n.lastFull.CompareAndSwap(last, now.UnixNano())
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
