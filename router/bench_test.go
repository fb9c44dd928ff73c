package router_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/chestnutfield/chestnutfield/router"
	"github.com/chestnutfield/chestnutfield/table"
)

// BenchmarkManyRoutes measures compiling tables of many routes, what the router holds
// beside them, and a match.
func BenchmarkManyRoutes(b *testing.B) {
	for _, routes := range []int{2000, 10_000, 20_000} {
		t := table.Empty()
		for i := range 16 {
			name := fmt.Sprint("service-", i)
			t.Pools[name] = table.Pool{Name: name, Service: name}
		}
		for i := range routes {
			name := fmt.Sprintf("route-of-a-deployment-with-long-names-%06d", i)
			t.Routes[name] = table.Route{Name: name, PathPrefix: "/" + name + "/", Host: fmt.Sprintf("h%d.example", i%50),
				Pool: fmt.Sprint("service-", i%16), Class: table.Lookup, Timeout: time.Second}
		}
		var compiled *router.Router
		b.Run(fmt.Sprintf("compile/routes=%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			before := heapBytes()
			for b.Loop() {
				compiled = router.Compile(t)
			}
			b.ReportMetric(heapBytes()-before, "held-bytes")
		})
		b.Run(fmt.Sprintf("match/routes=%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			q := router.Request{Method: "GET", Path: "/route-of-a-deployment-with-long-names-001500/x", Host: "h0.example"}
			for b.Loop() {
				if _, ok := compiled.Match(q); !ok {
					b.Fatal("no match")
				}
			}
		})
	}
}

// BenchmarkMatchOnOnePrefix measures a match where many routes differ in their host alone.
func BenchmarkMatchOnOnePrefix(b *testing.B) {
	for _, routes := range []int{2000, 10_000} {
		t := table.Empty()
		t.Pools["p"] = table.Pool{Name: "p"}
		for i := range routes {
			name := fmt.Sprint("r", i)
			t.Routes[name] = table.Route{Name: name, PathPrefix: "/", Host: fmt.Sprintf("h%d.example", i), Pool: "p"}
		}
		compiled := router.Compile(t)
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			for b.Loop() {
				if _, ok := compiled.Match(router.Request{Path: "/x", Host: "h1500.example"}); !ok {
					b.Fatal("no match")
				}
			}
		})
	}
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
