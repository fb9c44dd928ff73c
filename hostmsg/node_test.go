package hostmsg_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
)

func TestHostmsg(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hostmsg")
}

const (
	kindEcho   hostmsg.Kind = 1
	kindNotify hostmsg.Kind = 2
	// deliveryTimeout is far above the time that a loopback message takes.
	deliveryTimeout = 10 * time.Second
)

func newNode() *hostmsg.Node {
	n, err := hostmsg.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop(), nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(n.Close)
	return n
}

var _ = Describe("messages between hosts", func() {
	It("are requests with several responses, or notifications without any", func(SpecContext) {
		a, b := newNode(), newNode()
		notified := make(chan string, 1)
		b.Handle(kindEcho, func(m hostmsg.Message) {
			var text string
			Expect(m.Decode(&text)).To(Succeed())
			m.Respond(text + " once")
			m.Respond(text + " twice")
		})
		b.Handle(kindNotify, func(m hostmsg.Message) {
			var text string
			Expect(m.Decode(&text)).To(Succeed())
			Expect(m.ID()).To(BeZero())
			m.Respond("nobody waits")
			notified <- text
		})
		go func() { _ = a.Run() }()
		go func() { _ = b.Run() }()
		q, err := a.Request(b.Addr(), kindEcho, "hello")
		Expect(err).NotTo(HaveOccurred())
		defer q.Close()
		for _, want := range []string{"hello once", "hello twice"} {
			var raw, got = <-q.Responses(), ""
			Expect(hostmsg.Decode(raw, &got)).To(Succeed())
			Expect(got).To(Equal(want))
		}
		Expect(a.Notify(b.Addr(), kindNotify, "gone")).To(Succeed())
		Eventually(notified).WithTimeout(deliveryTimeout).Should(Receive(Equal("gone")))
	}, NodeTimeout(time.Minute))

	It("without a response end with the context", func() {
		a, b := newNode(), newNode()
		go func() { _ = a.Run() }()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		var got string
		Expect(a.Call(ctx, b.Addr(), kindEcho, "hello", &got)).To(MatchError(context.DeadlineExceeded))
	})

	It("beyond the size of a packet are not sent", func() {
		a, b := newNode(), newNode()
		_, err := a.Request(b.Addr(), kindEcho, strings.Repeat("x", hostmsg.MaxBytes))
		Expect(err).To(MatchError(hostmsg.ErrTooLarge))
	})

	It("that are malformed or match no request are dropped", func() {
		a := newNode()
		handled := make(chan struct{}, 1)
		a.Handle(kindEcho, func(hostmsg.Message) { handled <- struct{}{} })
		go func() { _ = a.Run() }()
		c, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(a.Addr()))
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		// Garbage, an empty packet, a response without a request, an unknown kind.
		for _, packet := range [][]byte{[]byte("garbage"), {}, {0x84, 7, 1, 0xf5, 0xf6}, {0x84, 7, 99, 0xf4, 0xf6}} {
			_, err := c.Write(packet)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = c.Write([]byte{0x84, 7, 1, 0xf4, 0xf6})
		Expect(err).NotTo(HaveOccurred())
		Eventually(handled).WithTimeout(deliveryTimeout).Should(Receive())
		Expect(handled).NotTo(Receive())
	})
})

// FuzzMessage checks that no packet makes a host crash.
func FuzzMessage(f *testing.F) {
	f.Add([]byte{0x84, 7, 1, 0xf4, 0xf6})
	f.Add([]byte("garbage"))
	n, err := hostmsg.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop(), nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { n.Close() })
	n.Handle(kindEcho, func(m hostmsg.Message) {
		var text string
		_ = m.Decode(&text)
	})
	f.Fuzz(func(_ *testing.T, data []byte) { n.HandlePacket(netip.MustParseAddrPort("127.0.0.1:9"), data) })
}
