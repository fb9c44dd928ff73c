package membership

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/fake"
)

var _ = Describe("the service", func() {
	var (
		ctx   context.Context
		table *fake.Table
		clock *clockwork.FakeClock
	)
	BeforeEach(func() {
		ctx, table, clock = context.Background(), fake.NewTable(), clockwork.NewFakeClockAt(epoch)
	})
	start := func(i int) *Service {
		s, err := New(Options{Self: hostNamed(i), Table: table, Clock: clock})
		Expect(err).NotTo(HaveOccurred())
		return s
	}
	// step ticks each host and carries out its actions in turn.
	step := func(hosts ...*Service) {
		clock.Advance(time.Second)
		for _, s := range hosts {
			s.performAll(ctx, s.tick())
		}
	}

	It("finds the other hosts through their rows", func() {
		a, b := start(1), start(2)
		for range 5 {
			step(a, b)
		}
		Expect(a.LiveHosts()).To(Equal([]string{"entry-01", "entry-02"}))
		Expect(b.Members()).To(HaveLen(2))
	})

	It("renews after an acknowledgement was lost", func() {
		a := start(1)
		step(a)
		step(a)
		table.LoseAcks(1)
		for range 12 {
			step(a)
		}
		Expect(a.Held()).To(BeTrue())
		Expect(a.rows.failed.Load()).To(BeEquivalentTo(1))
	})

	It("keeps the known hosts while the table service is down", func() {
		a, b := start(1), start(2)
		for range 5 {
			step(a, b)
		}
		table.SetDown(true)
		for range 120 {
			step(a)
		}
		Expect(a.Members()).To(HaveLen(2))
		Expect(a.Held()).To(BeFalse())
	})

	It("gives up its lease and row when it finds the row of a later process of its name", func() {
		a := start(1)
		step(a)
		step(a)
		later := hostNamed(1)
		later.Incarnation++
		row, err := encodeRow(later, "other", time.Time{})
		Expect(err).NotTo(HaveOccurred())
		row.Revision = 9
		Expect(table.Write(ctx, cloud.Write{Row: row})).To(Succeed())
		for range 12 {
			step(a)
		}
		Expect(a.Held()).To(BeFalse())
		stored, _, _ := table.Get(ctx, row.Key)
		Expect(stored.Writer).To(Equal("other"))
	})

	It("tells other hosts of a planned stop through its row", func() {
		a, b := start(1), start(2)
		for range 5 {
			step(a, b)
		}
		Expect(a.Leave(ctx, false)).To(Succeed())
		for range 5 {
			step(b)
		}
		Expect(b.LiveHosts()).To(Equal([]string{"entry-02"}))
		Expect(b.Members()).To(HaveLen(2))
		Expect(a.Leave(ctx, true)).To(Succeed())
		for range 5 {
			step(b)
		}
		Expect(b.Members()).To(HaveLen(1))
	})

	It("does not overwrite the row of a host that left by a delayed renewal", func() {
		a := start(1)
		gone := withHeartbeat(hostNamed(1), 5)
		gone.State = Gone
		_, err := a.rows.write(ctx, gone)
		Expect(err).NotTo(HaveOccurred())
		_, err = a.rows.write(ctx, withHeartbeat(hostNamed(1), 4))
		Expect(err).To(HaveOccurred())
		members, err := a.rows.readAll(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(members).To(ConsistOf(gone))
	})

	It("skips rows that have expired or can't be decoded", func() {
		old, err := encodeRow(hostNamed(3), "w", epoch)
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Write(ctx, cloud.Write{Row: old})).To(Succeed())
		Expect(table.Write(ctx, cloud.Write{Row: cloud.Row{
			Key: cloud.Key{Partition: Partition, Sort: "entry-04"}, Body: []byte("{"),
		}})).To(Succeed())
		a := start(1)
		step(a)
		Expect(a.Members()).To(HaveLen(1))
		Expect(a.rows.badRows.Load()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("hosts that share a seed", func() {
	It("choose different peers", func() {
		choices := map[string]bool{}
		for i := 1; i <= 8; i++ {
			s, err := New(Options{Self: hostNamed(i), Table: fake.NewTable(), Clock: clockwork.NewFakeClockAt(epoch), Seed: 5})
			Expect(err).NotTo(HaveOccurred())
			var others []Member
			for j := 20; j < 40; j++ {
				others = append(others, withHeartbeat(hostNamed(j), 1))
			}
			s.HandlePeerUpdate(PeerUpdate{Members: others})
			choices[s.Peers(1)[0].Name] = true
		}
		Expect(len(choices)).To(BeNumerically(">", 2))
	})
})
