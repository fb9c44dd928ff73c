package placement_test

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/registry"
)

// proberStub is a network in which only some addresses answer.
type proberStub struct {
	answering map[netip.AddrPort]bool
	queries   atomic.Int32
}

func (s *proberStub) result(t registry.Target) error {
	if s.answering[t.Addr] {
		return nil
	}
	return errors.New("no response")
}

func (s *proberStub) QueryLoad(_ context.Context, t registry.Target, _ string) (load.Report, error) {
	s.queries.Add(1)
	return load.Report{Slots: 2}, s.result(t)
}

func (s *proberStub) Probe(_ context.Context, t registry.Target, _ string) error {
	return s.result(t)
}

func testTarget(id string, port uint16) registry.Target {
	return registry.Target{Entry: registry.Entry{
		Instance: registry.Instance{ID: id, StartedMillis: 1}, Slots: 2, Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port),
	}}
}

func TestTargetIsCheckedByQueryOrWhereThatCountsByConnection(t *testing.T) {
	g := NewWithT(t)
	live, ended := testTarget("live", 1), testTarget("ended", 2)
	for _, path := range []string{"/h", ""} {
		for _, limited := range []bool{false, true} {
			s := &proberStub{answering: map[netip.AddrPort]bool{live.Addr: true}}
			b, err := placement.New(placement.Options{LoadQuerier: s, MaxQueriesPerSecond: 1000})
			g.Expect(err).NotTo(HaveOccurred())
			b.Update(map[string]placement.PoolSpec{"p": {HealthPath: path, Targets: []registry.Target{live, ended}}})
			if limited {
				now := time.Now()
				for _, target := range []registry.Target{live, ended} {
					b.RecordObservation(target.Instance, backpressure.Observation{Limited: true, PerSecond: 1, SentAt: now, HeardAt: now}, "host")
				}
			}
			responds := func(target registry.Target) bool {
				return b.Responds(t.Context(), "p", target.Instance, target.Addr)
			}
			g.Expect(responds(live)).To(BeTrue())
			g.Expect(responds(ended)).To(BeFalse())
			g.Expect(s.queries.Load() > 0).To(Equal(path != "" && !limited), "path %q, limited %t", path, limited)
		}
	}
}

func TestReachIsProbedAtTargetsThatTakeQueries(t *testing.T) {
	g := NewWithT(t)
	targets := lo.Map(lo.Range(8), func(i, _ int) registry.Target { return testTarget(string(rune('a'+i)), uint16(i+1)) })
	s := &proberStub{answering: map[netip.AddrPort]bool{targets[0].Addr: true}}
	b, err := placement.New(placement.Options{LoadQuerier: s, MaxQueriesPerSecond: 1000})
	g.Expect(err).NotTo(HaveOccurred())
	b.Update(map[string]placement.PoolSpec{"p": {HealthPath: "/h", Targets: targets}})
	_, probed := b.ProbeTargets(t.Context(), "p", 5)
	g.Expect(probed).To(Equal(5))
	now := time.Now()
	for _, target := range targets[1:] {
		b.RecordObservation(target.Instance, backpressure.Observation{Limited: true, PerSecond: 1, SentAt: now, HeardAt: now}, "host")
	}
	reached, probed := b.ProbeTargets(t.Context(), "p", 5)
	g.Expect(reached).To(Equal(1))
	g.Expect(probed).To(Equal(1))
	g.Expect(b.PoolOf(targets[3].Addr)).To(Equal("p"))
}
