package mesh

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
	// MaxBytes is the size of the largest message: what fits one packet of an
	// Ethernet path, headers taken off.
	MaxBytes = 1400
	// answersKept is the number of answers to one question that wait for who
	// asked.
	answersKept = 16
)

// ErrTooLarge means that a message exceeds MaxBytes; nothing was sent.
var ErrTooLarge = errors.New("message is too large")

// Kind says what a message is about.
type Kind uint8

// envelope is a message as it is sent.
type envelope struct {
	_ struct{} `cbor:",toarray"`
	// ID pairs answers with their question; 0 is news.
	ID     uint64
	Kind   Kind
	Answer bool
	Body   cbor.RawMessage
}

// Message is a question or news from another host.
type Message struct {
	From netip.AddrPort
	body cbor.RawMessage
	id   uint64
	kind Kind
	node *Node
}

// Decode reads the body.
func (m Message) Decode(to any) error { return errors.WithStack(cbor.Unmarshal(m.body, to)) }

// ID names the question among those of its host; 0 is news.
func (m Message) ID() uint64 { return m.id }

// Answer sends an answer; a question may get several.
func (m Message) Answer(body any) {
	if m.id != 0 {
		if err := m.node.send(m.From, envelope{ID: m.id, Kind: m.kind, Answer: true}, body); err != nil {
			m.node.log.Debug("answer not sent", zap.Stringer("to", m.From), zap.Error(err))
		}
	}
}

// Handler takes a message. It runs on the goroutine that reads the socket and
// must not wait.
type Handler func(m Message)

// Node sends and receives the messages of one host. Handlers are set before
// Run.
type Node struct {
	conn     *net.UDPConn
	log      *zap.Logger
	handlers map[Kind]Handler
	next     atomic.Uint64
	// answeredAt is when the last answer arrived, in Unix nanoseconds.
	answeredAt atomic.Int64

	mu      sync.Mutex
	pending map[uint64]*Question

	messages *prometheus.CounterVec
}

// Listen binds the address of a host.
func Listen(addr netip.AddrPort, log *zap.Logger, reg prometheus.Registerer) (*Node, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "mesh address")
	}
	n := &Node{
		conn: conn, log: log, handlers: map[Kind]Handler{}, pending: map[uint64]*Question{},
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_mesh_messages_total",
			Help: "Messages between hosts, by direction and result.",
		}, []string{"direction", "result"}),
	}
	// A process that starts again must not take answers to its earlier life.
	n.next.Store(rand.Uint64())
	return n, metric.Register(reg, "mesh", n.messages)
}

// Handle sets the handler of a kind.
func (n *Node) Handle(k Kind, h Handler) { n.handlers[k] = h }

// Addr returns the address that the node is bound to.
func (n *Node) Addr() netip.AddrPort { return n.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// AnsweredAt returns when another host last answered a question that this one
// still waited for.
func (n *Node) AnsweredAt() time.Time { return time.Unix(0, n.answeredAt.Load()) }

// Close ends Run.
func (n *Node) Close() error { return errors.WithStack(n.conn.Close()) }

// Run takes messages until Close.
func (n *Node) Run() error {
	buf := make([]byte, MaxBytes+1)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			n.messages.WithLabelValues("in", "failed").Inc()
			continue
		}
		n.take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:size])
	}
}

func (n *Node) take(from netip.AddrPort, data []byte) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		n.messages.WithLabelValues("in", "malformed").Inc()
		return
	}
	n.messages.WithLabelValues("in", "ok").Inc()
	if e.Answer {
		n.answered(e)
		return
	}
	if h := n.handlers[e.Kind]; h != nil {
		h(Message{From: from, body: e.Body, id: e.ID, kind: e.Kind, node: n})
	}
}

func (n *Node) answered(e envelope) {
	n.mu.Lock()
	q := n.pending[e.ID]
	n.mu.Unlock()
	if q == nil {
		return
	}
	n.answeredAt.Store(time.Now().UnixNano())
	select {
	case q.answers <- e.Body:
	default:
	}
}

// send writes a message. One that can't be sent counts as lost on the way.
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
	if _, err := n.conn.WriteToUDPAddrPort(data, to); err != nil {
		n.messages.WithLabelValues("out", "failed").Inc()
		return errors.Wrap(err, "send message")
	}
	n.messages.WithLabelValues("out", "ok").Inc()
	return nil
}

// Tell sends news.
func (n *Node) Tell(to netip.AddrPort, k Kind, body any) error {
	return n.send(to, envelope{Kind: k}, body)
}

// Question is one that was asked and awaits answers.
type Question struct {
	node    *Node
	id      uint64
	kind    Kind
	to      netip.AddrPort
	answers chan cbor.RawMessage
}

// Ask sends a question. Close must be called.
func (n *Node) Ask(to netip.AddrPort, k Kind, body any) (*Question, error) {
	q := &Question{node: n, id: n.next.Add(1), kind: k, to: to, answers: make(chan cbor.RawMessage, answersKept)}
	n.mu.Lock()
	n.pending[q.id] = q
	n.mu.Unlock()
	if err := q.Repeat(body); err != nil {
		q.Close()
		return nil, err
	}
	return q, nil
}

// Repeat sends the question again, under its id.
func (q *Question) Repeat(body any) error {
	return q.node.send(q.to, envelope{ID: q.id, Kind: q.kind}, body)
}

// ID names the question among those of this host.
func (q *Question) ID() uint64 { return q.id }

// Answers delivers the answers as they arrive.
func (q *Question) Answers() <-chan cbor.RawMessage { return q.answers }

// Close forgets the question; later answers are dropped.
func (q *Question) Close() {
	q.node.mu.Lock()
	defer q.node.mu.Unlock()
	delete(q.node.pending, q.id)
}

// Decode reads an answer.
func Decode(raw cbor.RawMessage, to any) error { return errors.WithStack(cbor.Unmarshal(raw, to)) }

// Millis is a time as messages carry it: a number of milliseconds.
func Millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Call asks and reads the first answer.
func (n *Node) Call(ctx context.Context, to netip.AddrPort, k Kind, question, answer any) error {
	q, err := n.Ask(to, k, question)
	if err != nil {
		return err
	}
	defer q.Close()
	select {
	case raw := <-q.answers:
		return Decode(raw, answer)
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}
