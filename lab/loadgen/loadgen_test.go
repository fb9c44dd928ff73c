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

type addresses []string

func (a addresses) Addresses() []string { return a }

func class(name table.Class) loadgen.Class {
	return loadgen.Class{
		Name: name, Method: http.MethodPost, Path: "/x/", Rate: 500, Callers: 3, AnswerBytes: 300,
		ServiceTime: workload.Distribution{Shape: workload.Const, Mean: time.Microsecond},
	}
}

func run(c loadgen.Class, hosts ...string) []loadgen.Record {
	plan, err := loadgen.Plan([]loadgen.Class{c}, loadgen.Constant, 40*time.Millisecond, 1)
	Expect(err).NotTo(HaveOccurred())
	o := loadgen.Options{Hosts: addresses(hosts), Classes: []loadgen.Class{c}, Timeout: 10 * time.Second}
	return loadgen.Run(context.Background(), o, plan)
}

// serve answers every request with the handler.
func serve(h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return s.Listener.Addr().String()
}

func target(log *runlog.Log) string {
	o := upstreamd.Defaults()
	o.Log, o.Queue = log, 1000
	s, err := upstreamd.New(o)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(s.Close)
	return s.Addr()
}

func ends(rs []loadgen.Record) map[loadgen.End]int {
	m := map[loadgen.End]int{}
	for _, r := range rs {
		m[r.End]++
	}
	return m
}

var _ = Describe("the plan", func() {
	It("is the same for the same seed and keeps to its rates", func() {
		lookups, orders := class(table.Lookup), class(table.Order)
		lookups.Bursts = []loadgen.Burst{{From: 5 * time.Second, To: 10 * time.Second, Factor: 3}}
		orders.CopyShare, orders.CopyDelay = 0.5, time.Millisecond
		cs := []loadgen.Class{lookups, orders}
		plan, err := loadgen.Plan(cs, loadgen.Poisson, 20*time.Second, 9)
		Expect(err).NotTo(HaveOccurred())
		again, err := loadgen.Plan(cs, loadgen.Poisson, 20*time.Second, 9)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(plan))
		var calm, burst, copies int
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
				calm++
			}
		}
		Expect(tokens).To(HaveLen(len(plan)))
		Expect(calm).To(BeNumerically("~", 7500, 400))
		Expect(burst).To(BeNumerically("~", 7500, 400))
		Expect(copies).To(BeNumerically("~", 5000, 400))
	})

	It("refuses a class that makes no sense", func() {
		c := class("vip")
		_, err := loadgen.Plan([]loadgen.Class{c}, loadgen.Poisson, time.Second, 1)
		Expect(err).To(MatchError(ContainSubstring("expected lookup, order or batch")))
	})
})

var _ = Describe("a run", func() {
	It("counts whole answers and finds no violation at a sound target", func() {
		log := runlog.New()
		records := run(class(table.Order), target(log))
		Expect(ends(records)).To(Equal(map[loadgen.End]int{loadgen.Answered: 19}))
		Expect(loadgen.Check(records, log).Total()).To(BeZero())
		s := loadgen.Summarize([]loadgen.Class{class(table.Order)}, records, log, loadgen.Window{To: 40 * time.Millisecond})
		Expect(s[0].Sent).To(Equal(19))
		Expect(s[0].Retries).To(BeZero())
		Expect(s[0].Goodput).To(BeNumerically("~", 475))
	})

	It("counts latency from the intended start, with the callers' delay", func() {
		slow := serve(func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Millisecond) })
		c := class(table.Lookup)
		plan := []loadgen.Request{{At: -time.Second, Token: "t", Path: "/"}}
		o := loadgen.Options{Hosts: addresses{slow}, Classes: []loadgen.Class{c}, Timeout: time.Minute, CallerDelay: time.Second}
		records := loadgen.Run(context.Background(), o, plan)
		Expect(records[0].Latency).To(BeNumerically(">=", 3*time.Second+5*time.Millisecond))
	})

	DescribeTable("judges answers",
		func(h http.HandlerFunc, want loadgen.End) {
			Expect(ends(run(class(table.Lookup), serve(h)))).To(Equal(map[loadgen.End]int{want: 19}))
		},
		Entry("another's", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(workload.Body("other", 300)) }, loadgen.Wrong),
		Entry("shorter, ended cleanly", func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(workload.Body(r.Header.Get(workload.TokenHeader), 300)[:200])
		}, loadgen.Truncated),
		Entry("cut before the announced end", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(300))
			_, _ = w.Write(workload.Body(r.Header.Get(workload.TokenHeader), 300)[:200])
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

	It("takes the recorded answer of either copy of an order, whichever ran, and of no other", func() {
		c := class(table.Order)
		c.CopyShare = 1
		for answeredAs, want := range map[string]loadgen.End{"": loadgen.Answered, "-copy": loadgen.Answered, "x": loadgen.Wrong} {
			recorded := serve(func(w http.ResponseWriter, r *http.Request) {
				_, _ = w.Write(workload.Body(r.Header.Get(workload.IdempotencyHeader)+answeredAs, 300))
			})
			Expect(ends(run(c, recorded))).To(Equal(map[loadgen.End]int{want: 38}))
		}
	})

	It("sends each request once, also when its connection is cut", func() {
		var seen atomic.Int64
		cutting := serve(func(w http.ResponseWriter, _ *http.Request) {
			seen.Add(1)
			c, _, err := http.NewResponseController(w).Hijack()
			Expect(err).NotTo(HaveOccurred())
			c.Close()
		})
		c := class(table.Lookup)
		c.Method = http.MethodGet
		Expect(ends(run(c, cutting))).To(Equal(map[loadgen.End]int{loadgen.Lost: 19}))
		Expect(seen.Load()).To(BeEquivalentTo(19))
	})

	It("counts a host that takes no connection as not run", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		Expect(ends(run(class(table.Lookup), l.Addr().String()))).To(Equal(map[loadgen.End]int{loadgen.NotRun: 19}))
	})
})

var _ = It("counts requests without an answer last in the p99 of all sent", func() {
	cs := []loadgen.Class{class(table.Lookup)}
	var records []loadgen.Record
	for i := range 1000 {
		records = append(records, loadgen.Record{End: loadgen.Answered, Latency: time.Duration(i+1) * time.Millisecond})
	}
	p99Sent := func(refused int) time.Duration {
		for i := range refused {
			records[i].End = loadgen.NotRun
		}
		return loadgen.Summarize(cs, records, nil, loadgen.Window{To: time.Second})[0].P99Sent
	}
	Expect(p99Sent(0)).To(BeNumerically("~", 990*time.Millisecond, 2*time.Millisecond))
	Expect(p99Sent(5)).To(BeNumerically("~", 995*time.Millisecond, 2*time.Millisecond))
	Expect(p99Sent(11)).To(BeZero())
})

var _ = Describe("the check against the run log", func() {
	It("finds orders that ran twice when a balancer keeps no ledger", func() {
		log := runlog.New()
		c := class(table.Order)
		c.CopyShare = 1
		records := run(c, target(log))
		v := loadgen.Check(records, log)
		Expect(v).To(Equal(loadgen.Violations{DuplicateOrders: 19}))
	})

	It("finds an untrue not-run", func() {
		log := runlog.New()
		addr := target(log)
		liar := serve(func(w http.ResponseWriter, r *http.Request) {
			r2, err := http.NewRequest(http.MethodPost, "http://"+addr+r.URL.Path, nil)
			Expect(err).NotTo(HaveOccurred())
			r2.Header = r.Header.Clone()
			resp, err := http.DefaultClient.Do(r2)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			w.Header().Set(workload.OutcomeHeader, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		records := run(class(table.Lookup), liar)
		Expect(loadgen.Check(records, log)).To(Equal(loadgen.Violations{UntrueNotRun: 19}))
	})
})
