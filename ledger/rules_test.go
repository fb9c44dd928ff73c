package ledger

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

var now = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func rowOf(s state, writer string, expires time.Time) *cloud.Row {
	row, err := encodeRow(keyID{}, record{State: s, Fingerprint: 7}, 3, writer, expires)
	Expect(err).NotTo(HaveOccurred())
	return &row
}

var _ = Describe("an existing row under the key of a claim", func() {
	DescribeTable("is classified by its writer, state and age", func(s state, writer string, age time.Duration, want rowMeaning) {
		got, _ := classifyRow(rowOf(s, writer, now.Add(-age)), "me", 7, now)
		Expect(got).To(Equal(want))
	},
		Entry("own", stateClaimed, "me", -time.Hour, rowOwn),
		Entry("claimed", stateClaimed, "other", -time.Hour, rowTaken),
		Entry("claimed long ago", stateClaimed, "other", 100*time.Hour, rowTaken),
		Entry("done", stateDone, "other", -time.Hour, rowTaken),
		Entry("done and just expired", stateDone, "other", time.Minute, rowTaken),
		Entry("done and long expired", stateDone, "other", 2*time.Hour, rowReplaceable),
		Entry("unknown", stateUnknown, "other", -time.Hour, rowTaken),
		Entry("released", stateReleased, "other", -time.Hour, rowReplaceable),
		Entry("of no known state", state("new"), "other", -time.Hour, rowUnreadable),
	)

	It("decides the state and outcome of the claim's result", func() {
		_, c := classifyRow(rowOf(stateClaimed, "other", now), "me", 7, now)
		Expect(c.State).To(Equal(lb.ClaimInFlight))
		Expect(c.Outcome).To(Equal(outcome.Unknown))
		_, c = classifyRow(rowOf(stateDone, "other", now), "me", 7, now)
		Expect(c.State).To(Equal(lb.ClaimDone))
		_, c = classifyRow(rowOf(stateDone, "other", now), "me", 8, now)
		Expect(c.State).To(Equal(lb.ClaimConflict))
	})
})

var _ = Describe("keys", func() {
	It("of different callers never share a row", func() {
		a := idOf(lb.OrderKey{Caller: "ab", Key: "c"})
		b := idOf(lb.OrderKey{Caller: "a", Key: "bc"})
		Expect(a).NotTo(Equal(b))
	})

	It("with arbitrary bytes give row keys of letters, digits, hyphens and underscores", func() {
		k := idOf(lb.OrderKey{Caller: "\x00/\n", Key: "..%"}).rowKey()
		Expect(k.Partition).To(MatchRegexp(`^orders-[0-9a-f]{2}$`))
		Expect(k.Sort).To(MatchRegexp(`^[A-Za-z0-9_-]{43}$`))
	})
})

var _ = Describe("the breaker", func() {
	It("opens after consecutive failures, probes once per interval, closes on success", func() {
		b := newBreaker(3, time.Second)
		Expect(b.report(now, false)).To(BeFalse())
		Expect(b.report(now, true)).To(BeFalse())
		Expect(b.report(now, false)).To(BeFalse())
		Expect(b.report(now, false)).To(BeFalse())
		Expect(b.report(now, false)).To(BeTrue())
		_, open := b.isOpen(now)
		Expect(open).To(BeTrue())
		Expect(b.probeDue(now.Add(999 * time.Millisecond))).To(BeFalse())
		Expect(b.probeDue(now.Add(time.Second))).To(BeTrue())
		Expect(b.probeDue(now.Add(time.Second))).To(BeFalse())
		Expect(b.report(now, true)).To(BeTrue())
		_, open = b.isOpen(now)
		Expect(open).To(BeFalse())
	})
})

var _ = Describe("the call rates", func() {
	It("never fall so low that claims time out waiting for a call", func() {
		l, err := New(Options{Table: fake.NewTable(), Host: "entry-1"})
		Expect(err).NotTo(HaveOccurred())
		l.SetCallRates(0.01, 0.01)
		Expect(float64(l.claims.limiter.Limit())).To(BeNumerically("~", 2/l.opt.ClaimTimeout.Seconds()))
		Expect(float64(l.outcomes.limiter.Limit())).To(Equal(0.5))
		l.SetCallRates(40, 9)
		Expect(float64(l.claims.limiter.Limit())).To(Equal(40.0))
	})
})
