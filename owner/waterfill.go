package owner

import (
	"cmp"
	"slices"

	"github.com/samber/lo"
)

// bin is one group in the water-filling.
type bin struct {
	// load is the number of requests per slot.
	load  float64
	slots float64
}

// waterFill returns the share of the arrivals that each group receives when the
// arrivals raise the least loaded groups to an equal load. The shares add up to 1.
//
// The method is that of M. Dahlin, "Interpreting Stale Load Information", IEEE TPDS 2000.
func waterFill(bins []bin, arrivals float64) []float64 {
	order := lo.Range(len(bins))
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(bins[i].load, bins[j].load) })
	var slots, totalLoad float64
	level := 0.0
	for n, i := range order {
		slots += bins[i].slots
		totalLoad += bins[i].slots * bins[i].load
		level = (arrivals + totalLoad) / slots
		if n+1 == len(order) || level <= bins[order[n+1]].load {
			break
		}
	}
	return lo.Map(bins, func(b bin, _ int) float64 {
		return max(0, level-b.load) * b.slots / arrivals
	})
}
