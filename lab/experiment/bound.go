package experiment

import (
	"slices"
	"time"

	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/table"
)

// Slot returns how long work with the given nominal service time takes if it
// starts in the slot at the given time of the run.
type Slot func(start, work time.Duration) time.Duration

// BoundLatencies returns the latency of each request of a service under an ideal
// central queue that knows all service times, in the order of the requests.
// Lookups and orders have priority over batch requests. The request at the head of
// the queue is assigned to the slot that would finish it first and waits for that
// slot if it is busy. Knowledge, queueing and network transfer cost nothing.
// Latencies count from the planned start of the request.
func BoundLatencies(slots []Slot, classes []loadgen.Class, requests []loadgen.Request) []time.Duration {
	q := centralQueue{slots: slots, freeAt: make([]time.Duration, len(slots)), ends: make([]time.Duration, len(requests)), requests: requests}
	next := 0
	for next < len(requests) || q.waitingCount() > 0 {
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

// centralQueue simulates the ideal central queue.
type centralQueue struct {
	slots []Slot
	// freeAt is when each slot becomes free, ends when each request ends.
	freeAt   []time.Duration
	requests []loadgen.Request
	ends     []time.Duration
	// foreground and batch are the indexes of the queued requests.
	foreground []int
	batch      []int
	now        time.Duration
}

func (q *centralQueue) waitingCount() int { return len(q.foreground) + len(q.batch) }

func (q *centralQueue) enqueue(i int, c table.Class) {
	if c == table.Batch {
		q.batch = append(q.batch, i)
		return
	}
	q.foreground = append(q.foreground, i)
}

// nextFree returns the next time after q.now at which a slot becomes free, or q.now
// if all slots are free. ok is false if no request is queued.
func (q *centralQueue) nextFree() (at time.Duration, ok bool) {
	if q.waitingCount() == 0 {
		return 0, false
	}
	later := slices.DeleteFunc(slices.Clone(q.freeAt), func(t time.Duration) bool { return t <= q.now })
	if len(later) == 0 {
		return q.now, true
	}
	return slices.Min(later), true
}

// dispatch starts requests from the head of the queue until the slot that would
// finish the next one first is busy.
func (q *centralQueue) dispatch(now time.Duration) {
	q.now = now
	for q.waitingCount() > 0 {
		queue := &q.foreground
		if len(q.foreground) == 0 {
			queue = &q.batch
		}
		i := (*queue)[0]
		slot, end := q.fastestSlot(now, q.requests[i].ServiceTime)
		if q.freeAt[slot] > now {
			return
		}
		q.freeAt[slot], q.ends[i] = end, end
		*queue = (*queue)[1:]
	}
}

// fastestSlot returns the slot that would finish the work first, and when. If
// several would finish at that time, it returns the one with the lowest index.
func (q *centralQueue) fastestSlot(now, work time.Duration) (slot int, end time.Duration) {
	slot = -1
	for i, slotTime := range q.slots {
		start := max(now, q.freeAt[i])
		if e := start + slotTime(start, work); slot < 0 || e < end {
			slot, end = i, e
		}
	}
	return slot, end
}
