package owner

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestFill checks that parts are proper, that no group is raised above one
// that gets nothing, and that all that get a part end at one level.
func TestFill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		levels := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) level {
			return level{
				load:  rapid.Float64Range(0, 50).Draw(t, "load"),
				slots: float64(rapid.IntRange(1, 64).Draw(t, "slots")),
			}
		}), 1, 10).Draw(t, "levels")
		coming := rapid.Float64Range(1, 500).Draw(t, "coming")
		sum, top := 0.0, 0.0
		shares := fill(levels, coming)
		for i, share := range shares {
			if share < 0 || share > 1+1e-9 {
				t.Fatalf("share %d is %v", i, share)
			}
			sum += share
			if share > 0 {
				top = max(top, levels[i].load+share*coming/levels[i].slots)
			}
		}
		if math.Abs(sum-1) > 1e-6 {
			t.Fatalf("shares add up to %v", sum)
		}
		for i, share := range shares {
			end := levels[i].load + share*coming/levels[i].slots
			if end < top-1e-6 {
				t.Fatalf("group %d ends at %v, below %v", i, end, top)
			}
		}
	})
}
