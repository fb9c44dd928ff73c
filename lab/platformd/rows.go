package platformd

import (
	"encoding/json"
	"slices"
	"strconv"
	"sync"
)

// tableName is the name of the only table that exists.
const tableName = "chestnutfield"

// maxItemBytes is the maximum size of one item, as in the real table service.
const maxItemBytes = 400 << 10

// attribute is one attribute value. Only these types are supported.
type attribute struct {
	S    *string `json:"S,omitempty"`
	N    *string `json:"N,omitempty"`
	B    *[]byte `json:"B,omitempty"`
	BOOL *bool   `json:"BOOL,omitempty"`
}

// item is one row in the encoding of the protocol, by attribute name.
type item map[string]attribute

// rowKey is the primary key of an item.
type rowKey struct{ pk, sk string }

// key returns the primary key. ok is false if pk or sk is missing or empty.
func (i item) key() (k rowKey, ok bool) {
	pk, sk := i["pk"].S, i["sk"].S
	if pk == nil || sk == nil || *pk == "" || *sk == "" {
		return rowKey{}, false
	}
	return rowKey{*pk, *sk}, true
}

// size returns the length of the item in JSON, an upper bound of its stored
// size.
func (i item) size() int {
	b, err := json.Marshal(i)
	if err != nil {
		return maxItemBytes + 1
	}
	return len(b)
}

// condition is the condition of a write on the stored item.
type condition struct {
	// absent requires that no item has the key.
	absent bool
	// revision is the required value of rev; nil means any.
	revision *uint64
}

func (c condition) holds(stored item) bool {
	if c.absent {
		return stored == nil
	}
	if c.revision == nil {
		return true
	}
	n := stored["rev"].N
	if n == nil {
		return false
	}
	have, err := strconv.ParseUint(*n, 10, 64)
	return err == nil && have == *c.revision
}

// mutation is one write with its condition. If put is nil and remove is false,
// it only checks the condition.
type mutation struct {
	key       rowKey
	put       item
	remove    bool
	condition condition
	returnOld bool
}

// conditionFailure holds the stored item of a mutation whose condition did not
// hold. A nil *conditionFailure means that the condition held.
type conditionFailure struct{ stored item }

// partition holds the items with one pk. keys are the values of sk in ascending
// order.
type partition struct {
	keys  []string
	items map[string]item
}

// rowStore holds all rows. Its single lock makes transactions atomic.
type rowStore struct {
	mu         sync.RWMutex
	partitions map[string]*partition
}

func newRowStore() *rowStore { return &rowStore{partitions: map[string]*partition{}} }

func (s *rowStore) get(k rowKey) item {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lookup(k)
}

// lookup returns the item, nil if there is none. The caller holds the lock.
func (s *rowStore) lookup(k rowKey) item {
	if p := s.partitions[k.pk]; p != nil {
		return p.items[k.sk]
	}
	return nil
}

// query returns up to limit items (0 means all) with sk > after, and whether
// there are more.
func (s *rowStore) query(pk, after string, limit int) (items []item, more bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p := s.partitions[pk]
	if p == nil {
		return nil, false
	}
	from, found := slices.BinarySearch(p.keys, after)
	if found {
		from++
	}
	keys := p.keys[from:]
	if limit > 0 && len(keys) > limit {
		keys, more = keys[:limit], true
	}
	for _, sk := range keys {
		items = append(items, p.items[sk])
	}
	return items, more
}

// apply applies all mutations or none. It returns nil if they were applied, else
// one entry for each mutation.
func (s *rowStore) apply(ms []mutation) []*conditionFailure {
	s.mu.Lock()
	defer s.mu.Unlock()
	failures := make([]*conditionFailure, len(ms))
	failed := false
	for i, m := range ms {
		if stored := s.lookup(m.key); !m.condition.holds(stored) {
			failures[i] = &conditionFailure{stored: stored}
			failed = true
		}
	}
	if failed {
		return failures
	}
	for _, m := range ms {
		switch {
		case m.put != nil:
			s.put(m.key, m.put)
		case m.remove:
			s.remove(m.key)
		}
	}
	return nil
}

func (s *rowStore) put(k rowKey, it item) {
	p := s.partitions[k.pk]
	if p == nil {
		p = &partition{items: map[string]item{}}
		s.partitions[k.pk] = p
	}
	if at, found := slices.BinarySearch(p.keys, k.sk); !found {
		p.keys = slices.Insert(p.keys, at, k.sk)
	}
	p.items[k.sk] = it
}

func (s *rowStore) remove(k rowKey) {
	p := s.partitions[k.pk]
	if p == nil {
		return
	}
	if at, found := slices.BinarySearch(p.keys, k.sk); found {
		p.keys = slices.Delete(p.keys, at, at+1)
		delete(p.items, k.sk)
	}
}
