package table_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/chestnutfield/chestnutfield/table"
)

// tablesOfServices returns tables with the given number of services, each with
// 14 targets and two routes.
func tablesOfServices(services int) *table.Tables {
	t := table.Empty()
	t.Version = 1
	for s := range services {
		name := fmt.Sprintf("service-%d", s)
		p := table.Pool{Name: name, ProbeBudget: table.DefaultProbeBudget, LoadPath: "/load", HealthPath: "/health",
			Slots: table.DefaultSlots, Connections: table.DefaultConnections}
		for i := range 14 {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(s), byte(i), byte(s*31 + i*17)}), 9001)
			p.Targets = append(p.Targets, table.Target{Addr: addr, FailureDomain: fmt.Sprintf("scot-central-%d", i%7)})
		}
		t.Pools[name] = p
		for _, class := range []table.Class{table.Lookup, table.Order} {
			r := table.Route{Name: name + "-" + string(class), PathPrefix: "/" + name + "/" + string(class) + "/",
				Pool: name, Class: class, Timeout: table.DefaultTimeout}
			t.Routes[r.Name] = r
		}
	}
	return t
}

func BenchmarkCodec(b *testing.B) {
	for _, services := range []int{3, 11, 44, 88} {
		t := tablesOfServices(services)
		encoded, err := table.Encode(t)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("encode/targets=%d", services*14), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = table.Encode(t)
			}
			b.ReportMetric(float64(len(encoded)), "packed-bytes")
		})
		b.Run(fmt.Sprintf("decode/targets=%d", services*14), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = table.Decode(encoded)
			}
		})
		b.Run(fmt.Sprintf("validate/targets=%d", services*14), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_ = table.Validate("routes", t)
			}
		})
	}
}
