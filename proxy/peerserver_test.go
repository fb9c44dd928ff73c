package proxy

import (
	"net"
	"net/netip"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/dialect"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/table"
)

// peerBalancer hands every request over to the first owner that is not
// excluded.
type peerBalancer struct{ orderedBalancer }

type peerAttempt struct{ lb.Attempt }

func (peerAttempt) Group() (string, bool) { return "catalogue@a", true }

func (b *peerBalancer) Pick(q lb.PickQuery) (lb.Attempt, bool) {
	a, ok := b.orderedBalancer.Pick(q)
	return peerAttempt{a}, ok
}

const peerToken = "secret"

// newOwner returns a proxy that accepts requests that other hosts hand over.
func newOwner(upstreams []*rawUpstream, options ...harnessOption) *harness {
	return newHarness(upstreams, append([]harnessOption{asOwner}, options...)...)
}

func asOwner(o *Options, _ *table.Tables) {
	o.PeerServer = &PeerServerOptions{Token: peerToken, Load: func(string) (string, bool) { return "1 8 20000", true }}
	o.Ledger = nil
}

// newReceiver returns a proxy that hands requests over to owners.
func newReceiver(owners []netip.AddrPort, options ...harnessOption) (*harness, *peerBalancer) {
	balancer := &peerBalancer{orderedBalancer{targets: owners}}
	return newHarness(nil, append([]harnessOption{handingOver(balancer)}, options...)...), balancer
}

func handingOver(balancer *peerBalancer) harnessOption {
	return func(o *Options, _ *table.Tables) { o.Balancer, o.PeerToken = balancer, peerToken }
}

func (b *harness) addrPort() netip.AddrPort { return netip.MustParseAddrPort(b.addr) }

func withoutPools(_ *Options, t *table.Tables) { t.Pools = nil }

var _ = Describe("handing over", func() {
	It("forwards request and response completely through the owner, without the internal headers", func() {
		up := newUpstream(respondAlways("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nChestnut-Handover: not-run\r\n" +
			"Chestnut-Group-Load: 9 9 9\r\nX-Spec: Bend\r\n\r\ndone"))
		owner := newOwner([]*rawUpstream{up})
		b, balancer := newReceiver([]netip.AddrPort{owner.addrPort()})
		resp, body := b.ask(getSpec)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal("done"))
		Expect(resp.Header).To(HaveKey("X-Spec"))
		Expect(resp.Header).NotTo(HaveKey(headerHandover))
		Expect(resp.Header).NotTo(HaveKey(lb.HeaderGroupLoad))
		Expect(up.received()).To(MatchRegexp(`^GET /specs/a HTTP/1.1\r\nHost: h\r\nX-Caller: c1\r\nChestnut-Deadline-Ms: \d+\r\n\r\n$`))
		Expect(balancer.feedback()).To(HaveLen(1))
		Expect(balancer.feedback()[0].GroupLoad).To(Equal("1 8 20000"))
	})

	It("retries an order that an owner did not run with another owner", func() {
		up := newUpstream(respondAlways(okResponse))
		outdated := newOwner([]*rawUpstream{up}, withoutPools)
		current := newOwner([]*rawUpstream{up})
		b, _ := newReceiver([]netip.AddrPort{outdated.addrPort(), current.addrPort()})
		resp, body := b.ask(postOrder)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal("done"))
		Expect(up.conns.Load()).To(BeEquivalentTo(1))
	})

	It("tries the next owner after one that can't be connected to, even without retry budget", func() {
		up := newUpstream(respondAlways(okResponse))
		gone, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		dead := netip.MustParseAddrPort(gone.Addr().String())
		Expect(gone.Close()).To(Succeed())
		owner := newOwner([]*rawUpstream{up})
		receiver, _ := newReceiver([]netip.AddrPort{dead, owner.addrPort()}, func(o *Options, _ *table.Tables) {
			o.Retries = &budgetFake{}
		})
		resp, _ := receiver.ask("GET /specs/1 HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(resp.StatusCode).To(Equal(200))
	})

	It("answers not-run when no owner ran an order", func() {
		outdated := newOwner(nil, withoutPools)
		b, _ := newReceiver([]netip.AddrPort{outdated.addrPort()})
		resp, _ := b.ask(postOrder)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(resp.Header.Get(dialect.Default().Outcome)).To(Equal("not-run"))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("answers unknown and sends an order once when the owner loses the upstream connection", func() {
		up := newUpstream(func(u *rawConn) { u.request() })
		owners := []*harness{newOwner([]*rawUpstream{up}), newOwner([]*rawUpstream{up})}
		b, _ := newReceiver([]netip.AddrPort{owners[0].addrPort(), owners[1].addrPort()})
		resp, _ := b.ask(postOrder)
		Expect(resp.StatusCode).To(Equal(502))
		Expect(resp.Header.Get(dialect.Default().Outcome)).To(Equal("unknown"))
		Expect(up.conns.Load()).To(BeEquivalentTo(1))
	})

	It("retries a lookup that an owner lost with another owner", func() {
		broken := newUpstream(func(u *rawConn) { u.request() })
		up := newUpstream(respondAlways(okResponse))
		owners := []*harness{newOwner([]*rawUpstream{broken}), newOwner([]*rawUpstream{up})}
		b, _ := newReceiver([]netip.AddrPort{owners[0].addrPort(), owners[1].addrPort()})
		resp, body := b.ask(getSpec)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal("done"))
	})

	It("answers unknown when the peer that responds to an order is not an owner", func() {
		plain := newUpstream(respondAlways(okResponse))
		b, _ := newReceiver([]netip.AddrPort{plain.addr()})
		resp, _ := b.ask(postOrder)
		Expect(resp.StatusCode).To(Equal(502))
		Expect(resp.Header.Get(dialect.Default().Outcome)).To(Equal("unknown"))
	})

	It("runs nothing for a peer with a wrong token or an unknown class", func() {
		up := newUpstream(respondAlways(okResponse))
		owner := newOwner([]*rawUpstream{up})
		for _, lines := range []string{
			"Chestnut-Peer-Token: other\r\nChestnut-Class: lookup\r\n",
			"Chestnut-Class: lookup\r\n",
			"Chestnut-Peer-Token: secret\r\nChestnut-Class: urgent\r\n",
		} {
			resp, _ := owner.ask("GET /specs/a HTTP/1.1\r\nHost: h\r\nChestnut-Group: catalogue@a\r\n" + lines + "\r\n")
			Expect(resp.StatusCode).To(BeNumerically(">=", 400))
			Expect(resp.Header.Get(dialect.Default().Outcome)).To(Equal("not-run"))
		}
		Expect(up.received()).To(BeEmpty())
	})

	It("claims a keyed order only at the receiving host", func() {
		up := newUpstream(respondAlways(okResponse))
		owner := newOwner([]*rawUpstream{up})
		b, _ := newReceiver([]netip.AddrPort{owner.addrPort()})
		resp, _ := b.ask("POST /orders/1 HTTP/1.1\r\nHost: h\r\nX-Caller: c1\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
		Expect(resp.StatusCode).To(Equal(200))
		Expect(slices.Collect(func(yield func(string) bool) {
			for _, k := range b.ledger.keys {
				yield(k.Key)
			}
		})).To(Equal([]string{"k"}))
		Expect(up.received()).To(ContainSubstring("Idempotency-Key: k\r\n"))
	})
})
