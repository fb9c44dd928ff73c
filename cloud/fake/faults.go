package fake

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chestnutfield/chestnutfield/cloud"
)

// Counts are the calls that reached a service, failed ones included.
type Counts struct {
	Reads  int
	Writes int
}

// Faults are the switches of one fake service. The zero value has no fault
// and runs on the real clock.
type Faults struct {
	mu       sync.Mutex
	clock    clockwork.Clock
	down     bool
	delay    time.Duration
	lostAcks int
	thawed   chan struct{}
	late     []func()
	counts   Counts
}

// SetClock sets the clock that slowness runs on.
func (f *Faults) SetClock(c clockwork.Clock) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock = c
}

// SetDown makes every call fail with cloud.ErrUnavailable, unapplied.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetDelay makes every call wait for d before it takes effect.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseAcks makes the next n writes take effect and yet return
// cloud.ErrUncertain.
func (f *Faults) LoseAcks(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostAcks = n
}

// Freeze holds every call until Thaw. A read whose context ends meanwhile
// fails with cloud.ErrUnavailable; a write fails with
// cloud.ErrUncertain and is still applied by Thaw.
func (f *Faults) Freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thawed == nil {
		f.thawed = make(chan struct{})
	}
}

// Thaw applies the writes that were given up on, in order, then lets the held
// calls go on.
func (f *Faults) Thaw() {
	f.mu.Lock()
	late, thawed := f.late, f.thawed
	f.late, f.thawed = nil, nil
	f.mu.Unlock()
	for _, apply := range late {
		apply()
	}
	if thawed != nil {
		close(thawed)
	}
}

// Counts returns the calls seen so far.
func (f *Faults) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// read runs get under the faults.
func (f *Faults) read(ctx context.Context, get func()) error {
	f.mu.Lock()
	f.counts.Reads++
	down, delay, thawed := f.down, f.delay, f.thawed
	f.mu.Unlock()
	if down || !f.wait(ctx, delay, thawed) {
		return cloud.ErrUnavailable
	}
	get()
	return nil
}

// write runs apply under the faults.
func (f *Faults) write(ctx context.Context, apply func() error) error {
	f.mu.Lock()
	f.counts.Writes++
	down, delay, thawed := f.down, f.delay, f.thawed
	f.mu.Unlock()
	if down || ctx.Err() != nil {
		return cloud.ErrUnavailable
	}
	if !f.wait(ctx, delay, thawed) {
		f.postpone(func() { _ = apply() })
		return cloud.ErrUncertain
	}
	err := apply()
	if f.takeLostAck() {
		return cloud.ErrUncertain
	}
	return err
}

// postpone keeps apply for Thaw, or runs it when nothing is frozen.
func (f *Faults) postpone(apply func()) {
	f.mu.Lock()
	if f.thawed != nil {
		f.late = append(f.late, apply)
		f.mu.Unlock()
		return
	}
	f.mu.Unlock()
	apply()
}

func (f *Faults) takeLostAck() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostAcks == 0 {
		return false
	}
	f.lostAcks--
	return true
}

// wait holds a call back; it returns false when the context ended first.
func (f *Faults) wait(ctx context.Context, delay time.Duration, thawed <-chan struct{}) bool {
	if thawed != nil {
		select {
		case <-thawed:
		case <-ctx.Done():
			return false
		}
	}
	if delay <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-f.clockOrReal().After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *Faults) clockOrReal() clockwork.Clock {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clock == nil {
		return clockwork.NewRealClock()
	}
	return f.clock
}
