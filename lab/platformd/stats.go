package platformd

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// rateWindow is the number of full seconds that rates are averaged over.
const rateWindow = 10

// OperationStats counts the calls of one operation.
type OperationStats struct {
	Calls uint64 `json:"calls"`
	// Items counts rows or objects read or written.
	Items uint64 `json:"items"`
	// Throttled counts the calls refused for lack of capacity.
	Throttled uint64 `json:"throttled,omitempty"`
}

// Stats is what the platform was asked to do since it started.
type Stats struct {
	Operations map[string]OperationStats `json:"operations"`
	// Reads and Writes are items since the start.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// ReadsPerSecond and WritesPerSecond are items over the last ten full
	// seconds, the peaks the highest single second seen.
	ReadsPerSecond      float64 `json:"reads_per_second"`
	WritesPerSecond     float64 `json:"writes_per_second"`
	PeakReadsPerSecond  uint64  `json:"peak_reads_per_second"`
	PeakWritesPerSecond uint64  `json:"peak_writes_per_second"`
}

type access struct {
	operation     string
	reads, writes int
	throttled     bool
}

type second struct {
	unix          int64
	reads, writes uint64
}

// recorder counts calls by operation and items by second.
type recorder struct {
	clock clockwork.Clock

	mu         sync.Mutex
	operations map[string]OperationStats
	ring       [rateWindow + 1]second
	reads      uint64
	writes     uint64
	peakReads  uint64
	peakWrites uint64
}

func newRecorder(clock clockwork.Clock) *recorder {
	return &recorder{clock: clock, operations: map[string]OperationStats{}}
}

func (r *recorder) add(a access) {
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
		*slot = second{unix: now}
	}
	slot.reads += uint64(a.reads)
	slot.writes += uint64(a.writes)
	r.reads += uint64(a.reads)
	r.writes += uint64(a.writes)
	r.peakReads = max(r.peakReads, slot.reads)
	r.peakWrites = max(r.peakWrites, slot.writes)
}

func (r *recorder) snapshot() Stats {
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
		if slot.unix < now && slot.unix >= now-rateWindow {
			reads += slot.reads
			writes += slot.writes
		}
	}
	st.ReadsPerSecond = float64(reads) / rateWindow
	st.WritesPerSecond = float64(writes) / rateWindow
	return st
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats { return s.stats.snapshot() }

// capacity limits the items read and written a second; nil limiters allow all.
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

// admit counts a call and says whether the capacity allows it.
func (s *Server) admit(a access) bool {
	now := s.clock.Now()
	a.throttled = !allow(s.capacity.reads, now, a.reads) || !allow(s.capacity.writes, now, a.writes)
	s.stats.add(a)
	return !a.throttled
}
