package capacity_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/lab/capacity"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

var _ = Describe("Run", func() {
	It("measures every point and the propagation of its changes", func() {
		var out bytes.Buffer
		costs, err := capacity.Run(context.Background(), capacity.Options{
			Points: []capacity.Point{{Hosts: 2, Targets: 15}}, Window: 6 * time.Second, Changes: 2,
		}, &out)
		Expect(err).NotTo(HaveOccurred())
		Expect(costs).To(HaveLen(1))
		Expect(costs[0].Hosts).To(Equal(2))
		Expect(costs[0].PropagationTime).To(BeNumerically(">", 0))
		Expect(costs[0].PeerBytes).To(BeNumerically(">", 0))
		Expect(costs[0].Reads).To(BeNumerically(">", 0))
		Expect(costs[0].CPU).To(BeNumerically(">", 0))
		Expect(out.String()).To(ContainSubstring("hosts"))
	})
})
