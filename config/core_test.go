package config

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/table"
)

var _ = Describe("core", func() {
	var (
		now time.Time
		c   *core
	)
	BeforeEach(func() {
		now = time.Unix(1_800_000_000, 0)
		c = newCore(coreOptions{startWait: DefaultStartWait, giveUp: DefaultGiveUp}, now, rand.New(rand.NewPCG(1, 1)))
	})
	installs := func(acts []action) (versions []uint64) {
		for _, a := range acts {
			if in, ok := a.(install); ok {
				versions = append(versions, in.tables.Version)
			}
		}
		return versions
	}
	failPoll := func() []action { return c.polled(now, 0, cloud.ErrUnavailable) }

	It("asks every source at its start", func() {
		Expect(c.tick(now)).To(ConsistOf(pollStore{}, locateSnapshot{}))
	})

	It("does not believe an empty table service before the object store says the same", func() {
		c.tick(now)
		Expect(installs(c.polled(now, 0, nil))).To(BeEmpty())
		Expect(c.located(now, 5, nil)).To(ContainElement(fetch{from: snapshotSource, version: 5}))
		Expect(installs(c.fetched(now, snapshotSource, &table.Tables{Version: 5}, nil, nil))).To(Equal([]uint64{5}))
	})

	It("takes empty tables when both say so", func() {
		c.tick(now)
		c.polled(now, 0, nil)
		Expect(installs(c.located(now, 0, nil))).To(Equal([]uint64{0}))
	})

	It("is not ready while nothing at all is known", func() {
		c.tick(now)
		failPoll()
		now = now.Add(DefaultGiveUp)
		Expect(installs(c.located(now, 0, nil))).To(BeEmpty())
	})

	It("waits for the highest version it learned of, then takes what it could fetch", func() {
		c.tick(now)
		failPoll()
		c.heard(now, "gone", 12)
		c.fetched(now, peerSource("gone"), nil, nil, cloud.ErrUnavailable)
		c.located(now, 11, nil)
		Expect(installs(c.fetched(now, snapshotSource, &table.Tables{Version: 11}, nil, nil))).To(BeEmpty())
		now = now.Add(DefaultStartWait)
		Expect(installs(c.tick(now))).To(BeEmpty())
		now = now.Add(DefaultGiveUp)
		Expect(installs(c.tick(now))).To(Equal([]uint64{11}))
	})

	It("fetches no body from a table service whose breaker is open", func() {
		c.tick(now)
		c.polled(now, 3, nil)
		c.fetched(now, storeSource, &table.Tables{Version: 3}, nil, nil)
		c.sources.learn(storeSource, 4)
		for range breakerFailures {
			now = now.Add(maxBackoff)
			c.fetching = true
			failPoll()
		}
		Expect(c.fetched(now, storeSource, nil, nil, cloud.ErrUnavailable)).NotTo(ContainElement(BeAssignableToTypeOf(fetch{})))
		now = now.Add(time.Minute)
		Expect(c.tick(now)).NotTo(ContainElement(BeAssignableToTypeOf(fetch{})))
		Expect(c.polled(now, 4, nil)).To(ContainElement(fetch{from: storeSource, version: 4}))
	})

	It("prefers a peer to the table service for the same version", func() {
		c.accepted(now, &table.Tables{Version: 1}, nil)
		c.fetching = true
		c.polled(now, 2, nil)
		c.heard(now, "a", 2)
		c.fetching = false
		Expect(c.tick(now)).To(ContainElement(fetch{from: peerSource("a"), version: 2}))
	})
})
