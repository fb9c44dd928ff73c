package ledger

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// BenchmarkOrder measures the CPU time of one claim and its outcome on the host,
// with a table service that responds at once.
func BenchmarkOrder(b *testing.B) {
	hosts, stop := hostsOver(fake.NewTable(), 1, func(o *Options) {
		o.ClaimCallsPerSecond, o.OutcomeCallsPerSecond = 1e6, 1e6
	})
	defer stop()
	response := &lb.RecordedResponse{Status: 201, Body: make([]byte, 200)}
	var n atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			k := lb.OrderKey{Caller: "ministry", Key: fmt.Sprint(n.Add(1)), Fingerprint: 1}
			c := hosts[0].Claim(context.Background(), k)
			hosts[0].RecordOutcome(context.Background(), k, c.Token, outcome.Ran, response)
		}
	})
	if err := hosts[0].Flush(context.Background()); err != nil {
		b.Fatal(err)
	}
}
