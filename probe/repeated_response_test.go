package probe

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestProbesReadTheirOwnReport guards against load reports that are one probe old for as
// long as the connection lasts, after a target wrote one response twice.
func TestProbesReadTheirOwnReport(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	go func() {
		for n := 0; ; {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			response := ""
			for br := bufio.NewReader(c); ; {
				if _, err := http.ReadRequest(br); err != nil {
					break
				}
				if n++; n == 2 {
					_, _ = io.WriteString(c, response)
				}
				time.Sleep(5 * time.Millisecond)
				response = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", reportHeader, n)
				_, _ = io.WriteString(c, response)
			}
			_ = c.Close()
		}
	}()
	transport := newHTTPTransport(defaultTimeout, nil)
	var reports []string
	for range 5 {
		r := transport.Probe(context.Background(), netip.MustParseAddrPort(ln.Addr().String()), "/load")
		reports = append(reports, r.Report)
	}
	g.Expect(reports).To(Equal([]string{"1", "2", "3", "4", "5"}))
}
