// Package runlog records which requests the stand-in upstreams of an experiment
// received and ran. The guarantees about duplicate orders and refusals are checked
// against this log instead of the load balancer's own reports. All upstreams of an
// experiment share one log.
package runlog

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards, each with its own lock.
const shardCount = 32

// Entry counts the arrivals and runs of one request token.
type Entry struct {
	// Arrivals is how often an upstream received the request.
	Arrivals int
	// Runs is how often an upstream started to run it in a slot.
	Runs int
}

// shard holds the tokens and orders whose hash falls to it.
type shard struct {
	mu        sync.Mutex
	entries   map[string]Entry
	orderRuns map[string]int
}

// Log is a run log. Its methods may be called concurrently.
type Log struct{ shards [shardCount]shard }

// New returns an empty log.
func New() *Log {
	l := &Log{}
	for i := range l.shards {
		l.shards[i].entries = map[string]Entry{}
		l.shards[i].orderRuns = map[string]int{}
	}
	return l
}

func (l *Log) shard(key string) *shard {
	return &l.shards[xxhash.Sum64String(key)%shardCount]
}

// RecordArrival records that an upstream received the request with the token.
func (l *Log) RecordArrival(token string) {
	s := l.shard(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[token]
	e.Arrivals++
	s.entries[token] = e
}

// RecordRun records that an upstream started to run the request with the token.
// order identifies the order by its caller and idempotency key; it is empty for
// a request without such a key.
func (l *Log) RecordRun(token, order string) {
	l.countRun(token)
	if order == "" {
		return
	}
	s := l.shard(order)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderRuns[order]++
}

func (l *Log) countRun(token string) {
	s := l.shard(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[token]
	e.Runs++
	s.entries[token] = e
}

// Entry returns the counts of the request with the token, zero if it is unknown.
func (l *Log) Entry(token string) Entry {
	s := l.shard(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[token]
}

// Totals are the sums over all requests of a log.
type Totals struct {
	// Requests is the number of distinct tokens that arrived.
	Requests int `json:"requests"`
	// Arrivals and Runs count every arrival and run, repeated ones included.
	Arrivals int `json:"arrivals"`
	Runs     int `json:"runs"`
	// Orders is the number of distinct orders that were run, DuplicateOrders the
	// number of those that were run more than once.
	Orders          int `json:"orders"`
	DuplicateOrders int `json:"duplicate_orders"`
}

// Totals returns the sums so far.
func (l *Log) Totals() Totals {
	var t Totals
	for i := range l.shards {
		l.shards[i].addTo(&t)
	}
	return t
}

func (s *shard) addTo(t *Totals) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Requests += len(s.entries)
	for _, e := range s.entries {
		t.Arrivals += e.Arrivals
		t.Runs += e.Runs
	}
	t.Orders += len(s.orderRuns)
	for _, runs := range s.orderRuns {
		if runs > 1 {
			t.DuplicateOrders++
		}
	}
}
