package storesync

import (
	"net"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

// Guards against a fetch of a snapshot that another host keeps busy for ever, by bytes
// that are part of no body.
func TestFetchOfAnEndlessSnapshotEnds(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, err = c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;"))
		for block := []byte(strings.Repeat("x=1;", 16<<10)); err == nil; {
			_, err = c.Write(block)
		}
	}()
	ended := make(chan error, 1)
	go func() {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + ln.Addr().String() + snapshotPath)
		ended <- newSnapshotClient(nil).DoTimeout(req, resp, snapshotTimeout)
	}()
	g.Eventually(ended, "10s").Should(Receive(HaveOccurred()))
}
