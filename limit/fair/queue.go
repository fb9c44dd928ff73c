// Package fair holds a queue that serves classes by weight and, within a
// class, callers equally.
//
// Both levels are self-clocked fair queueing. Within a class an item gets a
// finish tag, one more than the later of its caller's last tag and the class's
// virtual time; the lowest tag goes first, so a caller that floods pushes its
// own tags ahead and is overtaken. Between classes the one whose next item
// would finish first goes first, each item costing the inverse of the weight
// of its class, so a light class still advances: its weight is its floor.
package fair

import (
	"cmp"
	"slices"
)

// Item is one queued value.
type Item[T any] struct {
	Value  T
	class  int
	caller string
	tag    float64
	seq    uint64
}

// Queue serves items by weight. Classes are numbered from 0. A Queue is not
// safe for concurrent use.
type Queue[T any] struct {
	classes []class[T]
	// now is the virtual time between classes.
	now float64
	seq uint64
	len int
}

// class holds the items of one class.
type class[T any] struct {
	cost float64
	// finish is the virtual finish time of the next item, or of the last one
	// served when the class is empty.
	finish float64
	// now is the virtual time between the callers of the class.
	now float64
	// items is sorted by tag, then by arrival.
	items   []*Item[T]
	callers map[string]*caller
}

type caller struct {
	queued int
	last   float64
}

// New returns an empty queue with one class per weight; weights are above 0.
func New[T any](weights ...float64) *Queue[T] {
	q := &Queue[T]{classes: make([]class[T], len(weights))}
	for i, w := range weights {
		q.classes[i] = class[T]{cost: 1 / w, callers: map[string]*caller{}}
	}
	return q
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.len }

// ClassLen returns the number of queued items of one class.
func (q *Queue[T]) ClassLen(classNo int) int { return len(q.classes[classNo].items) }

// CallerLen returns the number of queued items of one caller in one class.
func (q *Queue[T]) CallerLen(classNo int, name string) int {
	if c, ok := q.classes[classNo].callers[name]; ok {
		return c.queued
	}
	return 0
}

// Push queues a value.
func (q *Queue[T]) Push(classNo int, name string, v T) *Item[T] {
	c := &q.classes[classNo]
	if len(c.items) == 0 {
		c.finish = max(q.now, c.finish) + c.cost
	}
	f, ok := c.callers[name]
	if !ok {
		f = &caller{}
		c.callers[name] = f
	}
	f.queued++
	f.last = max(c.now, f.last) + 1
	q.seq++
	q.len++
	it := &Item[T]{Value: v, class: classNo, caller: name, tag: f.last, seq: q.seq}
	i, _ := slices.BinarySearchFunc(c.items, it, compare[T])
	c.items = slices.Insert(c.items, i, it)
	return it
}

// Rank returns the number of items that would be served before an item of the
// caller that is pushed now.
func (q *Queue[T]) Rank(classNo int, name string) int {
	c := &q.classes[classNo]
	tag := c.now + 1
	if f, ok := c.callers[name]; ok {
		tag = max(c.now, f.last) + 1
	}
	rank := 0
	for rank < len(c.items) && c.items[rank].tag <= tag {
		rank++
	}
	before := rank
	own := c.finish + float64(rank)*c.cost
	if len(c.items) == 0 {
		own = max(q.now, c.finish) + c.cost
	}
	for i := range q.classes {
		if i != classNo {
			before += q.classes[i].servedBefore(own)
		}
	}
	return before
}

// servedBefore returns the number of queued items that finish before a
// virtual time.
func (c *class[T]) servedBefore(finish float64) int {
	if len(c.items) == 0 || finish < c.finish {
		return 0
	}
	return min(int((finish-c.finish)/c.cost)+1, len(c.items))
}

// Pop removes and returns the next item whose class is eligible.
func (q *Queue[T]) Pop(eligible func(classNo int) bool) (v T, ok bool) {
	best, finish := -1, 0.0
	for i := range q.classes {
		c := &q.classes[i]
		if len(c.items) == 0 || !eligible(i) {
			continue
		}
		if best < 0 || c.finish < finish {
			best, finish = i, c.finish
		}
	}
	if best < 0 {
		return v, false
	}
	c := &q.classes[best]
	it := c.items[0]
	q.now = max(q.now, finish)
	if len(c.items) > 1 {
		c.finish = q.now + c.cost
	}
	c.now = max(c.now, it.tag)
	q.removeAt(c, 0)
	return it.Value, true
}

// Remove takes an item out; false when it is not queued any more.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	c := &q.classes[it.class]
	i, found := slices.BinarySearchFunc(c.items, it, compare[T])
	if !found {
		return false
	}
	q.removeAt(c, i)
	return true
}

// Values returns the queued values of a class in the order of service.
func (q *Queue[T]) Values(classNo int) []T {
	items := q.classes[classNo].items
	out := make([]T, len(items))
	for i, it := range items {
		out[i] = it.Value
	}
	return out
}

func (q *Queue[T]) removeAt(c *class[T], i int) {
	it := c.items[i]
	c.items = slices.Delete(c.items, i, i+1)
	q.len--
	f := c.callers[it.caller]
	f.queued--
	if f.queued == 0 && f.last <= c.now {
		delete(c.callers, it.caller)
	}
	if len(c.items) == 0 {
		clear(c.callers)
		c.now = 0
	}
	if q.len == 0 {
		q.reset()
	}
}

// reset starts virtual time anew when the queue is empty.
func (q *Queue[T]) reset() {
	q.now = 0
	for i := range q.classes {
		q.classes[i].finish = 0
	}
}

func compare[T any](a, b *Item[T]) int {
	return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.seq, b.seq))
}
