package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startCutTest starts a proxy in front of one upstream for a test outside the suite.
func startCutTest(t *testing.T, serve func(u *rawConn), options ...harnessOption) *harness {
	RegisterTestingT(t)
	up := startUpstream(serve)
	t.Cleanup(func() { up.ln.Close() })
	b := startHarness([]*rawUpstream{up}, options...)
	t.Cleanup(b.abort)
	return b
}

// tryAsk sends a request on a new connection and reads the response; err tells
// whether it was cut.
func (b *harness) tryAsk(raw string) (*http.Response, string, error) {
	nc, err := net.Dial("tcp", b.addr)
	if err != nil {
		return nil, "", err
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(nc, raw); err != nil {
		return nil, "", err
	}
	method, _, _ := bytes.Cut([]byte(raw), []byte(" "))
	return (&caller{Conn: nc, br: bufio.NewReader(nc)}).readResponse(string(method))
}

// Guards against streamed responses that lose their last bytes.
func TestLargeResponseReachesItsCallerWhole(t *testing.T) {
	for _, length := range []int{64<<10 + 1, 100_000, 1<<20 - 1, 1 << 20} {
		b := startCutTest(t, respondAlways(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, largeBody[:length])))
		for range 3 {
			_, body, err := b.tryAsk(getSpec)
			Expect(err).NotTo(HaveOccurred(), "%d of %d bytes arrived", len(body), length)
			Expect(body == largeBody[:length]).To(BeTrue())
		}
	}
}

// Guards against chunks of an HTTP/1.0 response that are taken for a body which ends
// with the connection: whatever was sent of them looks whole.
func TestHTTP10ResponseWithTransferEncodingIsNotForwarded(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.2"} {
		for _, lines := range []string{"Transfer-Encoding: chunked", "transfer-encoding : chunked", "Content-Length: 6\r\nTransfer-Encoding: chunked"} {
			b := startCutTest(t, respondOnceAndClose(version+" 200 OK\r\n"+lines+"\r\n\r\n4\r\ndon"))
			resp, body, err := b.tryAsk(postOrder)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), "%s with %q was forwarded with the body %q", version, lines, body)
		}
	}
}
