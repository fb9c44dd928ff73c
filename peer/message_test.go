package peer

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/peer/peerpb"
)

func target(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

func sample() message {
	return message{
		from: "entry-1", version: 7, membersHash: 99, loadsWanted: 12,
		members: []membership.Member{
			{Name: "entry-2", Addr: target("127.0.0.1:7003"), FailureDomain: "a", Incarnation: 5, Heartbeat: 6, State: membership.Leaving},
			{Name: "entry-3", Addr: target("[::1]:7003"), Incarnation: 5, State: membership.Live},
		},
		heartbeats: []membership.HeartbeatUpdate{{ID: 0xfffffffe, Heartbeat: 3}},
		loads: []lb.TargetLoad{
			{Target: target("127.0.0.1:9001"), InFlight: 2, Reported: -1, Latency: time.Millisecond, Age: time.Second},
			{Target: target("127.0.0.2:9001"), InFlight: 0, Reported: 0, Latency: 3 * time.Second},
			{Target: target("[::1]:9001"), InFlight: 1, Reported: 4, Age: time.Minute},
		},
		drains: []drain{{target: target("127.0.0.9:1"), age: 40 * time.Millisecond}},
	}
}

// wire returns the message as the receiver unmarshals it.
func wire(m message) *peerpb.SyncMessage {
	raw, err := proto.Marshal(m.encode())
	Expect(err).NotTo(HaveOccurred())
	var in peerpb.SyncMessage
	Expect(proto.Unmarshal(raw, &in)).To(Succeed())
	return &in
}

var _ = Describe("a message", func() {
	It("arrives as it was sent", func() {
		got, err := decode(wire(sample()))
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(sample()))
	})

	DescribeTable("is rejected when its content is invalid", func(spoil func(*peerpb.SyncMessage), want string) {
		in := wire(sample())
		spoil(in)
		_, err := decode(in)
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("no name", func(m *peerpb.SyncMessage) { m.From = "" }, "from"),
		Entry("control characters", func(m *peerpb.SyncMessage) { m.From = "a\nb" }, "printable"),
		Entry("columns", func(m *peerpb.SyncMessage) { m.Figures.AgeMs = nil }, "columns"),
		Entry("in flight", func(m *peerpb.SyncMessage) { m.Figures.InFlight[0] = 1 << 31 }, "out of range"),
		Entry("reported", func(m *peerpb.SyncMessage) { m.Figures.ReportedPlusOne[0] = 1 << 31 }, "out of range"),
		Entry("latency", func(m *peerpb.SyncMessage) { m.Figures.LatencyUs[0] = 1<<32 - 1 }, "out of range"),
		Entry("age", func(m *peerpb.SyncMessage) { m.Figures.AgeMs[0] = 1<<32 - 1 }, "out of range"),
		Entry("target", func(m *peerpb.SyncMessage) { m.Figures.TargetDeltas[1] = 1<<64 - 1 }, "target out of range"),
		Entry("wide target", func(m *peerpb.SyncMessage) { m.Figures.WideTargets[0] = []byte{1} }, "address of 1 bytes"),
		Entry("heartbeats", func(m *peerpb.SyncMessage) { m.Heartbeats = nil }, "heartbeats"),
		Entry("state", func(m *peerpb.SyncMessage) { m.Members[0].State = 9 }, "unknown state"),
		Entry("member address", func(m *peerpb.SyncMessage) { m.Members[0].Addr = nil }, "address"),
		Entry("drain age", func(m *peerpb.SyncMessage) { m.Drains.AgeMs[0] = 1<<32 - 1 }, "drains"),
		Entry("many members", func(m *peerpb.SyncMessage) { m.Members = make([]*peerpb.Member, maxEntries+1) }, "members"),
		Entry("many targets", func(m *peerpb.SyncMessage) { m.Drains.TargetDeltas = make([]uint64, maxEntries+1) }, "targets"),
	)

	It("carries a load in about a dozen bytes", func() {
		m := message{from: "entry-1"}
		bare := proto.Size(m.encode())
		for i := range 100 {
			addr := netip.AddrFrom4([4]byte{10, 0, byte(i / 8), byte(i * 16)})
			m.loads = append(m.loads, lb.TargetLoad{
				Target: netip.AddrPortFrom(addr, 9001), InFlight: 2, Reported: 2,
				Latency: 12345 * time.Microsecond, Age: 250 * time.Millisecond,
			})
		}
		Expect((proto.Size(m.encode()) - bare) / 100).To(BeNumerically("<=", 12))
	})
})

var _ = Describe("recentDrains", func() {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

	It("reports a drain as news once", func() {
		b := newRecentDrains()
		Expect(b.record(now, drain{target: target("127.0.0.1:1")})).To(BeTrue())
		Expect(b.record(now, drain{target: target("127.0.0.1:1"), age: time.Second})).To(BeFalse())
		Expect(b.unexpired(now.Add(time.Second))).To(ConsistOf(drain{target: target("127.0.0.1:1"), age: time.Second}))
	})

	It("neither accepts nor sends old drains, so that a target may return", func() {
		b := newRecentDrains()
		Expect(b.record(now, drain{target: target("127.0.0.1:1")})).To(BeTrue())
		later := now.Add(drainGossipPeriod + time.Second)
		Expect(b.unexpired(later)).To(BeEmpty())
		Expect(b.record(later, drain{target: target("127.0.0.1:1"), age: drainGossipPeriod + time.Second})).To(BeFalse())
		Expect(newRecentDrains().record(later, drain{target: target("127.0.0.1:1"), age: drainGossipPeriod + time.Second})).To(BeFalse())
		Expect(b.record(later, drain{target: target("127.0.0.1:1")})).To(BeTrue())
	})
})

var _ = Describe("the byte budget", func() {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

	It("reduces the number of loads before it stops rounds", func() {
		b := newBudget(1000, now)
		Expect(b.scale(now, 100)).To(Equal(100))
		b.spend(now, 1500)
		Expect(b.scale(now, 100)).To(Equal(50))
		b.spend(now, 600)
		Expect(b.scale(now, 100)).To(BeZero())
		Expect(b.remaining(now)).To(BeNumerically("<", 0))
		Expect(b.remaining(now.Add(time.Second))).To(BeNumerically(">", 0))
	})

	It("falls no further below zero than one burst", func() {
		b := newBudget(1000, now)
		b.spend(now, 1<<30)
		Expect(b.remaining(now)).To(Equal(-1.0))
	})
})
