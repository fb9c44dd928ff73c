package owner

import (
	"cmp"
	"slices"

	"github.com/samber/lo"
)

// level is the load of one group.
type level struct {
	// load is requests a slot.
	load  float64
	slots float64
}

// fill returns the part of the coming requests that each group gets when they
// raise the least loaded groups to one level. The parts add up to 1.
//
// It follows M. Dahlin, "Interpreting Stale Load Information", IEEE TPDS 2000.
func fill(levels []level, coming float64) []float64 {
	order := lo.Range(len(levels))
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(levels[i].load, levels[j].load) })
	var slots, held float64
	top := 0.0
	for n, i := range order {
		slots += levels[i].slots
		held += levels[i].slots * levels[i].load
		top = (coming + held) / slots
		if n+1 == len(order) || top <= levels[order[n+1]].load {
			break
		}
	}
	return lo.Map(levels, func(l level, _ int) float64 {
		return max(0, top-l.load) * l.slots / coming
	})
}
