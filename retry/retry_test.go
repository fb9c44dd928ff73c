package retry_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/retry"
)

const levels = 9

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

type hosts int

func (h hosts) LiveHosts() []string { return make([]string, h) }
func (h hosts) ShareDivisor() int   { return int(h) }

func budget(o retry.Options) *retry.Budget {
	b, err := retry.New(o)
	Expect(err).NotTo(HaveOccurred())
	return b
}

// chain is a call through nine levels whose lowest level always fails.
type chain struct {
	budgets []*retry.Budget
	// forward is false when upstreams drop the headers.
	forward     bool
	bottomCalls int
}

func (c *chain) call(now time.Time, level int, deadlineMs, retries string) {
	if level == levels {
		c.bottomCalls++
		return
	}
	limits := retry.ParseCallLimits(now, retry.RouteLimits{Timeout: 2 * time.Second, Retries: 2}, deadlineMs, retries)
	next, _ := limits.RetriesHeaderValue(retries)
	if !c.forward {
		next = ""
	}
	c.budgets[level].Deposit("p", now)
	for attempt := 0; attempt == 0 || attempt <= limits.Retries && c.budgets[level].Withdraw("p", now); attempt++ {
		c.call(now, level+1, limits.DeadlineHeaderValue(now), next)
	}
}

func newChain(forward bool) *chain {
	c := &chain{forward: forward}
	for range levels {
		c.budgets = append(c.budgets, budget(retry.Options{Membership: hosts(18)}))
	}
	return c
}

var _ = Describe("A fault below nine levels", func() {
	It("is retried by one level only", func() {
		c := newChain(true)
		c.budgets[0] = budget(retry.Options{Ratio: 10}) // a budget that refuses nothing
		for i := range 100 {
			c.call(start.Add(time.Duration(i)*time.Millisecond), 0, "", "")
		}
		Expect(c.bottomCalls).To(BeNumerically("<=", 100*3))
	})

	It("is limited by the budgets when the headers are dropped", func() {
		c := newChain(false)
		const calls = 1000
		for i := range calls {
			c.call(start.Add(time.Duration(i)*time.Millisecond), 0, "", "")
		}
		Expect(float64(c.bottomCalls)).To(BeNumerically("<=", calls*math.Pow(1+retry.DefaultRatio, levels)+2*levels*10))
	})
})

var _ = Describe("CallLimits", func() {
	DescribeTable("can only be lowered by headers", func(deadlineMs, retries string, wantTime time.Duration, wantRetries int) {
		limits := retry.ParseCallLimits(start, retry.RouteLimits{Timeout: time.Second, Retries: 2}, deadlineMs, retries)
		Expect(limits.Remaining(start)).To(Equal(wantTime))
		Expect(limits.Retries).To(Equal(wantRetries))
	},
		Entry("no headers", "", "", time.Second, 2),
		Entry("less", "300", "0", 300*time.Millisecond, 0),
		Entry("more", "5000", "9", time.Second, 2),
		Entry("none", "0", "1", time.Duration(0), 1),
		Entry("garbage", "-5", "many", time.Second, 2),
		Entry("overflow", "18446744073709551615", "18446744073709551615", time.Second, 2),
	)

	It("forwards the retries header unless the host itself may retry", func() {
		keeps := retry.CallLimits{Retries: 1}
		value, send := keeps.RetriesHeaderValue("")
		Expect([]any{value, send}).To(Equal([]any{"0", true}))
		none := retry.CallLimits{Deadline: start.Add(time.Millisecond)}
		value, send = none.RetriesHeaderValue("0")
		Expect([]any{value, send}).To(Equal([]any{"0", true}))
		_, send = none.RetriesHeaderValue("")
		Expect(send).To(BeFalse())
		Expect(none.DeadlineHeaderValue(start.Add(time.Second))).To(Equal("0"))
	})
})

// TestBudgetBound checks that, in any order of events, a host's further attempts
// stay within the ratio and its shares of minimum and burst.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "hosts")
		b, err := retry.New(retry.Options{Membership: hosts(n)})
		if err != nil {
			t.Fatal(err)
		}
		now, first, further := start, 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.Deposit("p", now)
				first++
			} else if b.Withdraw("p", now) {
				further++
			}
		}
		bound := retry.DefaultRatio*float64(first) + retry.DefaultMinPerSecond/float64(n)*now.Sub(start).Seconds() + 1
		if float64(further) > bound+1e-6 {
			t.Fatalf("%d further attempts, bound %g", further, bound)
		}
	})
}

var _ = Describe("A budget whose bounds change", func() {
	It("holds no more tokens than its new burst, and deposits at its new ratio", func() {
		b := budget(retry.Options{Ratio: 1, MinPerSecond: retry.NoMinimum, Burst: 100})
		taken := func() (n int) {
			for b.Withdraw("p", start) {
				n++
			}
			return n
		}
		deposit := func(n int) {
			for range n {
				b.Deposit("p", start)
			}
		}
		deposit(100)
		b.SetBounds(retry.Bounds{Ratio: 0.5, Burst: 10})
		Expect(taken()).To(Equal(10))
		deposit(8)
		Expect(taken()).To(Equal(4))
	})
})
