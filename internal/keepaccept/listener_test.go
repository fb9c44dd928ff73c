package keepaccept_test

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/internal/keepaccept"
)

// shortOfDescriptors fails the first few accepts as the kernel does when the process has
// no free file descriptor.
type shortOfDescriptors struct {
	net.Listener
	failures atomic.Int32
}

func (l *shortOfDescriptors) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestAcceptGoesOnAfterAShortageOfDescriptors(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	base, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	short := &shortOfDescriptors{Listener: base}
	short.failures.Store(3)
	ln := keepaccept.Wrap(short, "test", zap.NewNop())
	c, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	accepted, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	_ = accepted.Close()
	g.Expect(ln.Close()).To(Succeed())
	_, err = ln.Accept()
	g.Expect(err).To(MatchError(net.ErrClosed))
}
