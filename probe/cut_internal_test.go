package probe

import (
	"context"
	"errors"
	"testing"

	"github.com/chestnutfield/chestnutfield/internal/cuttest"
)

// Guards against a load report, or a sign of health, of a target that stopped in its
// response.
func TestCutResponseToAProbeFails(t *testing.T) {
	s := cuttest.Start(t)
	s.Strict, s.Framings = true, []cuttest.Framing{cuttest.Length, cuttest.Chunked}
	transport := newHTTPTransport(defaultTimeout, nil)
	s.Check(t, `{"named_metrics":{"in_flight":12}}`, func() (any, error) {
		r := transport.Probe(context.Background(), s.Addr, "/load")
		if r.Failed {
			return nil, errors.New("probe failed")
		}
		return r, nil
	})
}
