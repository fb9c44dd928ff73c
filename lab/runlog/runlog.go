// Package runlog records what the upstreams of an experiment really ran, so
// that promises about duplicates and refusals can be checked against it and
// not against what the balancer says. One log is shared by all upstreams.
package runlog

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 32

// Entry is what happened to one request, by token.
type Entry struct {
	// Arrivals counts the times that an upstream received it.
	Arrivals int
	// Runs counts the times that it was begun in a slot.
	Runs int
}

type shard struct {
	mu     sync.Mutex
	tokens map[string]Entry
	orders map[string]int
}

// Log is a run log.
type Log struct{ shards [shardCount]shard }

// New returns an empty log.
func New() *Log {
	l := &Log{}
	for i := range l.shards {
		l.shards[i].tokens = map[string]Entry{}
		l.shards[i].orders = map[string]int{}
	}
	return l
}

func (l *Log) shard(key string) *shard {
	return &l.shards[xxhash.Sum64String(key)%shardCount]
}

// Arrived records that an upstream received the request.
func (l *Log) Arrived(token string) {
	s := l.shard(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.tokens[token]
	e.Arrivals++
	s.tokens[token] = e
}

// Began records that an upstream began to run the request. order is the
// caller's idempotency key with the caller, "" when it has none.
func (l *Log) Began(token, order string) {
	l.countRun(token)
	if order == "" {
		return
	}
	s := l.shard(order)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders[order]++
}

func (l *Log) countRun(token string) {
	s := l.shard(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.tokens[token]
	e.Runs++
	s.tokens[token] = e
}

// Entry returns what happened to one request.
func (l *Log) Entry(token string) Entry {
	s := l.shard(token)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens[token]
}

// Totals sums up a log.
type Totals struct {
	// Requests is the number of distinct requests that arrived.
	Requests int `json:"requests"`
	// Arrivals and Runs count every copy.
	Arrivals int `json:"arrivals"`
	Runs     int `json:"runs"`
	// Orders is the number of distinct orders begun, DuplicateOrders of those
	// begun more than once.
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
	t.Requests += len(s.tokens)
	for _, e := range s.tokens {
		t.Arrivals += e.Arrivals
		t.Runs += e.Runs
	}
	t.Orders += len(s.orders)
	for _, runs := range s.orders {
		if runs > 1 {
			t.DuplicateOrders++
		}
	}
}
