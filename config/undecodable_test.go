package config

import (
	"context"
	"encoding/json"
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
