package patience_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/patience"
)

const interval = 20 * time.Millisecond

// arrivals records n requests whose callers wait for at most longest, scattered by a
// sixth, and returns the time of the last one.
func arrivals(e *patience.Estimator, from time.Time, n int, longest time.Duration) time.Time {
	rng := rand.New(rand.NewPCG(1, 1))
	for range n {
		from = from.Add(interval)
		e.Arrived(from, "r", longest-time.Duration(rng.Int64N(int64(longest/6))))
	}
	return from
}

// Guards against returning callers that count as new: of two seconds one is left.
func TestCallerOfARepeatedRequestHasWaited(t *testing.T) {
	g := NewWithT(t)
	e := patience.New()
	now := arrivals(e, time.Unix(0, 0), 20, 2*time.Second)
	g.Expect(e.Arrived(now, "r", time.Second)).To(BeNumerically("~", 850*time.Millisecond, 150*time.Millisecond))
	g.Expect(e.Arrived(now, "other", time.Second)).To(BeZero(), "routes are apart")
}

// Guards against first requests that count as repeated, because callers scatter or a
// few of them are far more patient than most.
func TestCallersOfFirstRequestsHaveNotWaited(t *testing.T) {
	g := NewWithT(t)
	e := patience.New()
	now := arrivals(e, time.Unix(0, 0), 20, 2*time.Second)
	for i := range 200 {
		now = now.Add(interval)
		if i%25 == 0 {
			g.Expect(e.Arrived(now, "r", 20*time.Second)).To(BeZero())
			continue
		}
		g.Expect(e.Arrived(now, "r", 2*time.Second-time.Duration(i)*time.Millisecond)).To(BeZero())
	}
}

// Guards against an estimate from too few requests.
func TestNothingIsKnownAtFirst(t *testing.T) {
	g := NewWithT(t)
	e := patience.New()
	now := arrivals(e, time.Unix(0, 0), 3, 2*time.Second)
	g.Expect(e.Arrived(now, "r", time.Second)).To(BeZero())
}

// Guards against lasting overload, in which two of three requests are repeated ones:
// these must not become what is usual.
func TestMostRequestsMayBeRepeated(t *testing.T) {
	g := NewWithT(t)
	e := patience.New()
	now := time.Unix(0, 0)
	for range 200 {
		now = now.Add(interval)
		e.Arrived(now, "r", 2*time.Second)
		e.Arrived(now, "r", 1200*time.Millisecond)
		e.Refused(now, "r")
		e.Arrived(now, "r", 600*time.Millisecond)
	}
	g.Expect(e.Arrived(now, "r", 600*time.Millisecond)).To(BeNumerically(">", time.Second))
}

// Guards against impatient callers that count as repeated for ever: where half of the
// callers give half the time although none is refused, the time says nothing.
func TestCallersThatDifferAreNotTakenForRepeated(t *testing.T) {
	g := NewWithT(t)
	e := patience.New()
	now := time.Unix(0, 0)
	for range 200 {
		now = now.Add(interval)
		e.Arrived(now, "r", 2*time.Second)
		e.Arrived(now, "r", time.Second)
	}
	g.Expect(e.Arrived(now, "r", time.Second)).To(BeZero())
}

// Guards against memory that grows with each route that the tables ever had.
func TestRoutesWithoutRequestsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	e := patience.New()
	now := arrivals(e, time.Unix(0, 0), 20, 2*time.Second)
	g.Expect(e.Arrived(now, "r", time.Second)).NotTo(BeZero())
	now = now.Add(time.Hour)
	for i := range 1000 {
		e.Arrived(now, strconv.Itoa(i), time.Second)
	}
	g.Expect(e.Arrived(now, "r", time.Second)).To(BeZero(), "nothing is known of the route any more")
}
