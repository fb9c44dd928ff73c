package proxy

import (
	"context"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/table"
)

// gatedAdmission admits requests when its gate opens.
type gatedAdmission struct {
	waiting chan struct{}
	gate    chan struct{}
}

type noopPermit struct{}

func (noopPermit) Release(time.Time, lb.Result) {}

func (g *gatedAdmission) Admit(ctx context.Context, _ lb.AdmitQuery) (lb.Permit, *lb.Refusal) {
	g.waiting <- struct{}{}
	select {
	case <-g.gate:
		return noopPermit{}, nil
	case <-ctx.Done():
		return nil, &lb.Refusal{}
	}
}

// stop begins a shutdown, waits until new connections are refused, and
// returns the channel that receives Shutdown's result.
func (b *harness) stop(ctx context.Context) chan error {
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

var _ = Describe("Shutdown", func() {
	It("lets a long streamed response complete", func() {
		release := make(chan struct{})
		up := newUpstream(func(u *rawConn) {
			u.request()
			u.send(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(largeBody), largeBody[:len(largeBody)/2]))
			<-release
			u.send(largeBody[len(largeBody)/2:])
		})
		b := newHarness([]*rawUpstream{up})
		c := b.dial()
		c.send(getSpec)
		_, err := c.br.Peek(1)
		Expect(err).NotTo(HaveOccurred())
		done := b.stop(context.Background())
		Consistently(done, "50ms").ShouldNot(Receive())
		close(release)
		_, body, err := c.readResponse("GET")
		Expect(err).NotTo(HaveOccurred())
		Expect(body == largeBody).To(BeTrue())
		Eventually(done, "10s").Should(Receive(BeNil()))
		Expect(<-b.served).To(Succeed())
	})

	It("answers queued requests, and requests that arrive on open connections, with Connection: close", func() {
		admission := &gatedAdmission{waiting: make(chan struct{}, 1), gate: make(chan struct{})}
		up := newUpstream(respondAlways(okResponse))
		b := newHarness([]*rawUpstream{up}, func(o *Options, _ *table.Tables) {
			o.Admission = admission
			o.Limits.ShutdownDelay = 500 * time.Millisecond
		})
		queued, kept := b.dial(), b.dial()
		kept.send("GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, _, err := kept.readResponse("GET")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Close).To(BeFalse())
		queued.send(postOrder)
		<-admission.waiting
		done := b.stop(context.Background())
		kept.send("GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, _, err = kept.readResponse("GET")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Close).To(BeTrue())
		close(admission.gate)
		resp, body, err := queued.readResponse("POST")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("done"))
		Expect(resp.Close).To(BeTrue())
		Eventually(done, "10s").Should(Receive(BeNil()))
	})

	It("closes the remaining connections when its context ends", func() {
		closed := make(chan struct{})
		up := newUpstream(func(u *rawConn) {
			neverRespond(u)
			close(closed)
		})
		b := newHarness([]*rawUpstream{up})
		c := b.dial()
		c.send(postOrder)
		Eventually(up.received, "10s").ShouldNot(BeEmpty())
		ctx, cancel := context.WithCancel(context.Background())
		done := b.stop(ctx)
		cancel()
		Eventually(done, "10s").Should(Receive(MatchError(context.Canceled)))
		Eventually(closed, "10s").Should(BeClosed())
	})
})
