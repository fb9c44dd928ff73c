package placement

import (
	"time"

	"github.com/chestnutfield/chestnutfield/ports"
)

// Shape of the time that a target needs, in multiples of the work of a usual
// request on an idle target.
const (
	// nearFull is how many times as long work takes once all slots are busy.
	nearFull = 1.6
	// coldFactor is how many times as long work takes on a target that has
	// just started.
	coldFactor = 2.0
	// slowWeight is the part of a reported slowdown that counts: slow spells
	// mostly end before the work does.
	slowWeight = 0.5
	// failureFactor weighs the share of failed calls: a failure costs the
	// caller a whole further attempt at least.
	failureFactor = 4.0
	// farFactor is added for a target in another failure domain: the way there
	// and back, and the bytes across.
	farFactor = 0.35
	// ageFactor is added for a report of ageUnit of age or more, in proportion
	// below: others may have sent work meanwhile.
	ageFactor = 0.5
	ageUnit   = 100 * time.Millisecond
)

// view is what is known of a target at the moment of a choice.
type view struct {
	// present is the number of requests at the target, queued ones included.
	present int
	slots   int
	// slowdown is how many times as long as usual work takes now; 0 when
	// unknown.
	slowdown float64
	cold     bool
	far      bool
	// failures is the share of calls that failed lately.
	failures float64
	// age is the age of the report.
	age time.Duration
}

// free says that a request would find a free slot.
func (v view) free() bool { return v.present < v.slots }

// usual is the view of the target at its usual speed.
func (v view) usual() view {
	v.slowdown = 0
	return v
}

func (v view) basis() ports.Basis {
	return ports.Basis{Present: v.present, Slots: v.slots, Slowdown: v.slowdown, Age: v.age, Cost: v.cost()}
}

// duration is the expected time of a request in multiples of usual work.
func (v view) duration() float64 {
	slots := float64(max(v.slots, 1))
	speed := 1.0
	if v.slowdown > 1 {
		speed += (v.slowdown - 1) * slowWeight
	}
	if v.cold {
		speed *= coldFactor
	}
	load := float64(v.present+1) / slots
	work := speed
	if load >= 1 {
		work *= nearFull
	} else {
		work *= 1 + (nearFull-1)*load*load
	}
	if waiting := float64(v.present+1) - slots; waiting > 0 {
		work += waiting / slots * speed * nearFull
	}
	return work
}

// cost is what targets are compared by: the duration, with what speaks
// against a target beside it.
func (v view) cost() float64 {
	cost := v.duration() * (1 + failureFactor*v.failures)
	if v.far {
		cost += farFactor
	}
	return cost + ageFactor*min(float64(v.age)/float64(ageUnit), 1)
}
