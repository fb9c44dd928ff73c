package placement_test

import (
	"context"
	"testing"

	"github.com/chestnutfield/chestnutfield/dialect"
	"github.com/chestnutfield/chestnutfield/internal/cuttest"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// Guards against a load report, or a sign of life, of a target that stopped in its
// response.
func TestCutResponseToALoadQueryGivesNoReport(t *testing.T) {
	s := cuttest.Start(t)
	s.Strict, s.HeaderLine = true, "endpoint-load-metrics: TEXT named_metrics.in_flight=12"
	q := placement.HTTPLoadQuerier{Client: upstream.New(upstream.Options{}), Dialect: dialect.Default()}
	target := registry.Target{Entry: registry.Entry{Addr: s.Addr}}
	s.Check(t, "fine", func() (any, error) { return q.QueryLoad(context.Background(), target, "/load") })
	s.Check(t, "fine", func() (any, error) { return nil, q.Probe(context.Background(), target, "/health") })
}
