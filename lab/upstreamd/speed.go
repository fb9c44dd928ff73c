package upstreamd

import (
	"sort"
	"time"

	"github.com/chestnutfield/chestnutfield/lab/workload"
)

const (
	// noiseCycle is the minimum length of the noise schedule, which repeats.
	noiseCycle = 20 * time.Second
	// noiseShare is the fraction of segments with low speed.
	noiseShare = 0.2
	// noisySpeed is the relative speed of a slot while the neighbor is busy.
	noisySpeed = 0.2
	// minNoiseInterval and maxNoiseInterval bound the length of a segment.
	minNoiseInterval = 3 * time.Millisecond
	maxNoiseInterval = 40 * time.Millisecond
	// coldSlowdown is the factor on service times immediately after a restart.
	coldSlowdown = 4.0
)

// noise is a repeating schedule of slot speeds that simulates a noisy neighbor.
type noise struct {
	// ends[i] is the end of segment i, counted from the start of the cycle.
	ends []time.Duration
	// speeds[i] is the relative speed in segment i; 1 is full speed.
	speeds []float64
}

func newNoise(seed uint64) noise {
	r := workload.NewRand(seed, 'n')
	var n noise
	for at := time.Duration(0); at < noiseCycle; {
		at += minNoiseInterval + time.Duration(r.Int64N(int64(maxNoiseInterval-minNoiseInterval)))
		speed := 1.0
		if r.Float64() < noiseShare {
			speed = noisySpeed
		}
		n.ends = append(n.ends, at)
		n.speeds = append(n.speeds, speed)
	}
	return n
}

// duration returns the duration of work that takes the time work at full speed
// and starts at start, counted from the start of the schedule.
func (n noise) duration(start, work time.Duration) time.Duration {
	cycle := n.ends[len(n.ends)-1]
	at := start % cycle
	i := sort.Search(len(n.ends), func(i int) bool { return n.ends[i] > at })
	var took time.Duration
	for {
		span := n.ends[i] - at
		done := time.Duration(float64(span) * n.speeds[i])
		if done >= work {
			return took + time.Duration(float64(work)/n.speeds[i])
		}
		work -= done
		took += span
		at = n.ends[i]
		if i++; i == len(n.ends) {
			i, at = 0, 0
		}
	}
}

// coldFactor returns the factor on service times after a restart. It decreases
// linearly from coldSlowdown to 1 over the ramp.
func coldFactor(sinceRestart, ramp time.Duration) float64 {
	if ramp <= 0 || sinceRestart >= ramp {
		return 1
	}
	left := 1 - float64(sinceRestart)/float64(ramp)
	return 1 + (coldSlowdown-1)*left
}

// NoisyDuration returns a function that computes the duration of work at a
// target with this seed and a noisy neighbor. start is the time since the
// target was created.
func NoisyDuration(seed uint64) func(start, work time.Duration) time.Duration {
	return newNoise(seed).duration
}

// ColdStartFactor returns the factor on service times at the given time after a
// restart with the default ramp.
func ColdStartFactor(sinceRestart time.Duration) float64 {
	return coldFactor(sinceRestart, DefaultOptions().ColdStartTime)
}
