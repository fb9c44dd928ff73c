package platformd_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/lab/platformd"
)

func httpCall(method, url, body string) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(b)
}

var _ = Describe("faults", func() {
	ctx := context.Background()

	It("applies the given number of writes without acknowledging them", func() {
		s := start(platformd.Options{})
		c := tableClient(s)
		status, body := httpCall(http.MethodPost, s.URL()+"/faults?ack_lost=1", "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring(`"ack_lost":1`))
		_, err := c.PutItem(ctx, putAbsent("p", "a"))
		Expect(err).To(HaveOccurred())
		var failed *types.ConditionalCheckFailedException
		Expect(err).NotTo(MatchErrorType(&failed))
		Expect(get(c, "p", "a")).To(Equal(row("p", "a", 1)))
		_, err = c.PutItem(ctx, putAbsent("p", "b"))
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("applies nothing while the stores are",
		func(f platformd.Faults) {
			s := start(platformd.Options{Faults: f})
			c := tableClient(s)
			_, err := c.PutItem(ctx, putAbsent("p", "a"))
			Expect(err).To(HaveOccurred())
			s.SetFaults(platformd.Faults{})
			Expect(get(c, "p", "a")).To(BeEmpty())
		},
		Entry("down", platformd.Faults{Down: true}),
		Entry("closing connections", platformd.Faults{Cut: true}),
	)

	It("changes only the faults that a call names, and none if one is invalid", func() {
		s := start(platformd.Options{Faults: platformd.Faults{AckLost: 3}})
		status, _ := httpCall(http.MethodPost, s.URL()+"/faults", `{"down":true,"slow":"20ms"}`)
		Expect(status).To(Equal(http.StatusOK))
		want := platformd.Faults{Down: true, Slow: platformd.Duration(20 * time.Millisecond), AckLost: 3}
		Expect(s.Faults()).To(Equal(want))
		status, body := httpCall(http.MethodPost, s.URL()+"/faults?down=false&lost=1", "")
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(body).To(ContainSubstring(`unknown fault "lost"`))
		Expect(s.Faults()).To(Equal(want))
	})

	It("shows a change of the host list after the lag", func() {
		clock := clockwork.NewFakeClock()
		s := start(platformd.Options{Clock: clock, Faults: platformd.Faults{ListLag: platformd.Duration(30 * time.Second)}})
		host := cloud.ListedHost{Service: "catalogue", Addr: netip.MustParseAddrPort("127.0.0.1:9001"), FailureDomain: "a"}
		s.SetHosts([]cloud.ListedHost{host})
		clock.Advance(29 * time.Second)
		_, body := httpCall(http.MethodGet, s.URL()+"/hostlist?service=catalogue", "")
		Expect(body).To(MatchJSON(`[]`))
		clock.Advance(time.Second)
		_, body = httpCall(http.MethodGet, s.URL()+"/hostlist?service=catalogue", "")
		Expect(body).To(MatchJSON(`[{"service":"catalogue","addr":"127.0.0.1:9001","failure_domain":"a","leaving":false}]`))
		_, body = httpCall(http.MethodGet, s.URL()+"/hostlist?service=booking", "")
		Expect(body).To(MatchJSON(`[]`))
	})

	It("reports items read and written per second", func() {
		clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
		s := start(platformd.Options{Clock: clock})
		c := tableClient(s)
		for _, sk := range []string{"a", "b"} {
			_, err := c.PutItem(ctx, putAbsent("p", sk))
			Expect(err).NotTo(HaveOccurred())
		}
		get(c, "p", "a")
		clock.Advance(time.Second)
		st := s.Stats()
		Expect(st.WritesPerSecond).To(Equal(0.2))
		Expect(st.ReadsPerSecond).To(Equal(0.1))
		Expect([]uint64{st.Reads, st.Writes}).To(Equal([]uint64{1, 2}))
		Expect(st.PeakWritesPerSecond).To(BeEquivalentTo(2))
		Expect(st.Operations["PutItem"].Calls).To(BeEquivalentTo(2))
	})
})
