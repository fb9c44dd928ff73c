package fake

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/chestnutfield/chestnutfield/cloud"
)

// Counts are the numbers of calls to a service, including failed ones.
type Counts struct {
	Reads  int
	Writes int
}

// Faults injects faults into one fake service. The zero value injects none and
// uses the real clock.
type Faults struct {
	mu       sync.Mutex
	clock    clockwork.Clock
	down     bool
	delay    time.Duration
	lostAcks int
	// thawed is closed by Thaw; it is nil unless the service is frozen.
	thawed chan struct{}
	// postponed are the writes that Thaw applies.
	postponed []func()
	counts    Counts
}

// SetClock sets the clock on which delays run.
func (f *Faults) SetClock(c clockwork.Clock) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock = c
}

// SetDown makes every call fail with cloud.ErrUnavailable without being applied.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetDelay makes every call wait for d before it is applied.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseAcks makes the next n writes return cloud.ErrUncertain although they are
// applied.
func (f *Faults) LoseAcks(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostAcks = n
}

// Freeze blocks every call until Thaw. When the context of a blocked call ends,
// a read fails with cloud.ErrUnavailable; a write fails with cloud.ErrUncertain
// and Thaw still applies it.
func (f *Faults) Freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thawed == nil {
		f.thawed = make(chan struct{})
	}
}

// Thaw applies the writes whose context ended while frozen, in order, and then
// unblocks the other calls.
func (f *Faults) Thaw() {
	f.mu.Lock()
	postponed, thawed := f.postponed, f.thawed
	f.postponed, f.thawed = nil, nil
	f.mu.Unlock()
	for _, apply := range postponed {
		apply()
	}
	if thawed != nil {
		close(thawed)
	}
}

// Counts returns the numbers of calls so far.
func (f *Faults) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// read counts a read and runs get, unless a fault that is set makes it fail.
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

// write counts a write and runs apply, unless a fault that is set makes it fail
// before it is applied.
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

// postpone defers apply to Thaw, or runs it at once if the service isn't frozen.
func (f *Faults) postpone(apply func()) {
	f.mu.Lock()
	if f.thawed != nil {
		f.postponed = append(f.postponed, apply)
		f.mu.Unlock()
		return
	}
	f.mu.Unlock()
	apply()
}

// takeLostAck reports whether the acknowledgement of this write is to be lost,
// and decrements the number of acknowledgements to lose.
func (f *Faults) takeLostAck() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostAcks == 0 {
		return false
	}
	f.lostAcks--
	return true
}

// wait blocks until thawed is closed and delay has passed. It returns false if
// the context ends first.
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
