package coordinator_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/coordinator"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// Guards against a coordinator that a host skips for all requests since one request did
// not fit a message.
func TestRequestThatFitsNoMessageLeavesItsCoordinatorInUse(t *testing.T) {
	for name, change := range map[string]func(*lb.PlaceQuery){
		"a long request ID": func(q *lb.PlaceQuery) { q.RequestID = strings.Repeat("r", 4000) },
		"many regions":      func(q *lb.PlaceQuery) { q.Regions = lo.Times(100, func(int) string { return strings.Repeat("n", 60) }) },
		"many excluded targets": func(q *lb.PlaceQuery) {
			q.Exclude = lo.Times(300, func(i int) netip.AddrPort {
				return netip.AddrPortFrom(netip.MustParseAddr("10.0.9.9"), uint16(i+1))
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			hosts := lo.Map([]string{"a", "b"}, func(name string, _ int) *host {
				h, err := startHost(name)
				g.Expect(err).NotTo(HaveOccurred())
				t.Cleanup(h.stop)
				return h
			})
			for _, h := range hosts {
				h.roster.SetHosts(lo.Map(hosts, func(h *host, _ int) roster.Host { return h.roster.Self() }))
			}
			task := coordinator.Task("p", 1)
			first := hosts[0].roster.Rank(time.Now(), task)[0].Name
			asking, _ := lo.Find(hosts, func(h *host) bool { return h.name != first })
			q := lb.PlaceQuery{
				Pool: "p", RequestID: "r", Partition: 1, Route: &table.Route{Idempotent: true},
				Received: time.Now(), Deadline: time.Now().Add(5 * time.Second),
			}
			change(&q)
			_, _ = asking.client.Place(context.Background(), q)
			g.Expect(asking.roster.Rank(time.Now(), task)[0].Name).To(Equal(first), "the coordinator is still the first to be asked")
		})
	}
}
