package fake_test

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/fake"
)

var key = cloud.Key{Partition: "p", Sort: "s"}

func insert(rev uint64) cloud.Write {
	return cloud.Write{Row: cloud.Row{Key: key, Revision: rev, Writer: "w"}, IfAbsent: true}
}

var _ = Describe("Table", func() {
	var (
		ctx context.Context
		tab *fake.Table
	)
	BeforeEach(func() { ctx, tab = context.Background(), fake.NewTable() })

	It("rejects a write whose condition fails and returns the stored row", func() {
		Expect(tab.Write(ctx, insert(1))).To(Succeed())
		err := tab.Write(ctx, insert(1))
		Expect(err).To(MatchError(cloud.ErrConditionFailed))
		var ce *cloud.ConditionError
		Expect(errors.As(err, &ce)).To(BeTrue())
		Expect(ce.Failed[0].Writer).To(Equal("w"))
		Expect(tab.Write(ctx, cloud.Write{Row: cloud.Row{Key: key, Revision: 3}, IfRevision: 2})).
			To(MatchError(cloud.ErrConditionFailed))
	})

	It("applies a transaction atomically", func() {
		other := cloud.Write{Row: cloud.Row{Key: cloud.Key{Partition: "p", Sort: "t"}}, IfRevision: 9}
		Expect(tab.Transact(ctx, []cloud.Write{insert(1), other})).To(MatchError(cloud.ErrConditionFailed))
		_, ok, err := tab.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeFalse())
	})

	It("applies a write whose acknowledgement is lost", func() {
		tab.LoseAcks(1)
		Expect(tab.Write(ctx, insert(1))).To(MatchError(cloud.ErrUncertain))
		_, ok, _ := tab.Get(ctx, key)
		Expect(ok).To(BeTrue())
	})

	It("applies nothing while down", func() {
		tab.SetDown(true)
		Expect(tab.Write(ctx, insert(1))).To(MatchError(cloud.ErrUnavailable))
		tab.SetDown(false)
		_, ok, _ := tab.Get(ctx, key)
		Expect(ok).To(BeFalse())
	})

	It("applies a write whose context ended while frozen when it thaws", func() {
		tab.Freeze()
		short, cancel := context.WithCancel(ctx)
		result := make(chan error)
		go func() { result <- tab.Write(short, insert(1)) }()
		Eventually(func() int { return tab.Counts().Writes }).Should(Equal(1))
		cancel()
		Expect(<-result).To(MatchError(cloud.ErrUncertain))
		tab.Thaw()
		_, ok, _ := tab.Get(ctx, key)
		Expect(ok).To(BeTrue())
	})

	It("delays calls on the injected clock", func() {
		clock := clockwork.NewFakeClock()
		tab.SetClock(clock)
		tab.SetDelay(time.Second)
		result := make(chan error)
		go func() { result <- tab.Write(ctx, insert(1)) }()
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		clock.Advance(time.Second)
		Expect(<-result).To(Succeed())
	})
})

var _ = Describe("Query", func() {
	It("returns the rows of a partition in order, from a sort key with a limit", func() {
		ctx, tab := context.Background(), fake.NewTable()
		for _, s := range []string{"c", "a", "b"} {
			Expect(tab.Write(ctx, cloud.Write{Row: cloud.Row{Key: cloud.Key{Partition: "p", Sort: s}}})).To(Succeed())
		}
		rows, err := tab.Query(ctx, "p", "a", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(1))
		Expect(rows[0].Sort).To(Equal("b"))
	})
})
