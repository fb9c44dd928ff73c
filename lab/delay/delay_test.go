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

// echo answers each line with itself.
func echo() string {
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

var _ = Describe("a connection between domains", func() {
	const oneWay = 3 * time.Millisecond

	It("takes at least a round trip a turn, and keeps its socket", func() {
		n, addr := NewNet(oneWay), echo()
		n.Place(addr, 1)
		c, err := Dialer{Net: n, Domain: 0}.DialContext(context.Background(), "tcp", addr)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		r := bufio.NewReader(c)
		for range 2 {
			began := time.Now()
			_, err = c.Write([]byte("a"))
			Expect(err).NotTo(HaveOccurred())
			_, err = c.Write([]byte("b\n"))
			Expect(err).NotTo(HaveOccurred())
			Expect(r.ReadString('\n')).To(Equal("ab\n"))
			Expect(time.Since(began)).To(BeNumerically(">=", 2*oneWay))
		}
		_, err = c.(syscall.Conn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
	})

	It("is plain within a domain and to unknown addresses", func() {
		n, addr := NewNet(oneWay), echo()
		for _, place := range []func(){func() {}, func() { n.Place(addr, 2) }} {
			place()
			c, err := Dialer{Net: n, Domain: 2}.DialContext(context.Background(), "tcp", addr)
			Expect(err).NotTo(HaveOccurred())
			Expect(c).To(BeAssignableToTypeOf(&net.TCPConn{}))
			c.Close()
		}
	})
})
