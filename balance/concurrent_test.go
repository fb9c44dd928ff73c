package balance_test

import (
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/probe"
)

var _ = Describe("Concurrent use", func() {
	It("leaves no request counted as in flight", func() {
		b := newBalancer(balance.Options{}, balance.PoolSpec{Targets: targets(12)})
		var wg sync.WaitGroup
		for g := range 8 {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(g), 1))
				for i := range 500 {
					now := start.Add(time.Duration(i) * time.Millisecond)
					switch rng.IntN(20) {
					case 0:
						_ = b.Update(now, map[string]balance.PoolSpec{"p": {Targets: targets(6 + rng.IntN(7))}})
					case 1:
						b.Incoming(now, "entry-2", b.Outgoing(now, 12))
					case 2:
						b.ProbeDone(now, addr(rng.IntN(12)), probe.Result{Report: "named_metrics.in_flight=1"})
					default:
						if a, ok := b.Pick(lb.PickQuery{Pool: "p", Now: now}); ok {
							a.Done(now.Add(time.Millisecond), verdict(lb.Verdict(1+rng.IntN(5))))
						}
					}
				}
			})
		}
		wg.Wait()
		for _, s := range b.States(start, "p") {
			Expect(s.InFlight).To(Equal(0))
		}
	})
})
