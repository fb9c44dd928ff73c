// Package metric registers Prometheus collectors.
package metric

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Register registers all collectors with r. When r is nil it registers none, so
// that the metrics are counted but not exported. owner is the package that the
// metrics belong to and appears in the error.
func Register(r prometheus.Registerer, owner string, collectors ...prometheus.Collector) error {
	if r == nil {
		return nil
	}
	for _, c := range collectors {
		if err := r.Register(c); err != nil {
			return errors.Wrapf(err, "metrics of %s", owner)
		}
	}
	return nil
}
