package platformd

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// rateWindowSeconds is the number of full seconds over which rates are averaged.
const rateWindowSeconds = 10

// OperationStats counts the calls of one operation.
type OperationStats struct {
	Calls uint64 `json:"calls"`
	// Items counts the rows or objects that were read or written.
	Items uint64 `json:"items"`
	// Throttled counts the calls rejected because they exceeded the capacity.
	Throttled uint64 `json:"throttled,omitempty"`
}

// Stats are the counts of calls since the server was created.
type Stats struct {
	Operations map[string]OperationStats `json:"operations"`
	// Reads and Writes count the items read and written.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// ReadsPerSecond and WritesPerSecond are the items per second, averaged
	// over the last ten full seconds. The peaks are the most items in any one
	// second.
	ReadsPerSecond      float64 `json:"reads_per_second"`
	WritesPerSecond     float64 `json:"writes_per_second"`
	PeakReadsPerSecond  uint64  `json:"peak_reads_per_second"`
	PeakWritesPerSecond uint64  `json:"peak_writes_per_second"`
}

// access describes one call for the statistics. reads and writes are items.
type access struct {
	operation     string
	reads, writes int
	throttled     bool
}

// secondCounts counts the items read and written in one second.
type secondCounts struct {
	unix          int64
	reads, writes uint64
}

// statsRecorder counts calls by operation and items by second. ring holds the
// current second and the rateWindowSeconds before it.
type statsRecorder struct {
	clock clockwork.Clock

	mu         sync.Mutex
	operations map[string]OperationStats
	ring       [rateWindowSeconds + 1]secondCounts
	reads      uint64
	writes     uint64
	peakReads  uint64
	peakWrites uint64
}

func newStatsRecorder(clock clockwork.Clock) *statsRecorder {
	return &statsRecorder{clock: clock, operations: map[string]OperationStats{}}
}

func (r *statsRecorder) add(a access) {
	now := r.clock.Now().Unix()
	r.mu.Lock()
	defer r.mu.Unlock()
	op := r.operations[a.operation]
	op.Calls++
	if a.throttled {
		op.Throttled++
		r.operations[a.operation] = op
		return
	}
	op.Items += uint64(a.reads + a.writes)
	r.operations[a.operation] = op
	slot := &r.ring[now%int64(len(r.ring))]
	if slot.unix != now {
		*slot = secondCounts{unix: now}
	}
	slot.reads += uint64(a.reads)
	slot.writes += uint64(a.writes)
	r.reads += uint64(a.reads)
	r.writes += uint64(a.writes)
	r.peakReads = max(r.peakReads, slot.reads)
	r.peakWrites = max(r.peakWrites, slot.writes)
}

func (r *statsRecorder) snapshot() Stats {
	now := r.clock.Now().Unix()
	r.mu.Lock()
	defer r.mu.Unlock()
	st := Stats{
		Operations:          make(map[string]OperationStats, len(r.operations)),
		Reads:               r.reads,
		Writes:              r.writes,
		PeakReadsPerSecond:  r.peakReads,
		PeakWritesPerSecond: r.peakWrites,
	}
	for name, op := range r.operations {
		st.Operations[name] = op
	}
	var reads, writes uint64
	for _, slot := range r.ring {
		if slot.unix < now && slot.unix >= now-rateWindowSeconds {
			reads += slot.reads
			writes += slot.writes
		}
	}
	st.ReadsPerSecond = float64(reads) / rateWindowSeconds
	st.WritesPerSecond = float64(writes) / rateWindowSeconds
	return st
}

// Stats returns the current counts.
func (s *Server) Stats() Stats { return s.stats.snapshot() }

// capacity limits the items read and written per second. A nil limiter allows
// everything.
type capacity struct {
	reads, writes *rate.Limiter
}

func newCapacity(reads, writes int) capacity {
	return capacity{reads: newLimiter(reads), writes: newLimiter(writes)}
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

func allow(l *rate.Limiter, now time.Time, items int) bool {
	return l == nil || items == 0 || l.AllowN(now, items)
}

// admit counts a call and reports whether the capacity allows it.
func (s *Server) admit(a access) bool {
	now := s.clock.Now()
	a.throttled = !allow(s.capacity.reads, now, a.reads) || !allow(s.capacity.writes, now, a.writes)
	s.stats.add(a)
	return !a.throttled
}
