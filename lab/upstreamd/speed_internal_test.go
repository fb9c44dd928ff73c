package upstreamd

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("speed", func() {
	It("extends work within the bounds of the noise, deterministically for a seed", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			seed := rapid.Uint64().Draw(t, "seed")
			start := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "start"))
			work := time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "work"))
			took := newNoise(seed).duration(start, work)
			slowest := time.Duration(float64(work)/noisySpeed) + time.Microsecond
			if took < work-time.Microsecond || took > slowest {
				t.Fatalf("%v of work took %v", work, took)
			}
			if again := newNoise(seed).duration(start, work); again != took {
				t.Fatalf("took %v, then %v", took, again)
			}
		})
	})

	It("adds up the segments that work spans", func() {
		n := noise{ends: []time.Duration{10, 20}, speeds: []float64{1, 0.5}}
		Expect(n.duration(0, 10)).To(BeEquivalentTo(10))
		Expect(n.duration(5, 10)).To(BeEquivalentTo(15))
		Expect(n.duration(15, 3)).To(BeEquivalentTo(6))
	})

	It("decreases the cold start factor linearly to 1", func() {
		Expect(coldFactor(0, time.Second)).To(Equal(coldSlowdown))
		Expect(coldFactor(500*time.Millisecond, time.Second)).To(Equal(1 + (coldSlowdown-1)/2))
		Expect(coldFactor(time.Second, time.Second)).To(Equal(1.0))
		Expect(coldFactor(0, 0)).To(Equal(1.0))
	})
})
