package table_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutfield/chestnutfield/table"
)

// tablesOfRoutes returns tables with the given number of routes to 16 services, with
// names and prefixes of up to 60 bytes that differ as in deployments.
func tablesOfRoutes(routes int) *table.Tables {
	t := table.Empty()
	t.Version = 1
	name := func(kind string, i int) string {
		return fmt.Sprintf("%s-%016x-of-a-deployment-with-long-names-%06d", kind, xxhash.Sum64String(fmt.Sprint(kind, i)), i)
	}
	for i := range 16 {
		p := table.Pool{Name: name("service", i), Service: name("service", i), HealthPath: "/healthz", Slots: table.DefaultSlots, Connections: 260}
		t.Pools[p.Name] = p
	}
	for i := range routes {
		r := table.Route{Name: name("route", i), PathPrefix: "/" + name("p", i) + "/", Host: fmt.Sprintf("h%d.example", i%50),
			Pool: name("service", i%16), Class: table.Lookup, Idempotent: true, Retries: 1, Timeout: 1200 * time.Millisecond,
			Objective: 200 * time.Millisecond, Rank: i % 3}
		t.Routes[r.Name] = r
	}
	return t
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func BenchmarkManyRoutes(b *testing.B) {
	for _, routes := range []int{2000, 10_000, 20_000} {
		t := tablesOfRoutes(routes)
		encoded, plain, err := table.EncodeTransfer(t)
		b.Run(fmt.Sprintf("encode/routes=%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				encoded, plain, err = table.EncodeTransfer(t)
			}
			if err != nil {
				b.Skip(err)
			}
			b.ReportMetric(float64(len(encoded)), "packed-bytes")
			b.ReportMetric(float64(plain), "json-bytes")
		})
		b.Run(fmt.Sprintf("decode/routes=%d", routes), func(b *testing.B) {
			if err != nil {
				b.Skip(err)
			}
			b.ReportAllocs()
			var decoded *table.Tables
			before := heapBytes()
			for b.Loop() {
				decoded, _ = table.DecodeTransfer(encoded)
			}
			b.ReportMetric(heapBytes()-before, "held-bytes")
			runtime.KeepAlive(decoded)
		})
		b.Run(fmt.Sprintf("validate/routes=%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_ = table.Validate("routes", t)
			}
		})
	}
}

// BenchmarkOneRouteChanged measures what one changed route costs the sender, which
// compares two versions, and the receiver.
func BenchmarkOneRouteChanged(b *testing.B) {
	for _, routes := range []int{2000, 10_000, 20_000} {
		before, after := tablesOfRoutes(routes), tablesOfRoutes(routes)
		for name, r := range after.Routes {
			r.Timeout++
			after.Routes[name] = r
			break
		}
		names, encoded := table.ChangedNames(before, after), []byte(nil)
		run := func(name string, do func()) {
			b.Run(fmt.Sprintf("%s/routes=%d", name, routes), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					do()
				}
				b.ReportMetric(float64(len(encoded)), "sent-bytes")
			})
		}
		run("compare", func() { table.ChangedNames(before, after) })
		run("digest", func() { _, _ = table.Digest(after) })
		run("encode", func() { encoded, _ = table.EncodeChanges(table.NewChanges(1, names, after)) })
		run("apply", func() {
			c, _ := table.DecodeChanges(encoded)
			c.Apply(before)
		})
	}
}
