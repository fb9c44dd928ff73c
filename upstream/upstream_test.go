package upstream

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

const (
	request      = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	longDeadline = time.Minute
)

// listen starts a target that responds to every request, and returns its
// address.
func listen() netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("done") }}
	go s.Serve(ln)
	return netip.MustParseAddrPort(ln.Addr().String())
}

// ask performs a complete exchange.
func ask(c *Client, q OpenOptions) (*Exchange, error) {
	x, err := c.Open(context.Background(), q)
	if err != nil {
		return nil, err
	}
	if err := x.Send([]byte(request), nil); err != nil {
		return nil, err
	}
	if err := x.ReadHeader(false); err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, x)
	return x, err
}

var _ = Describe("connections", func() {
	var (
		clock  *clockwork.FakeClock
		client *Client
		query  OpenOptions
	)
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		client = New(Options{Clock: clock})
		query = OpenOptions{Target: listen(), Limit: 2, Deadline: time.Now().Add(longDeadline), Idempotent: true}
	})

	reused := func(q OpenOptions) bool {
		x, err := ask(client, q)
		Expect(err).NotTo(HaveOccurred())
		defer x.Close()
		return x.Reused()
	}

	It("are reused, for non-idempotent requests only those to peers within NonIdempotentPeerMaxIdle", func() {
		Expect(reused(query)).To(BeFalse())
		Expect(reused(query)).To(BeTrue())
		order := query
		order.Idempotent = false
		Expect(reused(order)).To(BeFalse())
		Expect(reused(query)).To(BeTrue())
		order.Peer = true
		Expect(reused(order)).To(BeTrue())
		clock.Advance(DefaultNonIdempotentPeerMaxIdle + 1)
		Expect(reused(order)).To(BeFalse())
	})

	It("of non-idempotent requests stay open only while there are few", func() {
		query.Limit, query.Idempotent = 100, false
		for range 2 * maxSpareIdle {
			Expect(reused(query)).To(BeFalse())
		}
		Expect(client.CloseIdle(true)).To(Equal(maxSpareIdle))
		Expect(client.target(query.Target).unused()).To(BeTrue())
	})

	It("are closed after the idle timeout", func() {
		reused(query)
		clock.Advance(DefaultIdleTimeout + 1)
		Expect(client.CloseIdle(false)).To(Equal(1))
		Expect(client.CloseIdle(true)).To(BeZero())
	})

	It("stay within the limit, also with idle ones that are too old to reuse", func() {
		var open []*Exchange
		for range query.Limit {
			x, err := client.Open(context.Background(), query)
			Expect(err).NotTo(HaveOccurred())
			open = append(open, x)
		}
		_, err := client.Open(context.Background(), query)
		Expect(err).To(MatchError(ErrConnectionLimit))
		for _, x := range open {
			x.Close()
		}
		Expect(reused(query)).To(BeFalse())
		query.Limit = 1
		clock.Advance(DefaultIdleTimeout + 1)
		Expect(reused(query)).To(BeFalse())
		Expect(client.CloseIdle(true)).To(Equal(1))
	})

	It("are not reused after an incomplete or cancelled exchange", func() {
		x, err := ask(client, query)
		Expect(err).NotTo(HaveOccurred())
		x.Cancel()
		x.Close()
		Expect(reused(query)).To(BeFalse())
		x, err = client.Open(context.Background(), query)
		Expect(err).NotTo(HaveOccurred())
		Expect(x.Send([]byte(request), nil)).To(Succeed())
		x.Close()
		Expect(reused(query)).To(BeFalse())
	})

	It("that open too slowly fail with ErrConnect", func() {
		client = New(Options{ConnectTimeout: time.Millisecond, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		_, err := client.Open(context.Background(), query)
		Expect(err).To(MatchError(ErrConnect))
	})

	It("that can't be opened fail with ErrConnect", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		query.Target = netip.MustParseAddrPort(ln.Addr().String())
		ln.Close()
		_, err = client.Open(context.Background(), query)
		Expect(err).To(MatchError(ErrConnect))
		Expect(client.target(query.Target).unused()).To(BeTrue())
	})
})

// BenchmarkOpen compares a checked idle connection with a new one for
// idempotent requests.
func BenchmarkOpen(b *testing.B) {
	client := New(Options{})
	q := OpenOptions{Target: listen(), Limit: 4, Deadline: time.Now().Add(longDeadline), Idempotent: true}
	for name, kept := range map[string]bool{"kept": true, "new": false} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x, err := ask(client, q)
				if err != nil {
					b.Fatal(err)
				}
				x.Close()
				if !kept {
					client.CloseIdle(true)
				}
			}
		})
	}
}

// BenchmarkConnectionCheck measures the check of an idle connection alone.
func BenchmarkConnectionCheck(b *testing.B) {
	client := New(Options{})
	x, err := ask(client, OpenOptions{Target: listen(), Limit: 1, Deadline: time.Now().Add(longDeadline)})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if !x.conn.isUsable() {
			b.Fatal("idle connection is not usable")
		}
	}
}
