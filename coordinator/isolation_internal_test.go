package coordinator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestHostIsIsolatedWhenNoCoordinatorResponds(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	var d isolationDetector
	for range minUnansweredRequests - 1 {
		d.recordRequest(false)
	}
	g.Expect(d.isolated(now, time.Time{})).To(BeFalse(), "a few coordinators may be lost")
	d.recordRequest(false)
	g.Expect(d.isolated(now, time.Time{})).To(BeTrue())
	g.Expect(d.isolated(now, now.Add(-recentResponseAge))).To(BeFalse(), "another host responded recently")
	g.Expect(d.isolated(now.Add(time.Millisecond), now.Add(-recentResponseAge))).To(BeTrue())
	d.recordRequest(true)
	g.Expect(d.isolated(now, time.Time{})).To(BeFalse())
}
