package upstreamd_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/lab/runlog"
	"github.com/chestnutfield/chestnutfield/lab/upstreamd"
	"github.com/chestnutfield/chestnutfield/lab/workload"
)

// endless is a service time longer than any test.
const endless = "1h"

type response struct {
	status int
	header http.Header
	body   string
}

type testTarget struct {
	*upstreamd.Server
	log    *runlog.Log
	client *http.Client
}

func start(change func(*upstreamd.Options)) *testTarget {
	o := upstreamd.DefaultOptions()
	o.Log = runlog.New()
	change(&o)
	s, err := upstreamd.New(o)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(s.Close)
	return &testTarget{Server: s, log: o.Log, client: &http.Client{Transport: &http.Transport{}}}
}

func (f *testTarget) request(ctx context.Context, path string, header ...string) (response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Addr()+path, strings.NewReader(""))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(body)}, err
}

func (f *testTarget) mustRequest(path string, header ...string) response {
	a, err := f.request(context.Background(), path, header...)
	Expect(err).NotTo(HaveOccurred())
	return a
}

// occupySlot sends a request that occupies a slot until cancel is called.
func (f *testTarget) occupySlot(token string) (cancel func()) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = f.request(ctx, "/work", workload.TokenHeader, token, workload.ServiceTimeHeader, endless)
	}()
	return func() { stop(); <-done }
}

func (f *testTarget) loadReport() string { return f.mustRequest("/load").body }

var shortServiceTime = []string{workload.ServiceTimeHeader, "1us"}

var _ = Describe("a target", func() {
	It("returns the complete response to the request and reports its load", func() {
		f := start(func(*upstreamd.Options) {})
		a := f.mustRequest("/specs/1", append(shortServiceTime, workload.TokenHeader, "t-1", workload.ResponseBytesHeader, "70000")...)
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(workload.Compare("t-1", 70000, []byte(a.body))).To(Equal(workload.Complete))
		Expect(a.header.Get(workload.LoadHeader)).To(
			Equal("TEXT named_metrics.in_flight=0, named_metrics.queued=0, application_utilization=0.00"))
		Expect(f.log.Entry("t-1")).To(Equal(runlog.Entry{Arrivals: 1, Runs: 1}))
	})

	It("queues requests when its slots are full, sheds when its queue is full, and does not run requests cancelled in the queue", func() {
		f := start(func(o *upstreamd.Options) { o.Queue = 1 })
		first, second := f.occupySlot("a"), f.occupySlot("b")
		defer second()
		Eventually(f.loadReport).Should(ContainSubstring("in_flight=2, named_metrics.queued=0"))
		queued := f.occupySlot("c")
		Eventually(f.loadReport).Should(ContainSubstring("in_flight=2, named_metrics.queued=1"))
		shed := f.mustRequest("/work", workload.TokenHeader, "d")
		Expect(shed.status).To(Equal(http.StatusServiceUnavailable))
		Expect(shed.header.Get(workload.NotRunHeader)).To(Equal("1"))
		Expect(shed.header.Get("Retry-After")).To(Equal("1"))
		queued()
		Eventually(f.loadReport).Should(ContainSubstring("in_flight=2, named_metrics.queued=0"))
		first()
		Eventually(f.loadReport).Should(ContainSubstring("in_flight=1, named_metrics.queued=0"))
		Expect(f.log.Entry("c")).To(Equal(runlog.Entry{Arrivals: 1}))
		Expect(f.log.Entry("d")).To(Equal(runlog.Entry{Arrivals: 1}))
		Expect(f.Stats().Cancelled).To(BeEquivalentTo(2))
	})

	It("stops a running request at its deadline and does not run one still queued at its deadline", func() {
		f := start(func(o *upstreamd.Options) { o.Slots = 1 })
		a := f.mustRequest("/work", workload.TokenHeader, "ran", workload.ServiceTimeHeader, endless, workload.DeadlineHeader, "5")
		Expect(a.status).To(Equal(http.StatusGatewayTimeout))
		Expect(a.header).NotTo(HaveKey(workload.NotRunHeader))
		defer f.occupySlot("long")()
		Eventually(f.loadReport).Should(ContainSubstring("in_flight=1"))
		a = f.mustRequest("/work", workload.TokenHeader, "late", workload.DeadlineHeader, "5")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.header.Get(workload.NotRunHeader)).To(Equal("1"))
		Expect(f.log.Entry("ran").Runs).To(Equal(1))
		Expect(f.log.Entry("late").Runs).To(Equal(0))
		Expect(f.Stats().Expired).To(BeEquivalentTo(2))
	})

	It("closes connections that exceed its limit", func() {
		f := start(func(o *upstreamd.Options) { o.Connections = 1 })
		defer f.occupySlot("a")()
		Eventually(func() int64 { return f.Stats().Runs }).Should(BeEquivalentTo(1))
		_, err := f.request(context.Background(), "/work")
		Expect(err).To(HaveOccurred())
		Expect(f.Stats().ConnectionsRefused).To(BeNumerically(">=", 1))
	})

	It("closes its connections when it restarts", func() {
		f := start(func(*upstreamd.Options) {})
		failed := make(chan error, 1)
		go func() {
			_, err := f.request(context.Background(), "/work", workload.ServiceTimeHeader, endless)
			failed <- err
		}()
		Eventually(func() int64 { return f.Stats().Runs }).Should(BeEquivalentTo(1))
		f.Restart()
		Eventually(failed).Should(Receive(HaveOccurred()))
	})

	It("records an order that ran twice on different targets", func() {
		log := runlog.New()
		for range 2 {
			f := start(func(o *upstreamd.Options) { o.Log = log })
			f.mustRequest("/book", append(shortServiceTime, workload.TokenHeader, "o", workload.IdempotencyHeader, "k", workload.CallerHeader, "c")...)
		}
		Expect(log.Totals()).To(Equal(runlog.Totals{Requests: 1, Arrivals: 2, Runs: 2, Orders: 1, DuplicateOrders: 1}))
	})
})

var _ = Describe("behavior", func() {
	It("is changed over HTTP, and not at all if one part is invalid", func() {
		f := start(func(*upstreamd.Options) {})
		f.mustRequest("/control?slowdown=10&noisy=true")
		want := upstreamd.Behavior{Slowdown: 10, Noisy: true}
		Expect(f.Behavior()).To(Equal(want))
		Expect(f.mustRequest("/control?hang=true&drain=maybe").status).To(Equal(http.StatusBadRequest))
		Expect(f.mustRequest("/control?hangs=true").status).To(Equal(http.StatusBadRequest))
		Expect(f.Behavior()).To(Equal(want))
	})

	It("can drain with or without an announcement and counts late requests", func() {
		f := start(func(o *upstreamd.Options) { o.DrainGrace = 0 })
		Expect(f.SetBehavior(upstreamd.Behavior{Drain: upstreamd.DrainAnnounced})).To(Succeed())
		a := f.mustRequest("/work", shortServiceTime...)
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(a.header.Get(workload.DrainingHeader)).To(Equal("1"))
		Expect(f.SetBehavior(upstreamd.Behavior{Drain: upstreamd.DrainSilent})).To(Succeed())
		a = f.mustRequest("/work", shortServiceTime...)
		Expect(a.header.Get(workload.NotRunHeader)).To(Equal("1"))
		Expect(a.header).NotTo(HaveKey(workload.DrainingHeader))
		Expect(f.mustRequest("/health").status).To(Equal(http.StatusServiceUnavailable))
		Expect(f.Stats().LateWork).To(BeEquivalentTo(2))
	})

	It("can fail fast without running requests", func() {
		f := start(func(*upstreamd.Options) {})
		Expect(f.SetBehavior(upstreamd.Behavior{FailFast: true})).To(Succeed())
		Expect(f.mustRequest("/work", workload.TokenHeader, "t").status).To(Equal(http.StatusInternalServerError))
		Expect(f.log.Entry("t").Runs).To(Equal(0))
	})

	It("can run requests without responding", func() {
		f := start(func(*upstreamd.Options) {})
		Expect(f.SetBehavior(upstreamd.Behavior{Hang: true})).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			Eventually(func() int { return f.log.Entry("t").Runs }).Should(Equal(1))
			cancel()
		}()
		_, err := f.request(ctx, "/work", append(shortServiceTime, workload.TokenHeader, "t")...)
		Expect(err).To(MatchError(context.Canceled))
	})

	DescribeTable("can report a wrong load",
		func(r upstreamd.LoadReport, want string) {
			f := start(func(*upstreamd.Options) {})
			Expect(f.SetBehavior(upstreamd.Behavior{Report: r})).To(Succeed())
			defer f.occupySlot("a")()
			Eventually(func() int64 { return f.Stats().Runs }).Should(BeEquivalentTo(1))
			a := f.mustRequest("/load")
			Expect(a.header.Get(workload.LoadHeader)).To(Equal(a.body))
			Expect(a.body).To(ContainSubstring(want))
		},
		Entry("frozen", upstreamd.ReportFrozen, "in_flight=0,"),
		Entry("idle", upstreamd.ReportIdle, "in_flight=0,"),
		Entry("absurd", upstreamd.ReportAbsurd, "in_flight=-7,"),
		Entry("none", upstreamd.ReportNone, ""),
		Entry("accurate", upstreamd.ReportAccurate, "in_flight=1,"),
	)

	It("rejects invalid options", func() {
		_, err := upstreamd.New(upstreamd.Options{Slots: 0, Connections: 1})
		Expect(err).To(MatchError(ContainSubstring("slots 0")))
		o := upstreamd.DefaultOptions()
		o.ServiceTime.Mean = -time.Second
		_, err = upstreamd.New(o)
		Expect(err).To(MatchError(ContainSubstring("mean service time")))
	})
})
