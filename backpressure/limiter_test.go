package backpressure_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/backpressure"
)

// Guards against a host without the lease that gets no permit for minutes because
// the target lowered its limit.
func TestPermitsGoOnAfterALimitFalls(t *testing.T) {
	g := NewWithT(t)
	role := backpressure.Role{Hosts: 10}
	l := backpressure.NewLimiter(start, 100, 0.5)
	taken := 0
	take := func(from, to time.Duration) int {
		taken = 0
		for at := from; at < to; at += 10 * time.Millisecond {
			if now := start.Add(at); l.Wait(now, role) == 0 {
				l.Take(now, role)
				taken++
			}
		}
		return taken
	}
	g.Expect(take(0, time.Minute)).To(BeNumerically("~", 60, 1))
	l.SetRate(start.Add(time.Minute), role, 10)
	g.Expect(take(time.Minute, 3*time.Minute)).To(BeNumerically("~", 12, 1))
}
