// Package metric registers the Prometheus collectors of a package.
package metric

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Register registers all collectors, or none when r is nil, in which case the
// metrics are counted and not shown. The error names the owner of the metrics.
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
