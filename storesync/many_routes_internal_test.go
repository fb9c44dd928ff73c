package storesync

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/table"
)

// manyRoutes returns tables of the given number of routes to 16 services, with names
// of 60 bytes of which a part is random, as in deployments.
func manyRoutes(version uint64, routes int) *table.Tables {
	name := func(kind string, i int) string {
		return fmt.Sprintf("%s-%016x-of-a-deployment-with-long-names-%06d-------------", kind, xxhash.Sum64String(fmt.Sprint(kind, i)), i)[:60]
	}
	t := &table.Tables{Version: version, Pools: map[string]table.Pool{"p": {Name: "p", Service: "s"}}, Routes: map[string]table.Route{}}
	for i := range 16 {
		t.Pools[name("service", i)] = table.Pool{Name: name("service", i), Service: name("service", i)}
	}
	for i := range routes {
		t.Routes[name("route", i)] = table.Route{
			Name: name("route", i), Host: fmt.Sprintf("h%d.example", i%50), PathPrefix: "/" + name("p", i) + "/",
			Pool: name("service", i%16), Class: table.Lookup, Idempotent: true, Timeout: time.Second, Objective: 200 * time.Millisecond, Retries: 1,
		}
	}
	return t
}

// withTimeout returns tables of a later version in which one route has another timeout.
func withTimeout(t *table.Tables, version uint64, timeout time.Duration) *table.Tables {
	out := t.Clone()
	out.Version = version
	name := lo.Keys(t.Routes)[0]
	route := out.Routes[name]
	route.Timeout = timeout
	out.Routes[name] = route
	return out
}

// Guards against tables that a host can't hand on because of their size, so that all
// hosts read the store.
func TestHostServesTablesOfTwentyThousandRoutes(t *testing.T) {
	g := NewWithT(t)
	f, _ := newFollowerOf(t, newReaderStub(t), &failingSource{})
	f.tables.Store(manyRoutes(7, 20_000))
	body, err := f.snapshot(peerVersions{})
	g.Expect(err).NotTo(HaveOccurred())
	_, c, err := decodeSnapshot(body)
	g.Expect(err).NotTo(HaveOccurred())
	got, _, err := c.tables(nil, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Routes).To(Equal(f.Current().Routes))
}

// Guards against hosts that all read the store when tables take longer to arrive at
// their reader, or from it, than small ones do.
func TestManyRoutesReachAllHostsThroughTheirReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routes, rowBytes = 10_000, 4_500_000
		fl := newScaleFleet(20)
		defer fl.Stop()
		for _, h := range fl.hosts {
			h.link = weakLink
		}
		inForce := func(version uint64) func(h *scaleHost) bool {
			return func(h *scaleHost) bool { return h.follower != nil && h.follower.Current().Version == version }
		}
		fl.start(fl.hosts...)
		fl.await(fl.hosts, 30*time.Second, inForce(1))
		time.Sleep(10 * time.Second)
		big := manyRoutes(2, routes)
		for _, c := range []struct {
			name   string
			tables *table.Tables
			limit  time.Duration
			reads  int
			// lost is when the reader is lost, 0 for never.
			lost time.Duration
		}{
			{"10,000 routes more", big, 15 * time.Second, 1, 0},
			{"one route changed", withTimeout(big, 3, 2*time.Second), 5 * time.Second, 1, 0},
			{"the reader is lost while it hands them on", manyRoutes(4, routes/2), 20 * time.Second, 2, 4200 * time.Millisecond},
			{"the reader is lost while they arrive", withTimeout(big, 5, 3*time.Second), 20 * time.Second, 3, 2 * time.Second},
		} {
			fl.reset()
			fl.configure(c.tables, rowBytes)
			hosts := fl.hosts
			if c.lost > 0 {
				time.Sleep(c.lost)
				reader := hosts[len(hosts)-1].follower.readerHost()
				lost, rest := lo.FilterReject(hosts, func(h *scaleHost, _ int) bool { return h.self == reader })
				fl.kill(lost...)
				hosts = rest
			}
			took := c.lost + fl.await(hosts, time.Minute, inForce(c.tables.Version))
			fl.mu.Lock()
			reads := lo.SumBy(fl.hosts, func(h *scaleHost) int { return h.tablesReads })
			fl.mu.Unlock()
			sent := fl.count(time.Now())
			t.Logf("%s: in force at all hosts after %v, %d readings of the store, sent %d KB by the busiest and %d by the middle host", c.name, took, reads, sent.sentMax/1000, sent.sentMedian/1000)
			if reads > c.reads || took > c.limit {
				t.Errorf("%s: got %d readings of the store and %v; expected at most %d and %v", c.name, reads, took, c.reads, c.limit)
			}
			time.Sleep(10 * time.Second)
			fl.start(lo.Without(fl.hosts, hosts...)...)
			time.Sleep(10 * time.Second)
		}
	})
}
