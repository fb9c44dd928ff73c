package delay

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "delay")
}

// startEchoServer starts a server that answers each line with the same line. It
// returns its address.
func startEchoServer() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						c.Close()
						return
					}
					_, _ = c.Write([]byte(line))
				}
			}()
		}
	}()
	return l.Addr().String()
}

var _ = Describe("Dialer", func() {
	const oneWay = 3 * time.Millisecond

	It("adds a round trip to each exchange with another domain and gives access to the socket", func() {
		n, addr := NewTopology(oneWay), startEchoServer()
		n.SetDomain(addr, 1)
		c, err := Dialer{Topology: n, Domain: 0}.DialContext(context.Background(), "tcp", addr)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		r := bufio.NewReader(c)
		for range 2 {
			start := time.Now()
			_, err = c.Write([]byte("a"))
			Expect(err).NotTo(HaveOccurred())
			_, err = c.Write([]byte("b\n"))
			Expect(err).NotTo(HaveOccurred())
			Expect(r.ReadString('\n')).To(Equal("ab\n"))
			Expect(time.Since(start)).To(BeNumerically(">=", 2*oneWay))
		}
		_, err = c.(syscall.Conn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
	})

	It("adds nothing within a domain and to unknown addresses", func() {
		n, addr := NewTopology(oneWay), startEchoServer()
		for _, place := range []func(){func() {}, func() { n.SetDomain(addr, 2) }} {
			place()
			c, err := Dialer{Topology: n, Domain: 2}.DialContext(context.Background(), "tcp", addr)
			Expect(err).NotTo(HaveOccurred())
			Expect(c).To(BeAssignableToTypeOf(&net.TCPConn{}))
			c.Close()
		}
	})
})
