package host_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/host"
	"github.com/chestnutfield/chestnutfield/lab/platformd"
)

// waitUntilServing waits until every host serves requests and knows all others.
func (d *deployment) waitUntilServing() {
	for _, h := range d.hosts {
		Eventually(lookupStatus, waitTimeout).WithArguments(h).Should(Equal(http.StatusOK))
		Eventually(func() string { return metric(h, `chestnut_membership_members{state="live"}`) }, waitTimeout).
			Should(Equal(strconv.Itoa(len(d.hosts))))
	}
}

var _ = Describe("a deployment", func() {
	It("serves from every host and hands requests over to owners", func() {
		d := newDeployment(3, 3)
		d.waitUntilServing()
		for _, h := range d.hosts {
			Eventually(func() string {
				lookupStatus(h)
				return metric(h, "chestnut_handoff_requests_total")
			}, waitTimeout).ShouldNot(Equal("0"))
		}
	})

	It("runs an order once whichever hosts receive its idempotency key", func() {
		d := newDeployment(3, 3)
		d.waitUntilServing()
		before := d.runs.Totals().Runs
		var mu sync.Mutex
		var responses []response
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				defer GinkgoRecover()
				r, err := send(d.hosts[i%3], http.MethodPost, "/orders/1", "key-1")
				Expect(err).NotTo(HaveOccurred())
				mu.Lock()
				defer mu.Unlock()
				responses = append(responses, r)
			})
		}
		wg.Wait()
		Expect(d.runs.Totals().Runs).To(Equal(before + 1))
		for _, r := range responses {
			Expect(r.status).To(Or(Equal(http.StatusOK), Equal(http.StatusConflict)))
		}
		Eventually(func() int {
			r, _ := send(d.hosts[2], http.MethodPost, "/orders/1", "key-1")
			return r.status
		}, waitTimeout).Should(Equal(http.StatusOK))
		reused, err := send(d.hosts[0], http.MethodPost, "/orders/2", "key-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(reused.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(reused.outcome).To(Equal("not-run"))
		Expect(d.runs.Totals().Runs).To(Equal(before + 1))
	})

	It("keeps serving while the platform is down, and refuses keyed orders as not run", func() {
		d := newDeployment(3, 3)
		d.waitUntilServing()
		d.platform.SetFaults(platformd.Faults{Down: true})
		Expect(lookupStatus(d.hosts[0])).To(Equal(http.StatusOK))
		r, err := send(d.hosts[1], http.MethodPost, "/orders/1", "key-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.outcome).To(Equal("not-run"))
		runs := d.runs.Totals().Runs
		unkeyed, err := send(d.hosts[1], http.MethodPost, "/orders/1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(unkeyed.status).To(Equal(http.StatusOK))
		Expect(d.runs.Totals().Runs).To(Equal(runs + 1))
	})

	It("cuts no request during a graceful stop", func() {
		d := newDeployment(3, 6)
		d.waitUntilServing()
		var wg sync.WaitGroup
		statuses := make([]int, 60)
		started := make(chan struct{}, len(statuses))
		for i := range statuses {
			wg.Go(func() {
				defer GinkgoRecover()
				started <- struct{}{}
				statuses[i] = lookupStatus(d.hosts[1])
			})
		}
		for range 30 {
			<-started
		}
		Expect(d.hosts[0].Stop(context.Background())).To(Succeed())
		wg.Wait()
		Expect(lo.Uniq(statuses)).To(Equal([]int{http.StatusOK}))
	})

	It("uses a target again on every host when the operator's drain key is removed", func() {
		d := newDeployment(2, 3)
		d.waitUntilServing()
		waitForVersion := func(version uint64) {
			for _, h := range d.hosts {
				Eventually(func() string { return metric(h, "chestnut_config_version") }, waitTimeout).
					Should(Equal(strconv.FormatUint(version, 10)))
			}
		}
		pool := "[catalogue]\ntargets = " + d.targetList() + "\n"
		waitForVersion(d.apply(schema.Pools, pool+"drain = "+d.targets[0].Addr()+"\n"))
		waitForVersion(d.apply(schema.Pools, pool))
		for _, h := range d.hosts {
			before := d.targets[0].Stats().Runs
			Eventually(func() int64 {
				lookupStatus(h)
				return d.targets[0].Stats().Runs
			}, waitTimeout).Should(BeNumerically(">", before))
		}
	})

	It("continues to serve when a host is killed", func() {
		d := newDeployment(3, 3)
		d.waitUntilServing()
		d.hosts[0].Kill()
		for i := range 50 {
			Expect(lookupStatus(d.hosts[1+i%2])).To(Equal(http.StatusOK), fmt.Sprintf("lookup %d", i))
		}
	})

	It("applies a change on every host, including one that starts while the platform is down", func() {
		d := newDeployment(3, 3)
		d.waitUntilServing()
		d.apply(schema.Routes, "[added]\npath_prefix = /added/\npool = catalogue\nclass = batch\nidempotent = true\ntimeout = 20s\n")
		status := func(h *host.Host) int {
			r, _ := send(h, http.MethodGet, "/added/x", "")
			return r.status
		}
		for _, h := range d.hosts {
			Eventually(status, waitTimeout).WithArguments(h).Should(Equal(http.StatusOK))
		}
		d.platform.SetFaults(platformd.Faults{Down: true})
		late := d.startHost(3, d.hosts[0].PeersAddr().String())
		Eventually(status, waitTimeout).WithArguments(late).Should(Equal(http.StatusOK))
	})
})
