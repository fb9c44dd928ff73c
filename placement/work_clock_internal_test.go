package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against slow spells of a target that count as the work of its calls.
func TestWorkClockCountsTimeAtUsualSpeed(t *testing.T) {
	g := NewWithT(t)
	var c workClock
	c.report(start, 1)
	began := c.read(start)
	c.report(start.Add(100*time.Millisecond), 5)
	c.report(start.Add(300*time.Millisecond), 1)
	g.Expect(c.read(start.Add(500*time.Millisecond)) - began).To(Equal(340 * time.Millisecond))
}
