package config

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table"
)

// storeBody writes a version with any body, as a host of another release may.
func storeBody(g *WithT, store *fake.Table, version uint64, body []byte) {
	g.Expect(store.Transact(context.Background(), []cloud.Write{
		{Row: cloud.Row{Key: schema.VersionKey, Revision: version}},
		{Row: cloud.Row{Key: schema.BodyKey, Revision: version, Body: body}},
	})).To(Succeed())
}

// Guards against a host that stays behind for ever without a sign of the reason.
func TestVersionThatCannotBeDecodedIsReportedOnce(t *testing.T) {
	g := NewWithT(t)
	g.SetDefaultEventuallyTimeout(10 * time.Second)
	clock, store, registry := clockwork.NewFakeClock(), fake.NewTable(), prometheus.NewRegistry()
	logger, logs := observer.New(zap.WarnLevel)
	s := New(Options{Host: "one", Store: store, Objects: fake.NewObjectStore(), Clock: clock, Registerer: registry, Logger: zap.New(logger)})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	defer func() { cancel(); <-done }()
	g.Eventually(s.Ready()).Should(BeClosed())

	storeBody(g, store, 7, []byte("not gzip"))
	afterPoll := func() Status { clock.Advance(MaxPollInterval); return s.Status() }
	g.Eventually(afterPoll).Should(HaveField("HighestKnownVersion", BeEquivalentTo(7)))
	failures := func() float64 {
		clock.Advance(maxBackoff)
		return sample(g, registry, "chestnut_config_fetches_total", "undecodable")
	}
	g.Eventually(failures).Should(BeNumerically(">=", 3))
	g.Expect(logs.FilterField(zap.Uint64("version", 7)).Len()).To(Equal(1))
	g.Expect(sample(g, registry, "chestnut_config_undecodable_version", "")).To(BeEquivalentTo(7))
	status, err := json.Marshal(s.Status())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(status)).To(And(ContainSubstring(`"undecodable_version":7`), ContainSubstring(`gunzip tables`)))

	encoded, err := table.Encode(&table.Tables{Version: 8, Pools: map[string]table.Pool{}, Routes: map[string]table.Route{}})
	g.Expect(err).NotTo(HaveOccurred())
	storeBody(g, store, 8, encoded)
	g.Eventually(afterPoll).Should(HaveField("Version", BeEquivalentTo(8)))
	status, err = json.Marshal(s.Status())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(status)).NotTo(ContainSubstring("undecodable"))
	g.Expect(sample(g, registry, "chestnut_config_undecodable_version", "")).To(BeZero())
}

// sample returns the sum of a metric over its label sets with a value of result, ""
// for all.
func sample(g *WithT, registry *prometheus.Registry, name, result string) (sum float64) {
	families, err := registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		for _, m := range family.GetMetric() {
			matches := result == ""
			for _, l := range m.GetLabel() {
				matches = matches || l.GetName() == "result" && l.GetValue() == result
			}
			if family.GetName() == name && matches {
				sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
	}
	return sum
}

// Guards against a host that fetches tables that it can't decode from each of its peers
// in turn, hundreds of KB at a time.
func TestUndecodableVersionIsFetchedAtABoundedRate(t *testing.T) {
	const (
		peers = 50
		step  = 20 * time.Millisecond
	)
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	c := newCore(coreOptions{discoveryTimeout: DefaultDiscoveryTimeout, catchUpTimeout: DefaultCatchUpTimeout}, now, rand.New(rand.NewPCG(1, 1)))
	c.installIfNewer(loadedTables{tables: &table.Tables{Version: 8}})
	acts := []action{}
	for i := range peers {
		acts = append(acts, c.handlePeerVersion(now, "peer-"+strconv.Itoa(i), 9)...)
	}
	fetches := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(step) {
		next := c.tick(now)
		for _, a := range acts {
			if f, ok := a.(fetch); ok {
				fetches++
				next = append(next, c.handleFetchResult(now, f.from, nil, nil, &undecodableError{version: f.version, cause: io.ErrUnexpectedEOF})...)
			}
		}
		acts = next
	}
	g.Expect(fetches).To(BeNumerically("<=", 25), "fetches in a minute; the longest backoff is 4 s")
	acts = append(acts, c.handlePeerVersion(now, "peer-0", 10)...)
	g.Expect(acts).To(ContainElement(fetch{from: peerSource("peer-0"), version: 10}), "a newer version is fetched at once")
}
