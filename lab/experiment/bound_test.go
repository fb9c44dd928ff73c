package experiment

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/table"
)

func plainSlots(n int) []Slot {
	return slices.Repeat([]Slot{func(_, work time.Duration) time.Duration { return work }}, n)
}

var boundClasses = []loadgen.Class{{Name: table.Lookup}, {Name: table.Batch}}

var _ = Describe("BoundLatencies", func() {
	It("serves lookups before batch requests, each in order of arrival, in the slot that is free first", func() {
		requests := []loadgen.Request{
			{At: 0, ServiceTime: 10}, {At: 1, ServiceTime: 10, Class: 1}, {At: 2, ServiceTime: 5}, {At: 20, ServiceTime: 3},
		}
		Expect(BoundLatencies(plainSlots(1), boundClasses, requests)).To(Equal([]time.Duration{10, 24, 13, 8}))
		Expect(BoundLatencies(plainSlots(2), boundClasses, requests)).To(Equal([]time.Duration{10, 10, 13, 3}))
	})

	It("waits for a busy fast slot if that finishes the request sooner", func() {
		slow := Slot(func(_, work time.Duration) time.Duration { return 10 * work })
		slots := append(plainSlots(1), slow)
		requests := []loadgen.Request{{At: 0, ServiceTime: 10}, {At: 1, ServiceTime: 10}}
		Expect(BoundLatencies(slots, boundClasses, requests)).To(Equal([]time.Duration{10, 19}))
	})

	It("is work-conserving with equal slots and one class", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			slots := rapid.IntRange(1, 4).Draw(t, "slots")
			gaps := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 60).Draw(t, "gaps")
			var requests []loadgen.Request
			var at time.Duration
			for _, g := range gaps {
				at += time.Duration(g)
				work := time.Duration(rapid.IntRange(1, 40).Draw(t, "work"))
				requests = append(requests, loadgen.Request{At: at, ServiceTime: work})
			}
			free := make([]time.Duration, slots)
			for i, end := range BoundLatencies(plainSlots(slots), boundClasses, requests) {
				slices.Sort(free)
				r := requests[i]
				free[0] = max(r.At, free[0]) + r.ServiceTime
				if end != free[0]-r.At {
					t.Fatalf("request %d: %v, expected %v", i, end, free[0]-r.At)
				}
			}
		})
	})
})
