package storesync

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// BenchmarkReading measures what a reading of 3,000 entries, all written again since
// the last one, costs the reader, and what a sync request without changes costs it.
func BenchmarkReading(b *testing.B) {
	fl := newScaleFleet(300)
	source, clock := scaleSource{fl.hosts[0]}, clockwork.NewFakeClock()
	node, err := hostmsg.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop(), nil)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = node.Close() }()
	f, err := New(Options{
		Source: source, Node: node, Roster: roster.New(fl.hosts[0].self), Clock: clock, Logger: zap.NewNop(),
		OnChange: func(map[string][]registry.Target, ...*table.Tables) {},
	})
	if err != nil {
		b.Fatal(err)
	}
	r, err := source.Registry()
	if err != nil {
		b.Fatal(err)
	}
	read := func() {
		clock.Advance(registryReadInterval)
		r.Version++
		for i := range r.Entries {
			r.Entries[i].Sequence++
		}
		f.applyReading(r, clock.Now())
	}
	read()
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			read()
		}
	})
	b.Run("sync", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f.changesSince(r.Version - 1)
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f.snapshotCache = snapshotCache{}
			body, err := f.snapshot(peerVersions{})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(body)), "bytes")
		}
	})
}

// BenchmarkSnapshotOfManyRoutes measures what a snapshot costs the host that serves it:
// tables whole, for the first host and for each further one, and one changed route.
func BenchmarkSnapshotOfManyRoutes(b *testing.B) {
	before := manyRoutes(2, 10_000)
	after := withTimeout(before, 3, 2*time.Second)
	digest, err := table.Digest(before)
	if err != nil {
		b.Fatal(err)
	}
	f, err := New(Options{
		Node: lo.Must(hostmsg.New(zap.NewNop(), nil)), Roster: roster.New(roster.Host{Name: "h"}), Clock: clockwork.NewFakeClock(), Logger: zap.NewNop(),
		OnChange: func(map[string][]registry.Target, ...*table.Tables) {},
	})
	if err != nil {
		b.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		has    peerVersions
		forget bool
	}{
		{"whole/first", peerVersions{}, true},
		{"whole/next", peerVersions{}, false},
		{"changes/first", peerVersions{tables: 2, base: digest}, true},
		{"changes/next", peerVersions{tables: 2, base: digest}, false},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			sent := 0
			for b.Loop() {
				if c.forget {
					b.StopTimer()
					f.snapshotCache, f.archive = snapshotCache{}, tablesArchive{}
					f.tables.Store(before)
					_, _, _ = f.archive.refresh(f.Current, nil, nil)
					f.tables.Store(after)
					b.StartTimer()
				}
				parts, err := f.snapshotParts(c.has)
				if err != nil {
					b.Fatal(err)
				}
				sent = len(slices.Concat(parts...))
			}
			b.ReportMetric(float64(sent), "sent-bytes")
		})
	}
}
