package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startEarlyTarget starts a target that responds to one request before it has read
// its body, and then closes the connection.
func startEarlyTarget(t *testing.T, response string, closeConn func(nc *net.TCPConn)) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(nc, make([]byte, len(request)))
		_, _ = io.WriteString(nc, response)
		closeConn(nc.(*net.TCPConn))
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// readEarlyResponse sends a request with a body that is larger than all socket
// buffers and returns the body of the response.
func readEarlyResponse(g *WithT, target netip.AddrPort) (sendErr error, body string, err error) {
	x, err := New(Options{}).Open(context.Background(), OpenOptions{Target: target, Limit: 1, Deadline: time.Now().Add(longDeadline)})
	g.Expect(err).NotTo(HaveOccurred())
	defer x.Close()
	sendErr = x.Send([]byte(request), make([]byte, 64<<20))
	g.Expect(x.ReadHeader(false)).To(Succeed())
	read, err := io.ReadAll(x)
	return sendErr, string(read), err
}

const untilClose = "HTTP/1.1 200 OK\r\n\r\ndo"

// Guards against a reset that only the writing of the request sees.
func TestResponseWithoutLengthOnAResetConnectionIsTruncated(t *testing.T) {
	g := NewWithT(t)
	target := startEarlyTarget(t, untilClose, func(nc *net.TCPConn) {
		_ = nc.SetLinger(0)
		nc.Close()
	})
	sendErr, body, err := readEarlyResponse(g, target)
	g.Expect(sendErr).To(HaveOccurred())
	g.Expect(errors.Is(err, ErrTruncated)).To(BeTrue(), "got %q as the whole body, error %v; sending: %v", body, err, sendErr)
}

// Guards against early responses that are complete being taken for truncated.
func TestResponseWithoutLengthBeforeTheEndOfTheRequestIsComplete(t *testing.T) {
	g := NewWithT(t)
	target := startEarlyTarget(t, untilClose, func(nc *net.TCPConn) {
		_ = nc.CloseWrite()
		_, _ = io.CopyN(io.Discard, nc, 1<<20)
		_ = nc.SetLinger(0)
		nc.Close()
	})
	sendErr, body, err := readEarlyResponse(g, target)
	g.Expect(sendErr).To(HaveOccurred())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("do"))
}
