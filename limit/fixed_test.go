package limit

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/table"
)

var _ = Describe("Fixed", func() {
	It("admits 1.5 times the slots of the pool", func() {
		a, err := New(Options{NewLimiter: func(_, _ float64) Limiter { return NewFixed() }})
		Expect(err).NotTo(HaveOccurred())
		a.Update(map[string]Capacity{"p": {Targets: 4, Slots: 2}})
		q := lb.AdmitQuery{Pool: "p", Class: table.Lookup}
		for range 12 {
			permit, refusal := a.Admit(context.Background(), q)
			Expect(refusal).To(BeNil())
			Expect(permit).NotTo(BeNil())
		}
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		_, refusal := a.Admit(gone, q)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason).To(Equal(outcome.CallerGone))
	})
})

var _ = It("accepts a separate limiter for batch only", func() {
	made := 0
	a, err := New(Options{NewBatchLimiter: func(_, _ float64) Limiter {
		made++
		return NewFixed()
	}})
	Expect(err).NotTo(HaveOccurred())
	a.Update(map[string]Capacity{"p": {Targets: 1, Slots: 2}})
	Expect(made).To(Equal(1))
})
