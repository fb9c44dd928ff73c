package coordinator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestHostIsIsolatedWhenNoCoordinatorReplies(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	var r isolationDetector
	for range minUnansweredRequests - 1 {
		r.recordRequest(false)
	}
	g.Expect(r.isolated(now, time.Time{})).To(BeFalse(), "a few coordinators may be lost")
	r.recordRequest(false)
	g.Expect(r.isolated(now, time.Time{})).To(BeTrue())
	g.Expect(r.isolated(now, now.Add(-recentAnswerAge))).To(BeFalse(), "another host answered recently")
	g.Expect(r.isolated(now.Add(time.Millisecond), now.Add(-recentAnswerAge))).To(BeTrue())
	r.recordRequest(true)
	g.Expect(r.isolated(now, time.Time{})).To(BeFalse())
}
