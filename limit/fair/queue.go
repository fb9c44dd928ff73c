// Package fair provides a queue that serves classes by weight and, within a
// class, callers equally.
//
// Both levels use self-clocked fair queueing (SCFQ). Within a class each item
// gets a finish tag, one more than the larger of its caller's last tag and the
// class's virtual time. The item with the lowest tag is served first, so a
// caller that floods the queue only raises its own tags and others overtake it.
// Between classes, the class whose next item has the earliest virtual finish
// time is served first. An item costs the inverse of its class's weight, so a
// class of low weight still gets at least its share of service.
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
	// virtualTime is the virtual time of the scheduling between classes.
	virtualTime float64
	seq         uint64
	len         int
}

// class holds the items of one class.
type class[T any] struct {
	cost float64
	// finish is the virtual finish time of the next item, or of the last one
	// served when the class is empty.
	finish float64
	// virtualTime is the virtual time of the scheduling between the callers of
	// the class.
	virtualTime float64
	// items is sorted by tag, then by arrival.
	items   []*Item[T]
	callers map[string]*caller
}

type caller struct {
	queued  int
	lastTag float64
}

// New returns an empty queue with one class per weight. Weights must be above
// 0.
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

// Push appends a value to the queue of a caller in a class and returns its item
// for Remove.
func (q *Queue[T]) Push(classNo int, name string, v T) *Item[T] {
	c := &q.classes[classNo]
	if len(c.items) == 0 {
		c.finish = max(q.virtualTime, c.finish) + c.cost
	}
	f, ok := c.callers[name]
	if !ok {
		f = &caller{}
		c.callers[name] = f
	}
	f.queued++
	f.lastTag = max(c.virtualTime, f.lastTag) + 1
	q.seq++
	q.len++
	it := &Item[T]{Value: v, class: classNo, caller: name, tag: f.lastTag, seq: q.seq}
	i, _ := slices.BinarySearchFunc(c.items, it, compareTags[T])
	c.items = slices.Insert(c.items, i, it)
	return it
}

// Rank returns the number of items that would be served before an item that the
// caller pushes now.
func (q *Queue[T]) Rank(classNo int, name string) int {
	c := &q.classes[classNo]
	tag := c.virtualTime + 1
	if f, ok := c.callers[name]; ok {
		tag = max(c.virtualTime, f.lastTag) + 1
	}
	rank := 0
	for rank < len(c.items) && c.items[rank].tag <= tag {
		rank++
	}
	before := rank
	own := c.finish + float64(rank)*c.cost
	if len(c.items) == 0 {
		own = max(q.virtualTime, c.finish) + c.cost
	}
	for i := range q.classes {
		if i != classNo {
			before += q.classes[i].servedBefore(own)
		}
	}
	return before
}

// servedBefore returns the number of queued items of the class that finish by a
// virtual time.
func (c *class[T]) servedBefore(finish float64) int {
	if len(c.items) == 0 || finish < c.finish {
		return 0
	}
	return min(int((finish-c.finish)/c.cost)+1, len(c.items))
}

// Pop removes the next item whose class is eligible and returns its value; ok
// is false when there is none.
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
	q.virtualTime = max(q.virtualTime, finish)
	if len(c.items) > 1 {
		c.finish = q.virtualTime + c.cost
	}
	c.virtualTime = max(c.virtualTime, it.tag)
	q.removeAt(c, 0)
	return it.Value, true
}

// Remove removes an item; it returns false when the item is no longer queued.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	c := &q.classes[it.class]
	i, found := slices.BinarySearchFunc(c.items, it, compareTags[T])
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
	if f.queued == 0 && f.lastTag <= c.virtualTime {
		delete(c.callers, it.caller)
	}
	if len(c.items) == 0 {
		clear(c.callers)
		c.virtualTime = 0
	}
	if q.len == 0 {
		q.reset()
	}
}

// reset sets virtual time back to 0; it is called when the queue is empty.
func (q *Queue[T]) reset() {
	q.virtualTime = 0
	for i := range q.classes {
		q.classes[i].finish = 0
	}
}

func compareTags[T any](a, b *Item[T]) int {
	return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.seq, b.seq))
}
