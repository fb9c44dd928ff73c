package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud/dynamo"
	"github.com/chestnutfield/chestnutfield/lab/platformd"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/ledger"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// These specs run two hosts over the published protocol of the table service.
var _ = Describe("the ledger over the published protocol", func() {
	var (
		ctx    context.Context
		server *platformd.Server
		hosts  []*ledger.Ledger
	)
	BeforeEach(func() {
		ctx = context.Background()
		server = platformd.New(platformd.Options{})
		Expect(server.Start("127.0.0.1:0")).To(Succeed())
		run, stop := context.WithCancel(ctx)
		var runs sync.WaitGroup
		hosts = nil
		for i := range 2 {
			l, err := ledger.New(ledger.Options{
				Table: dynamo.New(dynamo.Options{Endpoint: server.URL()}), Host: fmt.Sprintf("entry-%d", i),
				// Long timeouts, so that a busy machine causes no failures.
				ClaimTimeout: time.Minute, CallTimeout: time.Minute,
			})
			Expect(err).NotTo(HaveOccurred())
			hosts = append(hosts, l)
			runs.Go(func() { _ = l.Run(run) })
		}
		DeferCleanup(func() {
			stop()
			runs.Wait()
			Expect(server.Close()).To(Succeed())
		})
	})

	It("grants each key once when both hosts race", func() {
		var mu sync.Mutex
		var claims sync.WaitGroup
		granted := map[string]int{}
		for i := range 40 {
			for _, l := range hosts {
				claims.Go(func() {
					defer GinkgoRecover()
					k := lb.OrderKey{Caller: "c", Key: fmt.Sprint(i), Fingerprint: 1}
					c := l.Claim(ctx, k)
					mu.Lock()
					defer mu.Unlock()
					if c.State == lb.ClaimGranted {
						granted[k.Key]++
					}
				})
			}
		}
		claims.Wait()
		Expect(granted).NotTo(BeEmpty())
		for key, n := range granted {
			Expect(n).To(Equal(1), "key %s", key)
		}
	})

	It("resolves a lost acknowledgement and returns the recorded response on the other host", func() {
		k := lb.OrderKey{Caller: "c", Key: "k", Fingerprint: 1}
		server.SetFaults(platformd.Faults{AckLost: 1})
		c := hosts[0].Claim(ctx, k)
		Expect(c.State).To(Equal(lb.ClaimGranted))
		Expect(hosts[1].Claim(ctx, k).State).To(Equal(lb.ClaimInFlight))
		response := &lb.RecordedResponse{Status: 201, Body: []byte("booked")}
		hosts[0].RecordOutcome(ctx, k, c.Token, outcome.Ran, response)
		Expect(hosts[0].Flush(ctx)).To(Succeed())
		again := hosts[1].Claim(ctx, k)
		Expect(again.State).To(Equal(lb.ClaimDone))
		Expect(again.Response).To(Equal(response))
	})
})
