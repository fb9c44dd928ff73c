package proxy

import (
	"context"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/ports"
	"github.com/chestnutfield/chestnutfield/table"
)

// gateAdmission admits when its gate opens.
type gateAdmission struct {
	waiting chan struct{}
	gate    chan struct{}
}

type freePermit struct{}

func (freePermit) Release(time.Time, ports.Result) {}

func (g *gateAdmission) Admit(ctx context.Context, _ ports.AdmitQuery) (ports.Permit, *ports.Refusal) {
	g.waiting <- struct{}{}
	select {
	case <-g.gate:
		return freePermit{}, nil
	case <-ctx.Done():
		return nil, &ports.Refusal{}
	}
}

// stop begins a planned stop and returns where its result comes.
func (b *bed) stop(ctx context.Context) chan error {
	done := make(chan error, 1)
	go func() { done <- b.server.Shutdown(ctx) }()
	Eventually(func() error {
		c, err := net.Dial("tcp", b.addr)
		if err == nil {
			c.Close()
		}
		return err
	}, "10s").Should(HaveOccurred())
	return done
}

var _ = Describe("a planned stop", func() {
	It("ends a long download whole", func() {
		release := make(chan struct{})
		up := newUpstream(func(u *rawConn) {
			u.request()
			u.send(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(big), big[:len(big)/2]))
			<-release
			u.send(big[len(big)/2:])
		})
		b := newBed([]*rawUpstream{up})
		c := b.dial()
		c.send(getSpec)
		_, err := c.br.Peek(1)
		Expect(err).NotTo(HaveOccurred())
		done := b.stop(context.Background())
		Consistently(done, "50ms").ShouldNot(Receive())
		close(release)
		_, body, err := c.answer("GET")
		Expect(err).NotTo(HaveOccurred())
		Expect(body == big).To(BeTrue())
		Eventually(done, "10s").Should(Receive(BeNil()))
		Expect(<-b.served).To(Succeed())
	})

	It("answers what waits in the queue, and what arrives on a kept connection, with Connection: close", func() {
		admission := &gateAdmission{waiting: make(chan struct{}, 1), gate: make(chan struct{})}
		up := newUpstream(always(okAnswer))
		b := newBed([]*rawUpstream{up}, func(o *Options, _ *table.Tables) {
			o.Admission = admission
			o.Limits.LastRequests = 500 * time.Millisecond
		})
		queued, kept := b.dial(), b.dial()
		kept.send("GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, _, err := kept.answer("GET")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Close).To(BeFalse())
		queued.send(postOrder)
		<-admission.waiting
		done := b.stop(context.Background())
		kept.send("GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, _, err = kept.answer("GET")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Close).To(BeTrue())
		close(admission.gate)
		resp, body, err := queued.answer("POST")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("done"))
		Expect(resp.Close).To(BeTrue())
		Eventually(done, "10s").Should(Receive(BeNil()))
	})

	It("cuts what is left when its time is over", func() {
		closed := make(chan struct{})
		up := newUpstream(func(u *rawConn) {
			silent(u)
			close(closed)
		})
		b := newBed([]*rawUpstream{up})
		c := b.dial()
		c.send(postOrder)
		Eventually(up.read, "10s").ShouldNot(BeEmpty())
		ctx, cancel := context.WithCancel(context.Background())
		done := b.stop(ctx)
		cancel()
		Eventually(done, "10s").Should(Receive(MatchError(context.Canceled)))
		Eventually(closed, "10s").Should(BeClosed())
	})
})
