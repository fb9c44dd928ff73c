package hedge

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is the time after which the older latencies of a route are dropped;
	// those of up to two windows count.
	window = 5 * time.Second
	// minSamples is the number of latencies from which a quantile of them is used.
	minSamples = 30
	// refreshInterval is the time for which a computed delay is reused.
	refreshInterval = 250 * time.Millisecond
	// maxRoutes bounds the routes whose latencies are kept; others have none.
	maxRoutes = 64
	// maxLatency is the longest latency that is told apart from longer ones, and
	// significantFigures the precision of the histograms.
	maxLatency         = time.Minute
	significantFigures = 2
	// usualPercent is the part of the requests, in percent, that respond within the usual
	// latency. With the median, half of the copies would come too late.
	usualPercent = 75
)

// Delays holds the latencies that the routes of this host show now, and derives from
// them after what time a copy of a request is sent. It is safe for concurrent use.
type Delays struct {
	// quantile is the part of the requests, in percent, that respond before the delay.
	quantile float64

	mu     sync.RWMutex
	routes map[string]*latencies
}

// NewDelays returns delays that a part of the requests passes, 0 to 1: as many as may
// have a copy. A shorter delay would use up the limit on requests that need no copy, a
// longer one would leave some of it unused.
func NewDelays(part float64) *Delays {
	return &Delays{quantile: 100 * (1 - part), routes: map[string]*latencies{}}
}

// Record records the latency of a request's first attempt, counted from its dispatch.
// That of an attempt which was cancelled is how long it had lasted.
func (d *Delays) Record(now time.Time, route string, latency time.Duration) {
	if l := d.latenciesOf(route, true); l != nil {
		l.record(now, latency)
	}
}

// After returns after what time from its dispatch a copy of a request is sent, 0 when
// none would be useful; known is false while too few latencies of its route are known.
// left is the time until the request's latency objective, set when it has one.
func (d *Delays) After(now time.Time, route string, left time.Duration, hasObjective bool) (delay time.Duration, known bool) {
	l := d.latenciesOf(route, false)
	if l == nil {
		return 0, false
	}
	late, usual, known := l.quantiles(now, d.quantile)
	if !known || !hasObjective {
		return late, known
	}
	return usefulDelay(late, usual, left), true
}

// minDelayFactor is the least delay in multiples of the usual latency. Before that
// nearly all requests are in flight, and their targets have hardly worked on them.
const minDelayFactor = 0.3

// usefulDelay returns the delay of a copy that must leave the time of a usual response
// until the objective, 0 when that is too early to send one.
func usefulDelay(delay, usual, left time.Duration) time.Duration {
	delay = min(delay, left-usual)
	if float64(delay) < minDelayFactor*float64(usual) {
		return 0
	}
	return delay
}

func (d *Delays) latenciesOf(route string, create bool) *latencies {
	d.mu.RLock()
	l, full := d.routes[route], len(d.routes) >= maxRoutes
	d.mu.RUnlock()
	if l != nil || !create || full {
		return l
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if l = d.routes[route]; l == nil {
		l = newLatencies()
		d.routes[route] = l
	}
	return l
}

// latencies are the latencies of one route in the present window and the one before.
type latencies struct {
	mu              sync.Mutex
	present, before *hdrhistogram.Histogram
	presentSince    time.Time
	// late is the quantile as of computedAt and usual that of usualPercent; known is false when
	// there were too few latencies.
	late, usual time.Duration
	known       bool
	computedAt  time.Time
}

func newLatencies() *latencies {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Milliseconds(), significantFigures)
	}
	return &latencies{present: histogram(), before: histogram()}
}

func (l *latencies) record(now time.Time, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	// The value is in the range of the histogram, so that there is no error.
	_ = l.present.RecordValue(min(max(latency.Milliseconds(), 1), maxLatency.Milliseconds()))
}

// rotate begins a new window when the present one is over. The caller holds the lock.
func (l *latencies) rotate(now time.Time) {
	since := now.Sub(l.presentSince)
	if since < window {
		return
	}
	l.present, l.before = l.before, l.present
	l.present.Reset()
	if since >= 2*window {
		l.before.Reset()
	}
	l.presentSince = now
}

func (l *latencies) quantiles(now time.Time, percent float64) (late, usual time.Duration, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.computedAt) < refreshInterval {
		return l.late, l.usual, l.known
	}
	l.rotate(now)
	l.computedAt = now
	all := hdrhistogram.New(1, maxLatency.Milliseconds(), significantFigures)
	all.Merge(l.present)
	all.Merge(l.before)
	l.known = all.TotalCount() >= minSamples
	l.late = time.Duration(all.ValueAtQuantile(percent)) * time.Millisecond
	l.usual = time.Duration(all.ValueAtQuantile(usualPercent)) * time.Millisecond
	return l.late, l.usual, l.known
}
