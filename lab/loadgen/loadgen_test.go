package loadgen_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/lab/runlog"
	"github.com/chestnutfield/chestnutfield/lab/upstreamd"
	"github.com/chestnutfield/chestnutfield/lab/workload"
	"github.com/chestnutfield/chestnutfield/table"
)

type hostList []string

func (a hostList) Addresses() []string { return a }

func class(name table.Class) loadgen.Class {
	return loadgen.Class{
		Name: name, Method: http.MethodPost, Path: "/x/", Rate: 500, Callers: 3, ResponseBytes: 300,
		ServiceTime: workload.Distribution{Shape: workload.Const, Mean: time.Microsecond},
	}
}

func run(c loadgen.Class, hosts ...string) []loadgen.Record {
	plan, err := loadgen.Plan([]loadgen.Class{c}, loadgen.Constant, 40*time.Millisecond, 1)
	Expect(err).NotTo(HaveOccurred())
	o := loadgen.Options{Hosts: hostList(hosts), Classes: []loadgen.Class{c}, Timeout: 10 * time.Second}
	return loadgen.Run(context.Background(), o, plan)
}

// serve starts an HTTP server with the handler and returns its address.
func serve(h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return s.Listener.Addr().String()
}

func target(log *runlog.Log) string {
	o := upstreamd.DefaultOptions()
	o.Log, o.Queue = log, 1000
	s, err := upstreamd.New(o)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(s.Close)
	return s.Addr()
}

func outcomes(rs []loadgen.Record) map[loadgen.Outcome]int {
	m := map[loadgen.Outcome]int{}
	for _, r := range rs {
		m[r.Outcome]++
	}
	return m
}

var _ = Describe("Plan", func() {
	It("returns the same plan for the same seed and keeps to the rates", func() {
		lookups, orders := class(table.Lookup), class(table.Order)
		lookups.Bursts = []loadgen.Burst{{From: 5 * time.Second, To: 10 * time.Second, Factor: 3}}
		orders.CopyShare, orders.CopyDelay = 0.5, time.Millisecond
		cs := []loadgen.Class{lookups, orders}
		plan, err := loadgen.Plan(cs, loadgen.Poisson, 20*time.Second, 9)
		Expect(err).NotTo(HaveOccurred())
		again, err := loadgen.Plan(cs, loadgen.Poisson, 20*time.Second, 9)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(plan))
		var baseline, burst, copies int
		tokens := map[string]bool{}
		for i, r := range plan {
			tokens[r.Token] = true
			Expect(i == 0 || plan[i-1].At <= r.At).To(BeTrue())
			switch inBurst := r.At >= 5*time.Second && r.At < 10*time.Second; {
			case r.Class == 1 && r.Copy:
				copies++
			case r.Class == 0 && inBurst:
				burst++
			case r.Class == 0:
				baseline++
			}
		}
		Expect(tokens).To(HaveLen(len(plan)))
		Expect(baseline).To(BeNumerically("~", 7500, 400))
		Expect(burst).To(BeNumerically("~", 7500, 400))
		Expect(copies).To(BeNumerically("~", 5000, 400))
	})

	It("refuses a class with an unknown name", func() {
		c := class("vip")
		_, err := loadgen.Plan([]loadgen.Class{c}, loadgen.Poisson, time.Second, 1)
		Expect(err).To(MatchError(ContainSubstring("expected lookup, order or batch")))
	})
})

var _ = Describe("Run", func() {
	It("counts complete responses and finds no violation with a correct target", func() {
		log := runlog.New()
		records := run(class(table.Order), target(log))
		Expect(outcomes(records)).To(Equal(map[loadgen.Outcome]int{loadgen.Answered: 19}))
		Expect(loadgen.Check(records, log).Total()).To(BeZero())
		s := loadgen.Summarize([]loadgen.Class{class(table.Order)}, records, log, loadgen.Window{To: 40 * time.Millisecond})
		Expect(s[0].Sent).To(Equal(19))
		Expect(s[0].Retries).To(BeZero())
		Expect(s[0].Goodput).To(BeNumerically("~", 475))
	})

	It("measures latency from the planned start, caller delay included", func() {
		slow := serve(func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Millisecond) })
		c := class(table.Lookup)
		plan := []loadgen.Request{{At: -time.Second, Token: "t", Path: "/"}}
		o := loadgen.Options{Hosts: hostList{slow}, Classes: []loadgen.Class{c}, Timeout: time.Minute, CallerDelay: time.Second}
		records := loadgen.Run(context.Background(), o, plan)
		Expect(records[0].Latency).To(BeNumerically(">=", 3*time.Second+5*time.Millisecond))
	})

	DescribeTable("classifies responses",
		func(h http.HandlerFunc, want loadgen.Outcome) {
			Expect(outcomes(run(class(table.Lookup), serve(h)))).To(Equal(map[loadgen.Outcome]int{want: 19}))
		},
		Entry("response to another request", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(workload.ResponseBody("other", 300)) }, loadgen.Wrong),
		Entry("short body without an error", func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(workload.ResponseBody(r.Header.Get(workload.TokenHeader), 300)[:200])
		}, loadgen.Truncated),
		Entry("connection closed before the announced end", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(300))
			_, _ = w.Write(workload.ResponseBody(r.Header.Get(workload.TokenHeader), 300)[:200])
		}, loadgen.Lost),
		Entry("not run", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(workload.OutcomeHeader, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, loadgen.NotRun),
		Entry("unknown", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(workload.OutcomeHeader, "unknown")
			w.WriteHeader(http.StatusBadGateway)
		}, loadgen.Unknown),
		Entry("in flight", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(workload.OutcomeHeader, "unknown")
			w.WriteHeader(http.StatusConflict)
		}, loadgen.InFlight),
		Entry("failed", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, loadgen.Failed),
	)

	It("accepts the recorded response to either copy of an order and to no other order", func() {
		c := class(table.Order)
		c.CopyShare = 1
		for answeredAs, want := range map[string]loadgen.Outcome{"": loadgen.Answered, "-copy": loadgen.Answered, "x": loadgen.Wrong} {
			recorded := serve(func(w http.ResponseWriter, r *http.Request) {
				_, _ = w.Write(workload.ResponseBody(r.Header.Get(workload.IdempotencyHeader)+answeredAs, 300))
			})
			Expect(outcomes(run(c, recorded))).To(Equal(map[loadgen.Outcome]int{want: 38}))
		}
	})

	It("sends each request once, even when its connection is closed", func() {
		var seen atomic.Int64
		closing := serve(func(w http.ResponseWriter, _ *http.Request) {
			seen.Add(1)
			c, _, err := http.NewResponseController(w).Hijack()
			Expect(err).NotTo(HaveOccurred())
			c.Close()
		})
		c := class(table.Lookup)
		c.Method = http.MethodGet
		Expect(outcomes(run(c, closing))).To(Equal(map[loadgen.Outcome]int{loadgen.Lost: 19}))
		Expect(seen.Load()).To(BeEquivalentTo(19))
	})

	It("classifies a request to a host that refuses connections as not run", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		Expect(outcomes(run(class(table.Lookup), l.Addr().String()))).To(Equal(map[loadgen.Outcome]int{loadgen.NotRun: 19}))
	})
})

var _ = It("ranks requests without a response last in the p99 of all requests sent", func() {
	cs := []loadgen.Class{class(table.Lookup)}
	var records []loadgen.Record
	for i := range 1000 {
		records = append(records, loadgen.Record{Outcome: loadgen.Answered, Latency: time.Duration(i+1) * time.Millisecond})
	}
	p99OfAllSent := func(refused int) time.Duration {
		for i := range refused {
			records[i].Outcome = loadgen.NotRun
		}
		return loadgen.Summarize(cs, records, nil, loadgen.Window{To: time.Second})[0].P99OfAllSent
	}
	Expect(p99OfAllSent(0)).To(BeNumerically("~", 990*time.Millisecond, 2*time.Millisecond))
	Expect(p99OfAllSent(5)).To(BeNumerically("~", 995*time.Millisecond, 2*time.Millisecond))
	Expect(p99OfAllSent(11)).To(BeZero())
})

var _ = Describe("Check", func() {
	It("finds orders that ran twice when nothing suppresses duplicates", func() {
		log := runlog.New()
		c := class(table.Order)
		c.CopyShare = 1
		records := run(c, target(log))
		v := loadgen.Check(records, log)
		Expect(v).To(Equal(loadgen.Violations{DuplicateOrders: 19}))
	})

	It("finds a request that ran although the response said not-run", func() {
		log := runlog.New()
		addr := target(log)
		misreporting := serve(func(w http.ResponseWriter, r *http.Request) {
			r2, err := http.NewRequest(http.MethodPost, "http://"+addr+r.URL.Path, nil)
			Expect(err).NotTo(HaveOccurred())
			r2.Header = r.Header.Clone()
			resp, err := http.DefaultClient.Do(r2)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			w.Header().Set(workload.OutcomeHeader, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		records := run(class(table.Lookup), misreporting)
		Expect(loadgen.Check(records, log)).To(Equal(loadgen.Violations{UntrueNotRun: 19}))
	})
})
