package placement

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"
)

func TestPartitionsAreEvenAndFewTargetsMove(t *testing.T) {
	g := NewWithT(t)
	for targets, want := range map[int]int{0: 1, 1: 1, targetsPerPartition: 1, targetsPerPartition + 1: 2, 145: 7} {
		g.Expect(partitionCount(targets)).To(Equal(want), "%d targets", targets)
	}
	names := lo.Times(2400, func(i int) string { return fmt.Sprint("t", i) })
	sizes := lo.CountValuesBy(names, func(id string) int { return partitionIndex(id, 10) })
	for index, n := range sizes {
		g.Expect(n).To(BeNumerically("~", 240, 60), "partition %d", index)
	}
	moved := lo.CountBy(names, func(id string) bool { return partitionIndex(id, 10) != partitionIndex(id, 11) })
	g.Expect(moved).To(BeNumerically("~", 2400/11, 60))
}
