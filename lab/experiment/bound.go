package experiment

import (
	"slices"
	"time"

	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/table"
)

// Slot says how long work takes that starts in it at a time of the run.
type Slot func(start, work time.Duration) time.Duration

// Bound returns when each request of a service would end under an all-knowing
// central queue, in the order of the requests: lookups and orders go before
// batch traffic, and the first in line goes to the slot that would finish it
// first, for which it waits when that slot is busy. Knowledge, queueing and
// travel cost nothing. Times are from the intended start.
func Bound(slots []Slot, classes []loadgen.Class, requests []loadgen.Request) []time.Duration {
	q := centralQueue{slots: slots, free: make([]time.Duration, len(slots)), ends: make([]time.Duration, len(requests)), requests: requests}
	next := 0
	for next < len(requests) || q.waiting() > 0 {
		now, ok := q.nextFree()
		if next < len(requests) && (!ok || requests[next].At <= now) {
			now = requests[next].At
			q.enqueue(next, classes[requests[next].Class].Name)
			next++
		}
		q.dispatch(now)
	}
	for i, r := range requests {
		q.ends[i] -= r.At
	}
	return q.ends
}

type centralQueue struct {
	slots    []Slot
	free     []time.Duration
	requests []loadgen.Request
	ends     []time.Duration
	first    []int
	last     []int
	now      time.Duration
}

func (q *centralQueue) waiting() int { return len(q.first) + len(q.last) }

func (q *centralQueue) enqueue(i int, c table.Class) {
	if c == table.Batch {
		q.last = append(q.last, i)
		return
	}
	q.first = append(q.first, i)
}

// nextFree is the next time after now at which a slot becomes free; ok is
// false when nothing waits for one.
func (q *centralQueue) nextFree() (at time.Duration, ok bool) {
	if q.waiting() == 0 {
		return 0, false
	}
	later := slices.DeleteFunc(slices.Clone(q.free), func(t time.Duration) bool { return t <= q.now })
	if len(later) == 0 {
		return q.now, true
	}
	return slices.Min(later), true
}

// dispatch starts what is first in line for as long as its best slot is free.
func (q *centralQueue) dispatch(now time.Duration) {
	q.now = now
	for q.waiting() > 0 {
		line := &q.first
		if len(q.first) == 0 {
			line = &q.last
		}
		i := (*line)[0]
		slot, end := q.best(now, q.requests[i].ServiceTime)
		if q.free[slot] > now {
			return
		}
		q.free[slot], q.ends[i] = end, end
		*line = (*line)[1:]
	}
}

// best is the slot that would finish the work first, a free one before a busy
// one.
func (q *centralQueue) best(now, work time.Duration) (slot int, end time.Duration) {
	slot = -1
	for i, run := range q.slots {
		start := max(now, q.free[i])
		if e := start + run(start, work); slot < 0 || e < end {
			slot, end = i, e
		}
	}
	return slot, end
}
