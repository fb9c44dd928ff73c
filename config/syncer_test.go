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

func (n syncerPeers) Versions() []PeerVersion {
	var out []PeerVersion
	for name, k := range n {
		_, v := k.EncodedTables()
		out = append(out, PeerVersion{Host: name, Version: v})
	}
	return out
}

func (n syncerPeers) FetchTables(_ context.Context, from string, _ uint64) ([]byte, uint64, error) {
	k, ok := n[from]
	if !ok {
		return nil, 0, errors.New("no such peer")
	}
	encoded, v := k.EncodedTables()
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
		k := New(Options{Host: name, Store: store, Objects: objects, Peers: peers, Clock: clock, Registerer: prometheus.NewRegistry()})
		runCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() { defer close(done); _ = k.Run(runCtx) }()
		DeferCleanup(func() { cancel(); <-done })
		return k
	}
	apply := func(k *Syncer, id, pool string) uint64 {
		GinkgoHelper()
		c := command.New(command.Options{Store: store, OnAccepted: k.InstallAccepted})
		res := c.Do(ctx, command.Request{Table: schema.Pools, Operation: schema.Apply, File: "pools.ini", ChangeID: id,
			Data: []byte("[" + pool + "]\nservice = s\n")})
		Expect(res.State).To(Equal(command.Accepted))
		return res.Version
	}
	version := func(k *Syncer) func() uint64 { return func() uint64 { return k.Current().Version } }

	It("is ready with empty tables in a fresh deployment", func() {
		k := run("one", nil)
		Eventually(k.Ready()).Should(BeClosed())
		Expect(k.Current()).To(Equal(table.Empty()))
		Expect(k.Status()).To(Equal(Status{Ready: true, Source: "store", StoreReachable: true}))
	})

	It("installs its own accepted change at once", func() {
		k := run("one", nil)
		Eventually(k.Ready()).Should(BeClosed())
		Expect(apply(k, "change-one", "a")).To(Equal(uint64(1)))
		Expect(k.Current().Pools).To(HaveKey("a"))
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
		k := run("one", nil)
		Eventually(k.Ready()).Should(BeClosed())
		apply(k, "change-one", "a")
		store.SetDown(true)
		objects.SetDown(true)
		Eventually(func() bool { clock.Advance(MaxPollInterval); return k.Status().StoreReachable }).Should(BeFalse())
		Expect(k.Status().SinceStoreContact).To(BeNumerically(">=", MaxPollInterval))
		Expect(version(k)()).To(Equal(uint64(1)))
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
		k := New(Options{Host: "one", Store: fake.NewTable(), Objects: objects})
		t := table.Empty()
		t.Version = 7
		objects.SetDown(true)
		k.InstallAccepted(t, encodedVersion(7))
		Expect(k.syncSnapshot(ctx)).NotTo(Succeed())
		objects.SetDown(false)
		Expect(k.syncSnapshot(ctx)).To(Succeed())
		Expect(findLatestSnapshot(ctx, objects)).To(Equal(uint64(7)))
	})
})

var _ = DescribeTable("PollInterval",
	func(hosts int, seconds float64) { Expect(PollInterval(hosts).Seconds()).To(Equal(seconds)) },
	Entry("minimum interval", 19, 2.0), Entry("shared poll rate", 250, 5.0), Entry("maximum interval", 1000, 8.0))
