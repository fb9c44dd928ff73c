package limit

import (
	"context"
	"testing"
	"time"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/table"
)

// BenchmarkAdmit measures one Admit and Release that don't wait, from one
// goroutine and from GOMAXPROCS goroutines.
func BenchmarkAdmit(b *testing.B) {
	a, err := New(Options{})
	if err != nil {
		b.Fatal(err)
	}
	a.Update(map[string]Capacity{"p": {Targets: 12, Slots: 200}})
	once := func() {
		now := time.Now()
		p, _ := a.Admit(context.Background(), lb.AdmitQuery{
			Pool: "p", Class: table.Lookup, Caller: "c", Deadline: now.Add(time.Second),
		})
		if p != nil {
			p.Release(now, succeeded(20*time.Millisecond))
		}
	}
	b.Run("one", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			once()
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				once()
			}
		})
	})
}
