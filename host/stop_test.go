package host_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/config/schema"
)

// Guards against callers whose connections are closed at the end of a stop, without a
// word on their orders.
var _ = It("a host that stops tells the callers of orders that are still at work that the outcome is unknown", func() {
	d := newDeployment(1, 1)
	atWork := make(chan struct{}, 1)
	slow := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/orders/") {
			atWork <- struct{}{}
			<-r.Context().Done()
		}
	}))
	DeferCleanup(slow.Close)
	d.apply(schema.Pools, "[catalogue]\ntargets = "+slow.Listener.Addr().String()+"@a\n")
	Eventually(func() int { return lookupStatus(d.hosts[0]) }, waitTimeout).Should(Equal(http.StatusOK))
	type result struct {
		response
		err error
	}
	results := make(chan result, 1)
	go func() {
		r, err := send(d.hosts[0], http.MethodPost, "/orders/x", "")
		results <- result{r, err}
	}()
	Eventually(atWork, waitTimeout).Should(Receive())
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	Expect(d.hosts[0].Stop(ctx)).To(Succeed())
	r := <-results
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.status).To(Equal(http.StatusBadGateway))
	Expect(r.outcome).To(Equal("unknown"))
})
