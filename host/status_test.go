package host_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/admin/api"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/host"
)

// poolStatus returns the status of a pool as a host reports it.
func poolStatus(h *host.Host, pool string) api.PoolStatus {
	resp, err := http.Get("http://" + h.AdminAddr().String() + api.Prefix + api.StatusPath)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var st api.Status
	Expect(json.NewDecoder(resp.Body).Decode(&st)).To(Succeed())
	found, _ := lo.Find(st.Pools, func(p api.PoolStatus) bool { return p.Name == pool })
	return found
}

var _ = Describe("status", func() {
	It("names the owners and counts requests in flight that an owner dispatched", func() {
		d := newDeployment(3, 3)
		d.waitUntilServing()
		addr, requested, _ := unresponsiveTarget()
		d.apply(schema.Pools, "[silent]\ntargets = "+addr+"@b\n")
		d.apply(schema.Routes, "[silent]\npath_prefix = /silent/\npool = silent\nclass = order\ntimeout = 10m\n")
		for _, h := range d.hosts {
			Eventually(func() []api.GroupOwner { return poolStatus(h, "silent").Owners }, waitTimeout).
				Should(Equal([]api.GroupOwner{{FailureDomain: "b", Host: "entry-1"}}))
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.hosts[0].CallersAddr().String()+"/silent/x", nil)
		Expect(err).NotTo(HaveOccurred())
		go func() {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				resp.Body.Close()
			}
		}()
		Eventually(requested, waitTimeout).Should(Receive())
		Expect(poolStatus(d.hosts[1], "silent").Targets).To(HaveExactElements(HaveField("InFlight", 1)))
		Expect(poolStatus(d.hosts[0], "silent").Targets).To(HaveExactElements(HaveField("InFlight", 0)))
	})
})

var _ = Describe("max_caller_connections", func() {
	It("refuses further connections with the outcome not-run", func() {
		d := &deployment{maxConnections: 1}
		d.platform = startPlatform()
		h := d.startHost(0)
		first, err := net.Dial("tcp", h.CallersAddr().String())
		Expect(err).NotTo(HaveOccurred())
		defer first.Close()
		second, err := net.Dial("tcp", h.CallersAddr().String())
		Expect(err).NotTo(HaveOccurred())
		defer second.Close()
		resp, err := http.ReadResponse(bufio.NewReader(second), nil)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get("Chestnut-Outcome")).To(Equal("not-run"))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	})
})
