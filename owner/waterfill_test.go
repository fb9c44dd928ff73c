package owner

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestWaterFill checks that the shares are between 0 and 1 and add up to 1, and
// that no group ends below the load to which the others were raised.
func TestWaterFill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bins := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) bin {
			return bin{
				load:  rapid.Float64Range(0, 50).Draw(t, "load"),
				slots: float64(rapid.IntRange(1, 64).Draw(t, "slots")),
			}
		}), 1, 10).Draw(t, "levels")
		arrivals := rapid.Float64Range(1, 500).Draw(t, "coming")
		sum, top := 0.0, 0.0
		shares := waterFill(bins, arrivals)
		for i, share := range shares {
			if share < 0 || share > 1+1e-9 {
				t.Fatalf("share %d is %v, want 0 to 1", i, share)
			}
			sum += share
			if share > 0 {
				top = max(top, bins[i].load+share*arrivals/bins[i].slots)
			}
		}
		if math.Abs(sum-1) > 1e-6 {
			t.Fatalf("shares add up to %v, want 1", sum)
		}
		for i, share := range shares {
			end := bins[i].load + share*arrivals/bins[i].slots
			if end < top-1e-6 {
				t.Fatalf("group %d ends at load %v, want at least %v", i, end, top)
			}
		}
	})
}
