package desk

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAHostIsCutOffWhenNobodyAnswers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	var r reach
	for range silentHosts - 1 {
		r.ended(false)
	}
	g.Expect(r.cutOff(now, time.Time{})).To(BeFalse(), "a few desks may be lost")
	r.ended(false)
	g.Expect(r.cutOff(now, time.Time{})).To(BeTrue())
	g.Expect(r.cutOff(now, now.Add(-heardLately))).To(BeFalse(), "another host answered lately")
	g.Expect(r.cutOff(now.Add(time.Millisecond), now.Add(-heardLately))).To(BeTrue())
	r.ended(true)
	g.Expect(r.cutOff(now, time.Time{})).To(BeFalse())
}
