package probe_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/probe"
)

func TestProbe(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "probe")
}

var (
	start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	addr  = netip.MustParseAddrPort("127.0.0.1:9001")
)

type members []string

func (m members) LiveHosts() []string { return m }
func (m members) ShareDivisor() int   { return len(m) }

func hostNames(n int) members {
	return lo.Times(n, func(i int) string { return fmt.Sprintf("entry-%03d", i) })
}

// sentBy makes each host probe in all of its time slots and returns the times of
// the probes.
func sentBy(positions []probe.Position, budget float64, span, step time.Duration) (sent []time.Duration) {
	schedulers := lo.Times(len(positions), func(int) *probe.Scheduler { return probe.NewScheduler() })
	target := probe.Target{Addr: addr, Budget: budget}
	for at := time.Duration(0); at < span; at += step {
		for i, pos := range positions {
			if open, _ := schedulers[i].Open(start.Add(at), pos, target); open {
				schedulers[i].RecordProbe(start.Add(at), addr)
				sent = append(sent, at)
			}
		}
	}
	return sent
}

// TestBudgetInEverySecond checks that hosts that agree about the membership exceed
// the budget in no second.
func TestBudgetInEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "hosts")
		extra := rapid.IntRange(0, 20).Draw(t, "share above hosts")
		budget := float64(rapid.IntRange(1, 40).Draw(t, "budget"))
		names := hostNames(n)
		positions := lo.Map(names, func(h string, _ int) probe.Position { return probe.NewPosition(h, names, n+extra) })
		sent := sentBy(positions, budget, 5*time.Second, 3*time.Millisecond)
		for i, at := range sent {
			j, _ := slices.BinarySearch(sent, at+time.Second)
			if float64(j-i) > budget {
				t.Fatalf("%d probes in the second from %v, budget %g", j-i, at, budget)
			}
		}
	})
}

// TestBudgetWhileHostsDisagree checks that hosts that disagree about the membership
// exceed the budget by at most one probe per host, as long as each divides it by at
// least the number of hosts.
func TestBudgetWhileHostsDisagree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "hosts")
		budget := float64(rapid.IntRange(1, 40).Draw(t, "budget"))
		positions := lo.Times(n, func(int) probe.Position {
			share := n + rapid.IntRange(0, 30).Draw(t, "extra")
			return probe.Position{Index: rapid.IntRange(0, share-1).Draw(t, "index"), HostCount: share}
		})
		const span = 4
		sent := sentBy(positions, budget, span*time.Second, 3*time.Millisecond)
		if float64(len(sent)) > budget*span+float64(n) {
			t.Fatalf("%d probes in %d s of %d hosts, budget %g", len(sent), span, n, budget)
		}
	})
}

type source struct {
	mu      sync.Mutex
	kind    probe.Kind
	results []probe.Result
}

func (s *source) ProbeKind(time.Time, string, netip.AddrPort) probe.Kind { return s.kind }

func (s *source) ProbeDone(_ time.Time, _ netip.AddrPort, r probe.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, r)
}

func (s *source) got() []probe.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.results)
}

var _ = Describe("Scheduler", func() {
	It("uses most of the budget and stays within it while hosts join and leave", func() {
		names := hostNames(18)
		positions := lo.Map(names, func(h string, _ int) probe.Position { return probe.NewPosition(h, names, 18) })
		Expect(len(sentBy(positions, 20, 10*time.Second, time.Millisecond))).To(BeNumerically(">=", 180))
		s, target, sent := probe.NewScheduler(), probe.Target{Addr: addr, Budget: 20}, 0
		for ms := range 10_000 {
			now, hosts := start.Add(time.Duration(ms)*time.Millisecond), hostNames(10+ms/100%9)
			if open, _ := s.Open(now, probe.NewPosition("entry-004", hosts, len(hosts)), target); open {
				s.RecordProbe(now, addr)
				sent++
			}
		}
		Expect(sent).To(BeNumerically("<=", 20))
	})

	It("sends nothing for a host that isn't listed or without a budget", func() {
		Expect(sentBy([]probe.Position{probe.NewPosition("x", hostNames(2), 2)}, 20, time.Second, time.Millisecond)).To(BeEmpty())
		Expect(sentBy([]probe.Position{{HostCount: 1}}, 0, time.Second, time.Millisecond)).To(BeEmpty())
	})
})

// countingTransport counts the probes sent.
type countingTransport struct{ probes atomic.Int64 }

func (c *countingTransport) Probe(context.Context, netip.AddrPort, string) probe.Result {
	c.probes.Add(1)
	return probe.Result{}
}

type lease struct{ held atomic.Bool }

func (l *lease) Held() bool { return l.held.Load() }

// TestNoProbeWithoutTheLease checks that a host whose lease has expired sends no
// probe until it holds a lease again.
func TestNoProbeWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, transport := &lease{}, &countingTransport{}
		p, err := probe.New(probe.Options{
			Host: "entry-000", Membership: hostNames(1), Source: &source{kind: probe.Load}, Transport: transport, Lease: l,
		})
		if err != nil {
			t.Fatal(err)
		}
		p.Update([]probe.Target{{Pool: "p", Addr: addr, Budget: 20, LoadPath: "/load"}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.Run(ctx)
		}()
		for _, held := range []bool{false, true, false} {
			l.held.Store(held)
			before := transport.probes.Load()
			time.Sleep(time.Second)
			synctest.Wait()
			if probed := transport.probes.Load() > before; probed != held {
				t.Errorf("probes were sent: %v, the lease was held: %v", probed, held)
			}
		}
		cancel()
		<-done
	})
}

var _ = Describe("Prober", func() {
	DescribeTable("requests the path of each kind of probe over HTTP",
		func(kind probe.Kind, want probe.Result) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/health" {
					w.Header().Set("Chestnut-Draining", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				_, _ = fmt.Fprintln(w, "TEXT named_metrics.in_flight=1")
			}))
			defer server.Close()
			s, clock := &source{kind: kind}, clockwork.NewFakeClockAt(start)
			p, err := probe.New(probe.Options{Host: "entry-000", Membership: hostNames(1), Source: s, Clock: clock})
			Expect(err).NotTo(HaveOccurred())
			p.Update([]probe.Target{{
				Pool: "p", Addr: netip.MustParseAddrPort(server.Listener.Addr().String()),
				Budget: 20, LoadPath: "/load", HealthPath: "/health",
			}})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				p.Run(ctx)
			}()
			for len(s.got()) == 0 {
				Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
				clock.Advance(5 * time.Millisecond)
			}
			cancel()
			<-done
			Expect(s.got()[0]).To(Equal(want))
		},
		Entry("load", probe.Load, probe.Result{Report: "TEXT named_metrics.in_flight=1"}),
		Entry("health", probe.Health, probe.Result{Draining: true, Failed: true}),
	)
})

// lapsed is a lease that has expired.
type lapsed struct{}

func (lapsed) Held() bool { return false }

// eager is a source that always asks for load probes.
type eager struct{}

func (eager) ProbeKind(time.Time, string, netip.AddrPort) probe.Kind { return probe.Load }
func (eager) ProbeDone(time.Time, netip.AddrPort, probe.Result)      {}

// channelTransport is a Transport that passes each probe on to a channel.
type channelTransport struct{ probes chan struct{} }

func (c channelTransport) Probe(context.Context, netip.AddrPort, string) probe.Result {
	c.probes <- struct{}{}
	return probe.Result{}
}

var _ = Describe("A lapsed lease", func() {
	It("prevents all probes", func() {
		clock, transport := clockwork.NewFakeClockAt(start), channelTransport{make(chan struct{}, 1000)}
		p, err := probe.New(probe.Options{
			Host: "entry-000", Membership: hostNames(1), Lease: lapsed{}, Source: eager{}, Transport: transport, Clock: clock,
		})
		Expect(err).NotTo(HaveOccurred())
		p.Update([]probe.Target{{Pool: "p", Addr: addr, Budget: 20, LoadPath: "/load"}})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.Run(ctx)
		}()
		for range 100 {
			Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
			clock.Advance(250 * time.Millisecond)
		}
		cancel()
		<-done
		Expect(transport.probes).To(BeEmpty())
	})
})
