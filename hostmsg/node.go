package hostmsg

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/internal/metric"
)

const (
	// MaxBytes is the size of the largest encoded message: it fits one Ethernet
	// packet together with the headers.
	MaxBytes = 1400
	// responseBuffer is the number of responses to one request that wait to be
	// received; further ones are dropped.
	responseBuffer = 16
)

// ErrTooLarge means that a message exceeds MaxBytes; nothing was sent.
var ErrTooLarge = errors.New("message exceeds 1400 bytes and is not sent")

// Kind selects the handler of a message. Each kind has its own type of body.
type Kind uint8

// envelope is a message as encoded in a packet.
type envelope struct {
	_ struct{} `cbor:",toarray"`
	// ID matches responses to their request; 0 marks a notification.
	ID       uint64
	Kind     Kind
	Response bool
	Body     cbor.RawMessage
}

// Sealer protects the packets of a Node. It must be safe for concurrent use.
type Sealer interface {
	// Seal returns a packet as it is sent to an address, at most maxSealBytes longer; ok
	// is false when it can't be sealed, and it then counts as lost.
	Seal(to netip.AddrPort, packet []byte) (sealed []byte, ok bool)
	// Open returns a received packet as it was before Seal; ok is false for one that is
	// to be dropped.
	Open(from netip.AddrPort, packet []byte) (opened []byte, ok bool)
}

// maxSealBytes is the number of bytes that a Sealer may add: a nonce and a tag. Packets
// then still fit one of Ethernet.
const maxSealBytes = 28

// Message is a request or a notification from another host.
type Message struct {
	From netip.AddrPort
	body cbor.RawMessage
	id   uint64
	kind Kind
	node *Node
}

// Decode decodes the body into the value that dst points to.
func (m Message) Decode(dst any) error { return errors.WithStack(cbor.Unmarshal(m.body, dst)) }

// ID identifies a request among those of the sending host; it is 0 for a
// notification.
func (m Message) ID() uint64 { return m.id }

// Respond sends a response; a request may get several. It does nothing for a
// notification. A response that can't be sent counts as lost in transit.
func (m Message) Respond(body any) {
	if m.id != 0 {
		if err := m.node.send(m.From, envelope{ID: m.id, Kind: m.kind, Response: true}, body); err != nil {
			m.node.log.Debug("response not sent; the requesting host times out or retries", zap.Stringer("to", m.From), zap.Error(err))
		}
	}
}

// Handler handles a message. It runs on the goroutine that reads the socket and
// must not block.
type Handler func(m Message)

// Node sends and receives the messages of one host. Handlers must be set before
// Run. The other methods are safe for concurrent use.
type Node struct {
	// conn is nil until the node is bound.
	conn     atomic.Pointer[PacketConn]
	log      *zap.Logger
	sealer   Sealer
	handlers map[Kind]Handler
	lastID   atomic.Uint64
	// lastResponseAt is when the last response to a pending request arrived, in
	// Unix nanoseconds.
	lastResponseAt atomic.Int64

	mu      sync.Mutex
	pending map[uint64]*Request

	messages *prometheus.CounterVec
}

// PacketConn sends and receives packets. *net.UDPConn implements it; tests of many
// hosts use one in memory.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// errNotBound means that the node has no address yet: it sends and receives nothing.
var errNotBound = errors.New("node for messages between hosts is not bound to an address")

// New returns a node without an address, which sends and receives nothing until
// Bind. Metrics go to reg, which may be nil.
func New(log *zap.Logger, reg prometheus.Registerer) (*Node, error) {
	n := &Node{
		log: log, handlers: map[Kind]Handler{}, pending: map[uint64]*Request{},
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_mesh_messages_total",
			Help: "Messages between hosts, by direction and result.",
		}, []string{"direction", "result"}),
	}
	// IDs start at random: a restarted process must not accept responses to
	// requests of its predecessor.
	n.lastID.Store(rand.Uint64())
	return n, metric.Register(reg, "hostmsg", n.messages)
}

// Listen returns a node bound to a UDP address. Metrics go to reg, which may be
// nil.
func Listen(addr netip.AddrPort, log *zap.Logger, reg prometheus.Registerer) (*Node, error) {
	n, err := New(log, reg)
	if err != nil {
		return nil, err
	}
	return n, n.Bind(addr)
}

// Bind binds the node to a UDP address. It must not be called again once it has
// succeeded.
func (n *Node) Bind(addr netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return errors.Wrap(err, "bind UDP address for messages between hosts")
	}
	n.Use(conn)
	return nil
}

// Use binds the node to a connection whose local address is a *net.UDPAddr.
func (n *Node) Use(conn PacketConn) { n.conn.Store(&conn) }

// Handle sets the handler of a kind.
func (n *Node) Handle(k Kind, h Handler) { n.handlers[k] = h }

// SetSealer makes the node seal its packets and accept sealed ones only. It must be
// called before Bind.
func (n *Node) SetSealer(s Sealer) { n.sealer = s }

// Addr returns the address that the node is bound to; it is invalid before Bind.
func (n *Node) Addr() netip.AddrPort {
	conn := n.conn.Load()
	if conn == nil {
		return netip.AddrPort{}
	}
	return (*conn).LocalAddr().(*net.UDPAddr).AddrPort()
}

// LastResponseAt returns when the last response to a pending request arrived;
// the Unix epoch if none has.
func (n *Node) LastResponseAt() time.Time { return time.Unix(0, n.lastResponseAt.Load()) }

// Close closes the socket, which ends Run. It does nothing before Bind.
func (n *Node) Close() error {
	conn := n.conn.Load()
	if conn == nil {
		return nil
	}
	return errors.WithStack((*conn).Close())
}

// Run receives messages and calls their handlers until Close. The node must be
// bound.
func (n *Node) Run() error {
	conn := n.conn.Load()
	if conn == nil {
		return errors.WithStack(errNotBound)
	}
	buf := make([]byte, MaxBytes+maxSealBytes+1)
	for {
		size, from, err := (*conn).ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			n.messages.WithLabelValues("in", "failed").Inc()
			continue
		}
		n.handlePacket(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:size])
	}
}

// handlePacket decodes a packet and passes it to the pending request or to the
// handler of its kind.
func (n *Node) handlePacket(from netip.AddrPort, data []byte) {
	if n.sealer != nil {
		opened, ok := n.sealer.Open(from, data)
		if !ok {
			n.messages.WithLabelValues("in", "unsealed").Inc()
			return
		}
		data = opened
	}
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		n.messages.WithLabelValues("in", "malformed").Inc()
		return
	}
	n.messages.WithLabelValues("in", "ok").Inc()
	if e.Response {
		n.deliver(e)
		return
	}
	if h := n.handlers[e.Kind]; h != nil {
		h(Message{From: from, body: e.Body, id: e.ID, kind: e.Kind, node: n})
	}
}

// deliver passes a response to its request, unless that is closed.
func (n *Node) deliver(e envelope) {
	n.mu.Lock()
	r := n.pending[e.ID]
	n.mu.Unlock()
	if r == nil {
		return
	}
	n.lastResponseAt.Store(time.Now().UnixNano())
	select {
	case r.responses <- e.Body:
	default:
	}
}

// send encodes and sends a message. Callers may treat an error like a message
// that was lost in transit.
func (n *Node) send(to netip.AddrPort, e envelope, body any) error {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	e.Body = raw
	data, err := cbor.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(data) > MaxBytes {
		n.messages.WithLabelValues("out", "too-large").Inc()
		return errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	conn := n.conn.Load()
	if conn == nil {
		n.messages.WithLabelValues("out", "failed").Inc()
		return errors.WithStack(errNotBound)
	}
	if n.sealer != nil {
		sealed, ok := n.sealer.Seal(to, data)
		if !ok {
			n.messages.WithLabelValues("out", "unsealed").Inc()
			return nil
		}
		data = sealed
	}
	if _, err := (*conn).WriteToUDPAddrPort(data, to); err != nil {
		n.messages.WithLabelValues("out", "failed").Inc()
		return errors.Wrap(err, "send message")
	}
	n.messages.WithLabelValues("out", "ok").Inc()
	return nil
}

// Notify sends a notification.
func (n *Node) Notify(to netip.AddrPort, k Kind, body any) error {
	return n.send(to, envelope{Kind: k}, body)
}

// Request is a pending request.
type Request struct {
	node      *Node
	id        uint64
	kind      Kind
	to        netip.AddrPort
	responses chan cbor.RawMessage
}

// Request sends a request and returns it. The caller must Close it.
func (n *Node) Request(to netip.AddrPort, k Kind, body any) (*Request, error) {
	r := &Request{node: n, id: n.lastID.Add(1), kind: k, to: to, responses: make(chan cbor.RawMessage, responseBuffer)}
	n.mu.Lock()
	n.pending[r.id] = r
	n.mu.Unlock()
	if err := r.Resend(body); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// Resend sends the request again, under the same ID.
func (r *Request) Resend(body any) error {
	return r.node.send(r.to, envelope{ID: r.id, Kind: r.kind}, body)
}

// ID identifies the request among those of this host.
func (r *Request) ID() uint64 { return r.id }

// Responses returns the channel of the response bodies, which Decode decodes.
// It is never closed.
func (r *Request) Responses() <-chan cbor.RawMessage { return r.responses }

// Close ends the request; later responses are dropped.
func (r *Request) Close() {
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	delete(r.node.pending, r.id)
}

// Decode decodes a response body into the value that dst points to.
func Decode(raw cbor.RawMessage, dst any) error { return errors.WithStack(cbor.Unmarshal(raw, dst)) }

// Milliseconds returns the duration of n milliseconds, the form in which
// messages carry durations.
func Milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Call sends a request and decodes the first response into the value that
// response points to. It returns the context's error when none arrives before
// the context ends.
func (n *Node) Call(ctx context.Context, to netip.AddrPort, k Kind, request, response any) error {
	r, err := n.Request(to, k, request)
	if err != nil {
		return err
	}
	defer r.Close()
	select {
	case raw := <-r.responses:
		return Decode(raw, response)
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}
