package upstreamd

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("speed", func() {
	It("stretches work within the bounds of the noise, the same for the same seed", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			seed := rapid.Uint64().Draw(t, "seed")
			start := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "start"))
			work := time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "work"))
			took := newNoise(seed).stretch(start, work)
			slowest := time.Duration(float64(work)/noiseSpeed) + time.Microsecond
			if took < work-time.Microsecond || took > slowest {
				t.Fatalf("%v of work took %v", work, took)
			}
			if again := newNoise(seed).stretch(start, work); again != took {
				t.Fatalf("took %v, then %v", took, again)
			}
		})
	})

	It("walks over the shifts of the neighbour", func() {
		n := noise{ends: []time.Duration{10, 20}, speeds: []float64{1, 0.5}}
		Expect(n.stretch(0, 10)).To(BeEquivalentTo(10))
		Expect(n.stretch(5, 10)).To(BeEquivalentTo(15))
		Expect(n.stretch(15, 3)).To(BeEquivalentTo(6))
	})

	It("falls from cold to full speed", func() {
		Expect(coldFactor(0, time.Second)).To(Equal(coldSlowdown))
		Expect(coldFactor(500*time.Millisecond, time.Second)).To(Equal(1 + (coldSlowdown-1)/2))
		Expect(coldFactor(time.Second, time.Second)).To(Equal(1.0))
		Expect(coldFactor(0, 0)).To(Equal(1.0))
	})
})
