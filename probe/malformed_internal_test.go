package probe

import (
	"context"
	"errors"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/internal/cuttest"
)

// Guards against a load report, or a sign of health, from bytes that are no response.
func TestMalformedResponseToAProbeFails(t *testing.T) {
	registry := prometheus.NewRegistry()
	monitor, err := http1.NewMonitor(zap.NewNop(), registry)
	if err != nil {
		t.Fatal(err)
	}
	s := cuttest.Start(t)
	transport := newHTTPTransport(defaultTimeout, monitor)
	s.CheckMalformed(t, `{"named_metrics":{"in_flight":12}}`, func() (any, error) {
		r := transport.Probe(context.Background(), s.Addr, "/load")
		if r.Failed {
			return nil, errors.New("probe failed")
		}
		return r, nil
	})
	if n, err := testutil.GatherAndCount(registry, "chestnut_malformed_responses_total"); n == 0 || err != nil {
		t.Errorf("%d kinds of malformed responses were counted, %v", n, err)
	}
}
