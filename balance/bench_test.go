package balance_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/balance"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/table"
)

func benchBalancer(b *testing.B, pools, perPool int, policy string) *balance.Balancer {
	b.Helper()
	bal, err := balance.New(balance.Options{Host: "entry-1", FailureDomain: "a", Seed: 1})
	if err != nil {
		b.Fatal(err)
	}
	specs := map[string]balance.PoolSpec{}
	for i := range pools {
		specs[fmt.Sprintf("p%d", i)] = balance.PoolSpec{
			Policy: policy,
			Targets: lo.Times(perPool, func(j int) table.Target {
				return table.Target{Addr: addr(i*perPool + j), FailureDomain: string(rune('a' + j%3))}
			}),
		}
	}
	if err := bal.Update(start, specs); err != nil {
		b.Fatal(err)
	}
	return bal
}

func call(bal *balance.Balancer, pool string, now time.Time, f lb.Feedback) {
	a, ok := bal.Pick(lb.PickQuery{Pool: pool, Class: table.Lookup, Now: now})
	if !ok {
		panic("no target")
	}
	a.Done(now.Add(20*time.Millisecond), f)
}

func reported() lb.Feedback {
	f := succeeded(20 * time.Millisecond)
	f.LoadReport = "TEXT named_metrics.in_flight=1, named_metrics.queued=0, application_utilization=0.50"
	return f
}

// BenchmarkCall measures one Pick and Done in a pool of 14 targets.
func BenchmarkCall(b *testing.B) {
	for _, policy := range balance.PolicyNames() {
		b.Run(policy, func(b *testing.B) {
			bal, f := benchBalancer(b, 1, 14, policy), reported()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				call(bal, "p0", start.Add(time.Duration(i)*time.Millisecond), f)
			}
		})
	}
}

// BenchmarkCallParallel measures Pick and Done on one pool from all processors
// concurrently.
func BenchmarkCallParallel(b *testing.B) {
	bal, f := benchBalancer(b, 1, 14, balance.DefaultPolicy), reported()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			call(bal, "p0", start.Add(time.Duration(i)*time.Millisecond), f)
		}
	})
}

// BenchmarkMemory measures the heap of about 1,200 targets in 88 pools.
func BenchmarkMemory(b *testing.B) {
	const pools, perPool = 88, 14
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		bal := benchBalancer(b, pools, perPool, balance.DefaultPolicy)
		for i := range pools * perPool {
			call(bal, fmt.Sprintf("p%d", i%pools), start, reported())
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(pools*perPool), "B/target")
		runtime.KeepAlive(bal)
	}
}
