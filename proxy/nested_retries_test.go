package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// callNextLevel responds to each request with the status of a request to the
// next level. It passes the deadline and retry permission of the incoming
// request on.
func callNextLevel(next *harness) func(u *rawConn) {
	return func(u *rawConn) {
		for {
			req, _, ok := u.request()
			if !ok {
				return
			}
			raw := fmt.Sprintf("GET /specs/a HTTP/1.1\r\nHost: h\r\nChestnut-Deadline-Ms: %s\r\n", req.Header.Get("Chestnut-Deadline-Ms"))
			if allowed := req.Header.Get("Chestnut-Retries"); allowed != "" {
				raw += "Chestnut-Retries: " + allowed + "\r\n"
			}
			resp, err := next.askFromGoroutine(raw + "\r\n")
			if err != nil {
				return
			}
			u.send(fmt.Sprintf("HTTP/1.1 %d Level\r\nContent-Length: 0\r\n\r\n", resp.StatusCode))
		}
	}
}

// askFromGoroutine is like ask, for goroutines other than the spec's, where a
// failed Expect can't be handled.
func (b *harness) askFromGoroutine(raw string) (*http.Response, error) {
	c, err := net.Dial("tcp", b.addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if _, err := io.WriteString(c, raw); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(c), nil)
}

var _ = Describe("requests through nine levels of proxies", func() {
	It("are retried at one level only when the last upstream fails", func() {
		const levels = 9
		var bottom atomic.Int32
		serve := func(u *rawConn) {
			for {
				if _, _, ok := u.request(); !ok {
					return
				}
				bottom.Add(1)
				u.send("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
			}
		}
		var top *harness
		for range levels {
			top = newHarness([]*rawUpstream{newUpstream(serve), newUpstream(serve)})
			serve = callNextLevel(top)
		}
		resp, _ := top.ask(getSpec)
		Expect(resp.StatusCode).To(Equal(500))
		Expect(bottom.Load()).To(BeEquivalentTo(levels + 1))
	})
})
