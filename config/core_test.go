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
		c = newCore(coreOptions{discoveryTimeout: DefaultDiscoveryTimeout, catchUpTimeout: DefaultCatchUpTimeout}, now, rand.New(rand.NewPCG(1, 1)))
	})
	installs := func(acts []action) (versions []uint64) {
		for _, a := range acts {
			if in, ok := a.(install); ok {
				versions = append(versions, in.tables.Version)
			}
		}
		return versions
	}
	failPoll := func() []action { return c.handlePollResult(now, 0, cloud.ErrUnavailable) }

	It("polls the table service and looks up the snapshot at its start", func() {
		Expect(c.tick(now)).To(ConsistOf(pollStore{}, locateSnapshot{}))
	})

	It("does not trust an empty table service before the object store has answered", func() {
		c.tick(now)
		Expect(installs(c.handlePollResult(now, 0, nil))).To(BeEmpty())
		Expect(c.handleSnapshotLocated(now, 5, nil)).To(ContainElement(fetch{from: snapshotSource, version: 5}))
		Expect(installs(c.handleFetchResult(now, snapshotSource, &table.Tables{Version: 5}, nil, nil))).To(Equal([]uint64{5}))
	})

	It("installs empty tables when neither store holds a version", func() {
		c.tick(now)
		c.handlePollResult(now, 0, nil)
		Expect(installs(c.handleSnapshotLocated(now, 0, nil))).To(Equal([]uint64{0}))
	})

	It("is not ready while no source has answered with a version", func() {
		c.tick(now)
		failPoll()
		now = now.Add(DefaultCatchUpTimeout)
		Expect(installs(c.handleSnapshotLocated(now, 0, nil))).To(BeEmpty())
	})

	It("waits for the highest version it learned of, then installs the highest it could fetch", func() {
		c.tick(now)
		failPoll()
		c.handlePeerVersion(now, "gone", 12)
		c.handleFetchResult(now, peerSource("gone"), nil, nil, cloud.ErrUnavailable)
		c.handleSnapshotLocated(now, 11, nil)
		Expect(installs(c.handleFetchResult(now, snapshotSource, &table.Tables{Version: 11}, nil, nil))).To(BeEmpty())
		now = now.Add(DefaultDiscoveryTimeout)
		Expect(installs(c.tick(now))).To(BeEmpty())
		now = now.Add(DefaultCatchUpTimeout)
		Expect(installs(c.tick(now))).To(Equal([]uint64{11}))
	})

	It("fetches no tables from a table service whose breaker is open", func() {
		c.tick(now)
		c.handlePollResult(now, 3, nil)
		c.handleFetchResult(now, storeSource, &table.Tables{Version: 3}, nil, nil)
		c.sources.recordVersion(storeSource, 4)
		for range breakerThreshold {
			now = now.Add(maxBackoff)
			c.fetching = true
			failPoll()
		}
		Expect(c.handleFetchResult(now, storeSource, nil, nil, cloud.ErrUnavailable)).NotTo(ContainElement(BeAssignableToTypeOf(fetch{})))
		now = now.Add(time.Minute)
		Expect(c.tick(now)).NotTo(ContainElement(BeAssignableToTypeOf(fetch{})))
		Expect(c.handlePollResult(now, 4, nil)).To(ContainElement(fetch{from: storeSource, version: 4}))
	})

	It("prefers a peer to the table service for the same version", func() {
		c.handleAcceptedChange(now, &table.Tables{Version: 1}, nil)
		c.fetching = true
		c.handlePollResult(now, 2, nil)
		c.handlePeerVersion(now, "a", 2)
		c.fetching = false
		Expect(c.tick(now)).To(ContainElement(fetch{from: peerSource("a"), version: 2}))
	})
})
