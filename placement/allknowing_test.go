package placement_test

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/chestnutfield/chestnutfield/lb"
)

// allKnowingQueue places requests as the bound of what a host can do: it knows the
// state of all targets at each moment and how much work each request takes, and
// begins, newest first, only those that are in time if their target stays as it is.
type allKnowingQueue struct {
	fleet   *fleet
	mu      sync.Mutex
	running map[netip.AddrPort]int
	waiting []*knownRequest
}

// knownRequest is a request that waits; target receives where it is sent.
type knownRequest struct {
	latestStart time.Time
	target      chan netip.AddrPort
}

func newAllKnowingQueue(ctx context.Context, f *fleet) *allKnowingQueue {
	q := &allKnowingQueue{fleet: f, running: map[netip.AddrPort]int{}}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(workStep)
			q.dispatch()
		}
	}()
	return q
}

// place waits for a target; false when the request could only be late.
func (q *allKnowingQueue) place(objectiveAt time.Time, work time.Duration) (netip.AddrPort, bool) {
	r := &knownRequest{
		latestStart: objectiveAt.Add(-2*networkDelay - time.Duration(fullLoadFactor*float64(work))),
		target:      make(chan netip.AddrPort, 1),
	}
	q.mu.Lock()
	q.waiting = append(q.waiting, r)
	q.mu.Unlock()
	q.dispatch()
	select {
	case t := <-r.target:
		return t, true
	case <-time.After(time.Until(r.latestStart) + workStep):
		return netip.AddrPort{}, false
	}
}

// dispatch fills the free slots of the targets that are not slow.
func (q *allKnowingQueue) dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for addr, s := range q.fleet.servers {
		s.mu.Lock()
		usual := s.slowdown == 1
		s.mu.Unlock()
		for usual && q.running[addr] < s.slots && q.sendNewest(addr) {
			q.running[addr]++
		}
	}
}

// sendNewest sends the newest request that can be in time; false when there is none.
func (q *allKnowingQueue) sendNewest(addr netip.AddrPort) bool {
	for len(q.waiting) > 0 {
		r := q.waiting[len(q.waiting)-1]
		q.waiting = q.waiting[:len(q.waiting)-1]
		if !time.Now().After(r.latestStart) {
			r.target <- addr
			return true
		}
	}
	return false
}

// done records that a target has completed a request.
func (q *allKnowingQueue) done(addr netip.AddrPort) {
	q.mu.Lock()
	q.running[addr]--
	q.mu.Unlock()
	q.dispatch()
}

// allKnowingAttempt is a request that an allKnowingQueue has sent.
type allKnowingAttempt struct {
	lb.Attempt
	queue  *allKnowingQueue
	target netip.AddrPort
}

// Target implements lb.Attempt.
func (a allKnowingAttempt) Target() netip.AddrPort { return a.target }

// Done implements lb.Attempt.
func (a allKnowingAttempt) Done(time.Time, lb.Feedback) { a.queue.done(a.target) }
