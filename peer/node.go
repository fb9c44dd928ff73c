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

// maxExchanges is the maximum number of exchanges that this host has in
// progress at once.
const maxExchanges = 16

// rejectionReserve is the level of the byte budget, as a fraction of its capacity, down
// to which news of rejections is pushed: below the level at which rounds are skipped,
// and above that of an overloaded pool which has news all the time.
const rejectionReserve = -0.5

// Node exchanges this host's state with its peers. It is safe for concurrent
// use.
type Node struct {
	opt    Options
	budget *budget
	drains *recentDrains
	// unsupported are the hosts that do not know the message about rejections.
	unsupported unsupported
	versions    *peerVersions
	clients     *clients
	server      *http.Server
	metrics     *metrics
	// messageKeys is nil unless messages are sealed.
	messageKeys atomic.Pointer[MessageKeys]
	// wake makes Run push this host's state, rejectionNews its reports of targets that
	// reject all requests.
	wake, rejectionNews chan struct{}
	// exchangeSlots has one element for each exchange in progress.
	exchangeSlots chan struct{}
	// version is the version of the tables that versionAdvanced last saw.
	version atomic.Uint64
	// lastFullMembers is when a message with all members was last sent, in
	// nanoseconds since 1970.
	lastFullMembers atomic.Int64
	// lastRound is when a round last contacted a peer, in nanoseconds since
	// 1970.
	lastRound atomic.Int64
}

// NewNode returns a Node. Its Serve answers peers, and its Run contacts them.
// It fails when an option is invalid or the metrics can't be registered.
func NewNode(opt Options) (*Node, error) {
	opt.setDefaults()
	if err := opt.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		opt: opt, drains: newRecentDrains(), versions: newPeerVersions(),
		budget:  newBudget(opt.BytesPerSecond, opt.Clock.Now()),
		metrics: newMetrics(),
		wake:    make(chan struct{}, 1), rejectionNews: make(chan struct{}, 1), exchangeSlots: make(chan struct{}, maxExchanges),
	}
	n.clients = newClients(n)
	n.server = newServer(n)
	if err := n.metrics.register(opt.Registerer); err != nil {
		return nil, err
	}
	return n, nil
}

// Run contacts peers until the context ends. It returns nil after the exchanges
// in progress have ended.
func (n *Node) Run(ctx context.Context) error {
	ticker := n.opt.Clock.NewTicker(n.opt.Interval)
	defer ticker.Stop()
	defer n.clients.close()
	var open sync.WaitGroup
	defer open.Wait()
	rejectionNews := n.rejectionNews
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.wake:
			n.startExchanges(ctx, &open, n.pushPeers(), n.exchange)
		case <-rejectionNews:
			// Once in an interval, as an overloaded pool may have news all the time.
			rejectionNews = nil
			n.startExchanges(ctx, &open, n.pushPeers(), n.exchangeRejections)
		case <-ticker.Chan():
			if n.budget.remaining(n.opt.Clock.Now()) > rejectionReserve {
				rejectionNews = n.rejectionNews
			}
			if n.versionAdvanced() {
				n.startExchanges(ctx, &open, n.pushPeers(), n.exchange)
			} else if n.roundDue(n.opt.Clock.Now()) {
				n.startExchanges(ctx, &open, n.opt.Members.Peers(n.opt.FanOut), n.exchange)
			}
		}
	}
}

// versionAdvanced reports whether the version of the tables is higher than at
// the last call, which is news to push.
func (n *Node) versionAdvanced() bool {
	if n.opt.Config == nil {
		return false
	}
	_, version := n.opt.Config.EncodedTables()
	return n.version.Swap(version) < version
}

// Push sends this host's state to some peers at once instead of in the next
// round. Run detects a new version of the tables without it.
func (n *Node) Push() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// PushRejections tells some peers at once of targets that reject all requests.
func (n *Node) PushRejections() {
	select {
	case n.rejectionNews <- struct{}{}:
	default:
	}
}

// AnnounceDrain tells the peers that a target accepts no new requests.
func (n *Node) AnnounceDrain(target netip.AddrPort) {
	if n.drains.record(n.opt.Clock.Now(), drain{target: unmap(target)}) {
		n.Push()
	}
}

// roundDue reports whether the budget allows a round. At least every 4 s a peer
// is contacted even if it does not, so that heartbeats still get through.
func (n *Node) roundDue(now time.Time) bool {
	const maxRoundGap = 4 * time.Second
	if n.budget.remaining(now) > 0 || now.UnixNano()-n.lastRound.Load() >= int64(maxRoundGap) {
		n.lastRound.Store(now.UnixNano())
		return true
	}
	n.metrics.skippedRounds.Inc()
	return false
}

// pushPeers returns the peers to push news to: random ones and the next host in
// the ring of names. Random peers alone miss a host now and then, which would
// learn the news only in a round of its own; with the ring, news reaches every
// host.
func (n *Node) pushPeers() []membership.Member {
	peers := n.opt.Members.Peers(n.opt.PushFanOut)
	next, ok := successor(n.opt.Members.Self().Name, n.opt.Members.Members())
	if !ok || slices.ContainsFunc(peers, func(m membership.Member) bool { return m.Name == next.Name }) {
		return peers
	}
	return append(peers[:min(len(peers), max(n.opt.PushFanOut-1, 0))], next)
}

// successor returns the live host that follows a name in the ring of the hosts'
// names in alphabetical order; ok is false when there is no other live host.
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

// startExchanges starts exchanges with peers, or with seeds while no peer is
// known.
func (n *Node) startExchanges(ctx context.Context, open *sync.WaitGroup, peers []membership.Member, exchange func(context.Context, netip.AddrPort)) {
	addrs := lo.Map(peers, func(m membership.Member, _ int) netip.AddrPort { return m.Addr })
	if len(addrs) == 0 && n.opt.Seeds != nil {
		addrs = lo.Samples(n.opt.Seeds(), n.opt.FanOut)
	}
	for _, addr := range addrs {
		if addr == n.opt.Members.Self().Addr {
			continue
		}
		select {
		case n.exchangeSlots <- struct{}{}:
		default:
			n.metrics.exchanges.WithLabelValues("no_slot").Inc()
			return
		}
		open.Go(func() {
			defer func() { <-n.exchangeSlots }()
			ctx, cancel := context.WithTimeout(ctx, n.opt.Timeout)
			defer cancel()
			exchange(ctx, addr)
		})
	}
}

// exchange sends a message to one peer and merges the response.
func (n *Node) exchange(ctx context.Context, addr netip.AddrPort) {
	sent := n.opt.Clock.Now()
	request := n.buildMessage(sent, n.opt.LoadsPerMessage, false)
	response, err := n.clients.get(addr).Sync(ctx, request.encode())
	if err != nil {
		n.metrics.exchanges.WithLabelValues("failed").Inc()
		return
	}
	m, err := decode(response)
	if err != nil {
		n.metrics.refused.Inc()
		return
	}
	n.metrics.exchanges.WithLabelValues("ok").Inc()
	n.merge(m, sent)
	n.exchangeRejections(ctx, addr)
}

// buildMessage returns the message to send now, with up to maxLoads loads. It
// contains all members when full is true, otherwise recently changed ones.
func (n *Node) buildMessage(now time.Time, maxLoads int, full bool) message {
	const (
		maxChanges           = 16
		minChanges           = 4
		heartbeatsPerMessage = 64
	)
	changes := max(n.budget.scale(now, maxChanges), minChanges)
	digest := n.opt.Members.Digest(changes, heartbeatsPerMessage)
	m := message{
		from: digest.Self.Name, membersHash: digest.Hash,
		members: digest.Changes, heartbeats: digest.Heartbeats, drains: n.drains.unexpired(now),
		loadsWanted: n.budget.scale(now, n.opt.LoadsPerMessage),
	}
	if full {
		m.members = n.opt.Members.Members()
	}
	if n.opt.Config != nil {
		_, m.version = n.opt.Config.EncodedTables()
	}
	if limit := min(maxLoads, m.loadsWanted); n.opt.Loads != nil && limit > 0 {
		m.loads = n.opt.Loads.Outgoing(now, limit)
	}
	return m
}

// merge merges a message into this host's state. sent is when this host sent
// the request that the message answers, zero when the message is itself a
// request.
func (n *Node) merge(m message, sent time.Time) {
	now := n.opt.Clock.Now()
	news := n.opt.Members.HandlePeerUpdate(membership.PeerUpdate{RequestSentAt: sent, Members: m.members, Heartbeats: m.heartbeats})
	for _, d := range m.drains {
		if !n.drains.record(now, d) {
			continue
		}
		news = true
		if n.opt.Drains != nil {
			n.opt.Drains.MarkDraining(now, d.target)
		}
	}
	if n.opt.Loads != nil && len(m.loads) > 0 {
		n.opt.Loads.Incoming(now, m.from, m.loads)
	}
	n.versions.record(m.from, m.version, now)
	if n.opt.Config != nil {
		n.opt.Config.HandlePeerVersion(m.from, m.version)
	}
	if news {
		n.Push()
	}
}

// answer merges a peer's message and returns the response. The response contains
// all members when the peer's differ and fullMembersDue allows it.
func (n *Node) answer(m message) *peerpb.SyncMessage {
	now := n.opt.Clock.Now()
	n.merge(m, time.Time{})
	own := n.opt.Members.Digest(0, 0)
	full := own.Hash != m.membersHash && n.fullMembersDue(now)
	response := n.buildMessage(now, m.loadsWanted, full)
	return response.encode()
}

// fullMembersDue reports whether a message with all members may be sent again.
// The time between two of them grows with the number of members.
func (n *Node) fullMembersDue(now time.Time) bool {
	const gapPerMember = 50 * time.Millisecond
	gap := max(time.Duration(len(n.opt.Members.Members()))*gapPerMember, n.opt.Interval)
	last := n.lastFullMembers.Load()
	if now.UnixNano()-last < int64(gap) {
		return false
	}
	return n.lastFullMembers.CompareAndSwap(last, now.UnixNano())
}

// unmap converts an IPv4 address that is mapped into IPv6.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
