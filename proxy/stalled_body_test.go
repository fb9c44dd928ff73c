package proxy

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/table"
)

// Guards against a status that promises that an order has not run, sent to a caller whose
// body stalls although a target has run the order or may have.
var _ = Describe("an order whose long body stalls after its dispatch", func() {
	const announced = 200_000
	stalledOrder := "POST /orders/a HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", announced/2)
	stalled := func(serve func(u *rawConn)) (*http.Response, string) {
		b := newHarness([]*rawUpstream{newUpstream(serve)}, withRoute("order", func(r *table.Route) { r.Timeout = time.Second }))
		return b.ask(stalledOrder)
	}

	It("gets the answer of a target that answered before it had read the body", func() {
		resp, body := stalled(func(u *rawConn) {
			if _, err := http.ReadRequest(u.br); err == nil {
				u.send(okResponse)
			}
			u.waitClosed()
		})
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("done"))
		Expect(resp.Close).To(BeTrue())
	})

	It("gets 504 unknown while the target has not answered", func() {
		resp, _ := stalled(neverRespond)
		Expect(resp.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(resp.Header.Get("Chestnut-Outcome")).To(Equal("unknown"))
	})
})
