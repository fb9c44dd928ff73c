package host_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/admin/api"
	"github.com/chestnutfield/chestnutfield/config/schema"
)

// coldServer is a target that reports the rest of its warm-up on its load path and
// records when requests arrive.
type coldServer struct {
	*httptest.Server
	coldUntil atomic.Pointer[time.Time]
	mu        sync.Mutex
	arrivals  []time.Time
}

const (
	// coldServerWork is how long a request takes, sendersPerHost the number of requests
	// that a host gets at the same time. Together they keep both targets of a pool busy:
	// of two that are idle, the one that was a little faster may get all requests.
	coldServerWork = 20 * time.Millisecond
	sendersPerHost = 3
)

func newColdServer() *coldServer {
	s := &coldServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if until := s.coldUntil.Load(); r.URL.Path == "/load" && until != nil {
			w.Header().Set("Warmup-Ms", strconv.FormatInt(max(time.Until(*until).Milliseconds(), 0), 10))
		}
		if r.URL.Path != "/load" {
			s.mu.Lock()
			s.arrivals = append(s.arrivals, time.Now())
			s.mu.Unlock()
			time.Sleep(coldServerWork)
		}
	}))
	DeferCleanup(s.Close)
	return s
}

// between returns the times at which requests arrived from one time to another.
func (s *coldServer) between(from, to time.Time) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Filter(s.arrivals, func(at time.Time, _ int) bool { return !at.Before(from) && at.Before(to) })
}

func (s *coldServer) lastSecond() int {
	return len(s.between(time.Now().Add(-time.Second), time.Now()))
}

var _ = Describe("a cold target", func() {
	// Guards against a warm-up that the owner doesn't learn, a limit that hosts or
	// their retries pass, and one that outlasts the warm-up.
	It("gets the warm-up rate of its pool over all hosts, and its usual share once warm", func() {
		const bound = 2*1.5 + 8
		d := newDeployment(3, 3)
		d.waitUntilServing()
		cold, warm := newColdServer(), newColdServer()
		d.apply(schema.Pools, "[w]\ntargets = "+cold.Listener.Addr().String()+"@b, "+warm.Listener.Addr().String()+"@b\nload_path = /load\nwarmup_per_second = 2\n")
		d.apply(schema.Routes, "[w]\npath_prefix = /w/\npool = w\nclass = lookup\nidempotent = true\ntimeout = 5s\n")
		ctx, stop := context.WithCancel(context.Background())
		var senders sync.WaitGroup
		var failed atomic.Int64
		DeferCleanup(func() { stop(); senders.Wait() })
		DeferCleanup(func() {
			if CurrentSpecReport().Failed() {
				for _, h := range d.hosts {
					GinkgoWriter.Printf("targets of w: %+v\n", poolStatus(h, "w").Targets)
				}
				GinkgoWriter.Println("failed requests:", failed.Load())
			}
		})
		for _, h := range d.hosts {
			Eventually(func() int { r, _ := send(h, http.MethodGet, "/w/x", ""); return r.status }, waitTimeout).Should(Equal(http.StatusOK))
			for range sendersPerHost {
				senders.Go(func() {
					for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
						if r, _ := send(h, http.MethodGet, "/w/x", ""); r.status != http.StatusOK {
							failed.Add(1)
						}
					}
				})
			}
		}
		Eventually(cold.lastSecond, waitTimeout).Should(BeNumerically(">", bound))

		until := time.Now().Add(4 * time.Second)
		cold.coldUntil.Store(&until)
		limits := func() []string {
			return lo.Map(poolStatus(d.hosts[1], "w").Targets, func(t api.TargetStatus, _ int) string { return t.LimitReason })
		}
		Eventually(limits, waitTimeout, 10*time.Millisecond).Should(ContainElement("warm-up"))
		from := time.Now().Add(100 * time.Millisecond)
		time.Sleep(time.Until(until))
		arrivals := cold.between(from, until)
		GinkgoWriter.Println(len(arrivals), "requests to the cold target and", len(warm.between(from, until)), "to the warm one in", until.Sub(from))
		Expect(arrivals).NotTo(BeEmpty(), "a cold target is used")
		for i, at := range arrivals {
			Expect(lo.CountBy(arrivals[i:], func(x time.Time) bool { return x.Sub(at) < time.Second })).To(BeNumerically("<=", bound))
		}
		Eventually(cold.lastSecond, waitTimeout).Should(BeNumerically(">", bound))
		Expect(limits()).To(HaveEach(""))
		Expect(failed.Load()).To(BeZero(), "the warm target serves what the cold one doesn't")

		until = time.Now().Add(15 * time.Second)
		cold.coldUntil.Store(&until)
		warm.coldUntil.Store(&until)
		Eventually(func(g Gomega) {
			began := time.Now()
			r, err := http.Get("http://" + d.hosts[0].CallersAddr().String() + "/w/x")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r).To(And(HaveHTTPStatus(http.StatusServiceUnavailable), HaveHTTPHeaderWithValue("Chestnut-Outcome", "not-run"),
				HaveHTTPHeaderWithValue("Retry-After", MatchRegexp("^([1-9]|1[0-5])$"))), "at most until the pool is warm")
			GinkgoWriter.Println("refused after", time.Since(began), "Retry-After", r.Header.Get("Retry-After"))
		}, waitTimeout).Should(Succeed())
	})
})
