package hostlist_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/hostlist"
	"github.com/chestnutfield/chestnutfield/lab/platformd"
)

var _ = Describe("the host list client", func() {
	ctx := context.Background()

	It("returns the entries of one service or of all", func() {
		srv := platformd.New(platformd.Options{})
		Expect(srv.Start("127.0.0.1:0")).To(Succeed())
		DeferCleanup(srv.Close)
		a := cloud.ListedHost{Service: "booking", Addr: netip.MustParseAddrPort("127.0.0.1:1"), FailureDomain: "a", Leaving: true}
		b := cloud.ListedHost{Service: "tracker", Addr: netip.MustParseAddrPort("127.0.0.1:2"), FailureDomain: "b"}
		srv.SetHosts([]cloud.ListedHost{a, b})
		c := hostlist.New(hostlist.Options{BaseURL: srv.URL() + "/"})
		Expect(c.List(ctx, "booking")).To(Equal([]cloud.ListedHost{a}))
		Expect(c.List(ctx, "")).To(Equal([]cloud.ListedHost{a, b}))
	})

	DescribeTable("returns ErrUnavailable for a response that it can't decode completely",
		func(status int, body string) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				fmt.Fprint(w, body)
			}))
			DeferCleanup(srv.Close)
			_, err := hostlist.New(hostlist.Options{BaseURL: srv.URL}).List(ctx, "")
			Expect(err).To(MatchError(cloud.ErrUnavailable))
		},
		Entry("status 503", 503, `[]`),
		Entry("truncated JSON", 200, `[{"service":"a"`),
		Entry("address with a host name", 200, `[{"service":"a","addr":"localhost:1"}]`),
	)
})
