package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/membership"
)

// fakeMembers is a membership of fixed hosts.
type fakeMembers struct {
	self   membership.Member
	others []membership.Member
	mu     sync.Mutex
	heard  []membership.PeerUpdate
}

func (f *fakeMembers) Self() membership.Member { return f.self }
func (f *fakeMembers) Members() []membership.Member {
	return append([]membership.Member{f.self}, f.others...)
}
func (f *fakeMembers) Peers(k int) []membership.Member { return f.others[:min(k, len(f.others))] }
func (f *fakeMembers) Digest(int, int) membership.Digest {
	return membership.Digest{Self: f.self, Hash: 1, Heartbeats: []membership.HeartbeatUpdate{{ID: f.self.ID(), Heartbeat: 1}}}
}
func (f *fakeMembers) HandlePeerUpdate(u membership.PeerUpdate) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = append(f.heard, u)
	return false
}

type fakeConfig struct {
	mu      sync.Mutex
	version uint64
	heard   map[string]uint64
}

func (f *fakeConfig) HandlePeerVersion(from string, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard[from] = version
}
func (f *fakeConfig) EncodedTables() ([]byte, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []byte("tables"), f.version
}

type fakeLoads struct {
	mu       sync.Mutex
	out      []lb.TargetLoad
	incoming []lb.TargetLoad
}

func (f *fakeLoads) Outgoing(_ time.Time, limit int) []lb.TargetLoad {
	return f.out[:min(limit, len(f.out))]
}
func (f *fakeLoads) Incoming(_ time.Time, _ string, loads []lb.TargetLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incoming = append(f.incoming, loads...)
}

type fakeDrains struct{ draining chan netip.AddrPort }

func (f *fakeDrains) MarkDraining(_ time.Time, target netip.AddrPort) bool {
	f.draining <- target
	return true
}

type testNode struct {
	*Node
	members *fakeMembers
	config  *fakeConfig
	loads   *fakeLoads
	drains  *fakeDrains
}

// startNode serves a node on a free port.
func startNode(name string, change func(*Options)) *testNode {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	addr := netip.MustParseAddrPort(ln.Addr().String())
	t := &testNode{
		members: &fakeMembers{self: membership.Member{Name: name, Addr: addr, Incarnation: 1, State: membership.Live}},
		config:  &fakeConfig{heard: map[string]uint64{}}, loads: &fakeLoads{},
		drains: &fakeDrains{draining: make(chan netip.AddrPort, 8)},
	}
	opt := Options{Members: t.members, Config: t.config, Loads: t.loads, Drains: t.drains, Token: "secret", Timeout: 5 * time.Second}
	if change != nil {
		change(&opt)
	}
	t.Node, err = NewNode(opt)
	Expect(err).NotTo(HaveOccurred())
	go func() {
		defer GinkgoRecover()
		Expect(t.Serve(ln)).To(Succeed())
	}()
	DeferCleanup(func() {
		t.clients.close()
		Expect(t.Shutdown(context.Background())).To(Succeed())
	})
	return t
}

var _ = Describe("two nodes", func() {
	It("exchange versions, loads and drains both ways", func(ctx SpecContext) {
		a, b := startNode("a", nil), startNode("b", nil)
		a.config.version, b.config.version = 3, 5
		a.loads.out = []lb.TargetLoad{{Target: target("127.0.0.1:1"), InFlight: 1, Reported: -1}}
		b.loads.out = []lb.TargetLoad{{Target: target("127.0.0.1:2"), InFlight: 2, Reported: 2}}
		a.AnnounceDrain(target("127.0.0.1:3"))
		a.exchange(ctx, b.members.self.Addr)
		Expect(a.config.heard).To(HaveKeyWithValue("b", uint64(5)))
		Expect(b.config.heard).To(HaveKeyWithValue("a", uint64(3)))
		Expect(a.loads.incoming).To(Equal(b.loads.out))
		Expect(b.loads.incoming).To(Equal(a.loads.out))
		Expect(b.drains.draining).To(Receive(Equal(target("127.0.0.1:3"))))
		Expect(a.members.heard[0].RequestSentAt.IsZero()).To(BeFalse())
		Expect(b.members.heard[0].RequestSentAt.IsZero()).To(BeTrue())
		a.members.others = []membership.Member{b.members.self}
		Expect(a.Versions()).To(HaveLen(1))
		Expect(testutil.ToFloat64(a.metrics.bytesOut)).To(BeNumerically("~", testutil.ToFloat64(b.metrics.bytesIn)))
	}, NodeTimeout(20*time.Second))

	It("reject a wrong token and count it", func(ctx SpecContext) {
		a, b := startNode("a", func(o *Options) { o.Token = "wrong" }), startNode("b", nil)
		a.exchange(ctx, b.members.self.Addr)
		Expect(testutil.ToFloat64(b.metrics.unauthorized)).To(Equal(1.0))
		Expect(testutil.ToFloat64(a.metrics.exchanges.WithLabelValues("failed"))).To(Equal(1.0))
		Expect(b.members.heard).To(BeEmpty())
	}, NodeTimeout(20*time.Second))

	It("fetch tables that are recent enough", func(ctx SpecContext) {
		a, b := startNode("a", nil), startNode("b", nil)
		a.members.others = []membership.Member{b.members.self}
		b.config.version = 5
		raw, version, err := a.FetchTables(ctx, "b", 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(raw).To(Equal([]byte("tables")))
		Expect(version).To(BeEquivalentTo(5))
		_, _, err = a.FetchTables(ctx, "b", 6)
		Expect(err).To(MatchError(ContainSubstring("version 5 in force")))
		_, _, err = a.FetchTables(ctx, "nobody", 1)
		Expect(err).To(MatchError(ContainSubstring("not known")))
	}, NodeTimeout(20*time.Second))

	It("tell each other that they leave", func(ctx SpecContext) {
		a, b := startNode("a", nil), startNode("b", nil)
		a.members.others = []membership.Member{b.members.self}
		a.members.self.State = membership.Leaving
		Expect(a.Leave(ctx)).To(Succeed())
		Expect(b.members.heard[0].Members).To(ConsistOf(a.members.self))
		Expect(b.config.heard).To(BeEmpty())
	}, NodeTimeout(20*time.Second))

	It("reject malformed and oversized messages", func(ctx SpecContext) {
		b := startNode("b", func(o *Options) { o.Token = "" })
		url := "http://" + b.members.self.Addr.String() + "/twirp/chestnutfield.peer.Peer/Sync"
		for _, body := range []string{"\xff\xff\xff", strings.Repeat("x", maxMessageBytes+1), "{}"} {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Content-Type", "application/protobuf")
			res, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Body.Close()).To(Succeed())
			Expect(res.StatusCode).To(BeNumerically(">=", 400))
		}
		Expect(b.members.heard).To(BeEmpty())
	}, NodeTimeout(20*time.Second))
})
