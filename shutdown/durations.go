package shutdown

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// windowRequests is the number of requests after which the longest duration of a
	// window is taken; the last two windows count.
	windowRequests = 64
	// minKnown is the number of requests of a kind from which on their durations are
	// relied upon.
	minKnown = 8
	// maxKinds bounds the number of kinds; nothing is known of further ones.
	maxKinds = 4096
)

// Kind is a kind of requests that take about the same time.
type Kind struct {
	Pool, Class string
	Repeatable  bool
	// Objective is the latency objective of the requests' routes, 0 for none.
	Objective time.Duration
}

// Estimate is what is known of the duration of a request, from its dispatch to the end
// of its response.
type Estimate struct {
	// Longest is the longest duration among the last requests of the kind, 0 when
	// there was none; Known is false while there were too few of them.
	Longest time.Duration
	Known   bool
	// Objective is the latency objective, 0 for none.
	Objective time.Duration
}

// Durations holds the durations of the last requests of each kind. It is safe for
// concurrent use.
type Durations struct {
	kinds sync.Map // Kind to *window
	count atomic.Int64
}

// window holds the longest of the last requests of a kind.
type window struct {
	mu                sync.Mutex
	current, previous time.Duration
	// requests counts those of the current window.
	requests int
	total    int
}

// Record records how long a request took, from its dispatch to the end of its
// response or to its deadline.
func (d *Durations) Record(k Kind, duration time.Duration) {
	w, ok := d.kinds.Load(k)
	if !ok {
		if d.count.Load() >= maxKinds {
			return
		}
		var known bool
		if w, known = d.kinds.LoadOrStore(k, &window{}); !known {
			d.count.Add(1)
		}
	}
	w.(*window).record(duration)
}

func (w *window) record(duration time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.requests == windowRequests {
		w.previous, w.current, w.requests = w.current, 0, 0
	}
	w.requests++
	w.total = min(w.total+1, minKnown)
	w.current = max(w.current, duration)
}

// Estimate returns what is known of requests of a kind.
func (d *Durations) Estimate(k Kind) Estimate {
	e := Estimate{Objective: k.Objective}
	if w, ok := d.kinds.Load(k); ok {
		e.Longest, e.Known = w.(*window).longest()
	}
	return e
}

func (w *window) longest() (longest time.Duration, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.current, w.previous), w.total >= minKnown
}
