package proxy

import (
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// failingListener fails accepts for want of a file descriptor as long as it is short.
type failingListener struct {
	net.Listener
	short atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.short.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a server that takes no connections any more after a shortage of file
// descriptors.
var _ = It("a server goes on taking connections after a shortage of file descriptors", func() {
	up := newUpstream(respondAlways(okResponse))
	tables := &tablesFake{}
	tables.Store(testTables())
	s, err := New(Options{Tables: tables, Balancer: &orderedBalancer{targets: []netip.AddrPort{up.addr()}}})
	Expect(err).NotTo(HaveOccurred())
	base, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ln := &failingListener{Listener: base}
	ln.short.Store(3)
	b := &harness{server: s, addr: base.Addr().String(), served: make(chan error, 1)}
	go func() { b.served <- s.Serve(ln) }()
	DeferCleanup(b.abort)
	resp, body := b.ask(getSpec)
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	Expect(body).To(Equal("done"))
})
