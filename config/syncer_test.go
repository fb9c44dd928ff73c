package config

import (
	"context"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table"
)

// syncerPeers implements Peers with other Syncers.
type syncerPeers map[string]*Syncer

func (p syncerPeers) Versions() []PeerVersion {
	var out []PeerVersion
	for name, s := range p {
		_, v := s.EncodedTables()
		out = append(out, PeerVersion{Host: name, Version: v})
	}
	return out
}

func (p syncerPeers) FetchTables(_ context.Context, from string, _ uint64) ([]byte, uint64, error) {
	s, ok := p[from]
	if !ok {
		return nil, 0, errors.New("no such peer")
	}
	encoded, v := s.EncodedTables()
	return encoded, v, nil
}

var _ = Describe("Syncer", func() {
	var (
		clock   *clockwork.FakeClock
		store   *fake.Table
		objects *fake.ObjectStore
		ctx     context.Context
	)
	BeforeEach(func() {
		clock, store, objects = clockwork.NewFakeClock(), fake.NewTable(), fake.NewObjectStore()
		ctx = context.Background()
	})
	// run starts a Syncer and stops it at the end of the spec.
	run := func(name string, peers Peers) *Syncer {
		s := New(Options{Host: name, Store: store, Objects: objects, Peers: peers, Clock: clock, Registerer: prometheus.NewRegistry()})
		runCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() { defer close(done); _ = s.Run(runCtx) }()
		DeferCleanup(func() { cancel(); <-done })
		return s
	}
	apply := func(s *Syncer, id, pool string) uint64 {
		GinkgoHelper()
		c := command.New(command.Options{Store: store, OnAccepted: s.InstallAccepted})
		res := c.Do(ctx, command.Request{Table: schema.Pools, Operation: schema.Apply, File: "pools.ini", ChangeID: id,
			Data: []byte("[" + pool + "]\nservice = s\n")})
		Expect(res.State).To(Equal(command.Accepted))
		return res.Version
	}
	version := func(s *Syncer) func() uint64 { return func() uint64 { return s.Current().Version } }

	It("is ready with empty tables in a fresh deployment", func() {
		s := run("one", nil)
		Eventually(s.Ready()).Should(BeClosed())
		Expect(s.Current()).To(Equal(table.Empty()))
		Expect(s.Status()).To(Equal(Status{Ready: true, Source: "store", StoreReachable: true}))
	})

	It("installs its own accepted change at once", func() {
		s := run("one", nil)
		Eventually(s.Ready()).Should(BeClosed())
		Expect(apply(s, "change-one", "a")).To(Equal(uint64(1)))
		Expect(s.Current().Pools).To(HaveKey("a"))
	})

	It("learns of a version by polling and notifies subscribers", func() {
		first := run("one", nil)
		Eventually(first.Ready()).Should(BeClosed())
		second := New(Options{Host: "two", Store: store, Objects: objects, Clock: clock})
		seen := make(chan uint64, 10)
		second.Subscribe(func(t *table.Tables) { seen <- t.Version })
		runCtx, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		go func() { _ = second.Run(runCtx) }()
		Eventually(seen).Should(Receive(Equal(uint64(0))))
		apply(first, "change-one", "a")
		Eventually(func() uint64 { clock.Advance(MinPollInterval); return second.Current().Version }).Should(Equal(uint64(1)))
		Eventually(seen).Should(Receive(Equal(uint64(1))))
	})

	It("starts from a peer while both stores are down", func() {
		first := run("one", nil)
		Eventually(first.Ready()).Should(BeClosed())
		apply(first, "change-one", "a")
		store.SetDown(true)
		objects.SetDown(true)
		second := run("two", syncerPeers{"one": first})
		Eventually(func() uint64 { clock.Advance(DefaultDiscoveryTimeout); return second.Current().Version }).Should(Equal(uint64(1)))
		Expect(second.Status().Source).To(Equal("peer one"))
		Expect(second.Status().StoreReachable).To(BeFalse())
	})

	It("starts from the snapshot while the table service is down and no peer is known", func() {
		first := run("one", nil)
		Eventually(first.Ready()).Should(BeClosed())
		apply(first, "change-one", "a")
		Expect(first.syncSnapshot(ctx)).To(Succeed())
		store.SetDown(true)
		second := run("two", nil)
		Eventually(func() uint64 { clock.Advance(DefaultDiscoveryTimeout); return second.Current().Version }).Should(Equal(uint64(1)))
		Expect(second.Status().Source).To(Equal("snapshot"))
	})

	It("keeps its version when all sources are down, and reports the lost contact", func() {
		s := run("one", nil)
		Eventually(s.Ready()).Should(BeClosed())
		apply(s, "change-one", "a")
		store.SetDown(true)
		objects.SetDown(true)
		Eventually(func() bool { clock.Advance(MaxPollInterval); return s.Status().StoreReachable }).Should(BeFalse())
		Expect(s.Status().SinceStoreContact).To(BeNumerically(">=", MaxPollInterval))
		Expect(version(s)()).To(Equal(uint64(1)))
	})

	It("fetches a version that a peer announces while the table service is down", func() {
		first := run("one", nil)
		Eventually(first.Ready()).Should(BeClosed())
		second := run("two", syncerPeers{"one": first})
		Eventually(second.Ready()).Should(BeClosed())
		apply(first, "change-one", "a")
		store.SetDown(true)
		second.HandlePeerVersion("one", 1)
		Eventually(version(second)).Should(Equal(uint64(1)))
	})
})

var _ = Describe("Snapshots", func() {
	ctx := context.Background()
	encodedVersion := func(version uint64) []byte {
		GinkgoHelper()
		t := table.Empty()
		t.Version = version
		encoded, err := table.Encode(t)
		Expect(err).NotTo(HaveOccurred())
		return encoded
	}

	It("never lowers the pointer", func() {
		objects := fake.NewObjectStore()
		Expect(publishSnapshot(ctx, objects, 5, encodedVersion(5))).To(Succeed())
		Expect(publishSnapshot(ctx, objects, 4, encodedVersion(4))).To(Succeed())
		Expect(readLatestPointer(ctx, objects)).To(Equal(uint64(5)))
	})

	It("is found past a pointer that a slow writer set back", func() {
		objects := fake.NewObjectStore()
		for v := uint64(3); v <= 5; v++ {
			Expect(publishSnapshot(ctx, objects, v, encodedVersion(v))).To(Succeed())
		}
		Expect(objects.Put(ctx, schema.LatestObject, schema.FormatLatest(3))).To(Succeed())
		Expect(findLatestSnapshot(ctx, objects)).To(Equal(uint64(5)))
		Expect(publishSnapshot(ctx, objects, 5, encodedVersion(5))).To(Succeed())
		Expect(readLatestPointer(ctx, objects)).To(Equal(uint64(5)))
	})

	It("is written again by a later check when the object store was down", func() {
		objects := fake.NewObjectStore()
		s := New(Options{Host: "one", Store: fake.NewTable(), Objects: objects})
		t := table.Empty()
		t.Version = 7
		objects.SetDown(true)
		s.InstallAccepted(t, encodedVersion(7))
		Expect(s.syncSnapshot(ctx)).NotTo(Succeed())
		objects.SetDown(false)
		Expect(s.syncSnapshot(ctx)).To(Succeed())
		Expect(findLatestSnapshot(ctx, objects)).To(Equal(uint64(7)))
	})
})

var _ = DescribeTable("PollInterval",
	func(hosts int, seconds float64) { Expect(PollInterval(hosts).Seconds()).To(Equal(seconds)) },
	Entry("minimum interval", 19, 2.0), Entry("shared poll rate", 250, 5.0), Entry("maximum interval", 1000, 8.0))
