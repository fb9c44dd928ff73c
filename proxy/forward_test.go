package proxy

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("forwarding", func() {
	It("forwards a lookup and its response completely", func() {
		up := newUpstream(respondAlways(okResponse))
		b := newHarness([]*rawUpstream{up})
		resp, body := b.ask(getSpec)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal("done"))
		Expect(resp.Header).To(HaveKeyWithValue("X-Spec", []string{"Bend"}))
		Expect(up.received()).To(MatchRegexp(`^GET /specs/a HTTP/1.1\r\nHost: h\r\nX-Caller: c1\r\nChestnut-Deadline-Ms: \d+\r\n\r\n$`))
	})

	It("forwards an order with its body", func() {
		up := newUpstream(respondAlways(okResponse))
		b := newHarness([]*rawUpstream{up})
		resp, body := b.ask(postOrder)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(body).To(Equal("done"))
		Expect(up.received()).To(HaveSuffix("Content-Length: 5\r\n\r\nhello"))
	})

	It("reuses the connection to the upstream", func() {
		up := newUpstream(respondAlways(okResponse))
		b := newHarness([]*rawUpstream{up})
		c := b.dial()
		for range 5 {
			c.send(getSpec)
			_, body, err := c.readResponse("GET")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("done"))
		}
		Expect(up.conns.Load()).To(BeEquivalentTo(1))
		Expect(b.balancer.inFlight()).To(BeZero())
	})
})
