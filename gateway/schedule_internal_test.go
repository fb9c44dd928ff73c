package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stop whose cut leaves no time for the callers of cut requests, or comes
// after the forced end of the process.
func TestScheduleOfAStopFitsItsGracePeriod(t *testing.T) {
	t.Parallel()
	g, now := NewWithT(t), time.Unix(1_700_000_000, 0)
	s := stopSchedule(now, 6*time.Second)
	g.Expect(s.LateFrom).To(Equal(now.Add(2850 * time.Millisecond)))
	g.Expect(s.CutAt).To(Equal(now.Add(5750 * time.Millisecond)))
	for _, grace := range []time.Duration{time.Second, 4 * time.Second, time.Minute} {
		s := stopSchedule(now, grace)
		g.Expect(s.CutAt).To(BeTemporally(">=", now.Add(grace/2)))
		g.Expect(s.CutAt).To(BeTemporally("<", now.Add(StopTime(grace))))
		g.Expect(StopTime(grace)).To(BeNumerically("<", grace))
	}
}
