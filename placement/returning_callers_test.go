package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// lastingOverload is more than the targets can serve, of callers that come back when
// they are refused.
func lastingOverload() scenario {
	return scenario{targets: 10, slots: 6, perSecond: 520, length: 20 * time.Second, objective: 180 * time.Millisecond, comeBack: true}
}

// Guards against callers that come back, for whom it is too late, in the place of
// first requests that could still be in time: eight in ten of those must be in time
// that an all-knowing queue serves in time.
func TestOverloadServesFirstRequestsBeforeReturningCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		got, _ := runScenario(t, lastingOverload())
		known := lastingOverload()
		known.allKnowing = true
		bound, _ := runScenario(t, known)
		t.Log(got.summary(), "all-knowing queue:", bound.summary())
		g.Expect(got.share(got.inTime)).To(BeNumerically(">=", 0.8*bound.share(bound.inTime)))
	})
}
