package connmux_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/connmux"
)

func TestConnmux(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connmux")
}

var _ = Describe("Mux", func() {
	var mux *connmux.Mux
	BeforeEach(func() {
		base, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		mux = connmux.New(base, "POST /twirp/", time.Minute)
		go func() { _ = mux.Serve() }()
		DeferCleanup(mux.Close)
	})
	send := func(parts ...string) net.Conn {
		conn, err := net.Dial("tcp", mux.Others().Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		for _, part := range parts {
			_, err = io.WriteString(conn, part)
			Expect(err).NotTo(HaveOccurred())
		}
		return conn
	}
	receive := func(l net.Listener, n int) string {
		conn, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		got := make([]byte, n)
		_, err = io.ReadFull(conn, got)
		Expect(err).NotTo(HaveOccurred())
		return string(got)
	}

	It("distributes connections by their first bytes and loses none of the bytes", func() {
		send("POST /twirp/x HTTP/1.1")
		Expect(receive(mux.Matched(), 22)).To(Equal("POST /twirp/x HTTP/1.1"))
		send("GET / HTTP/1.1")
		Expect(receive(mux.Others(), 14)).To(Equal("GET / HTTP/1.1"))
	})

	It("handles a prefix that arrives in pieces or only in part", func() {
		send("POST", " /twirp/", "y")
		Expect(receive(mux.Matched(), 13)).To(Equal("POST /twirp/y"))
		send("PO", "X")
		Expect(receive(mux.Others(), 3)).To(Equal("POX"))
	})

	It("gives access to the socket and closes one direction", func() {
		sent := send("GET / HTTP/1.1")
		conn, err := mux.Others().Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = conn.(syscall.Conn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(interface{ CloseWrite() error }).CloseWrite()).To(Succeed())
		_, err = sent.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		_, err = io.ReadFull(conn, make([]byte, 14))
		Expect(err).NotTo(HaveOccurred())
	})

	It("closes both listeners when one is closed", func() {
		Expect(mux.Matched().Close()).To(Succeed())
		_, err := mux.Others().Accept()
		Expect(err).To(MatchError(net.ErrClosed))
	})
})
