package upstreamd

import (
	"sort"
	"time"

	"github.com/chestnutfield/chestnutfield/lab/workload"
)

const (
	// noiseCycle is the length of the noise schedule, which then repeats.
	noiseCycle = 20 * time.Second
	// noiseShare is the share of shifts that lead to the low speed.
	noiseShare = 0.2
	// noiseSpeed is the speed of a slot while the neighbour is busy.
	noiseSpeed = 0.2
	// noiseShortest and noiseLongest bound the time between two shifts.
	noiseShortest = 3 * time.Millisecond
	noiseLongest  = 40 * time.Millisecond
	// coldSlowdown is the factor on service times right after a restart.
	coldSlowdown = 4.0
)

// noise is a repeating schedule of slot speeds.
type noise struct {
	// ends[i] is the end of segment i since the start of the cycle.
	ends   []time.Duration
	speeds []float64
}

func newNoise(seed uint64) noise {
	r := workload.NewRand(seed, 'n')
	var n noise
	for at := time.Duration(0); at < noiseCycle; {
		at += noiseShortest + time.Duration(r.Int64N(int64(noiseLongest-noiseShortest)))
		speed := 1.0
		if r.Float64() < noiseShare {
			speed = noiseSpeed
		}
		n.ends = append(n.ends, at)
		n.speeds = append(n.speeds, speed)
	}
	return n
}

// stretch returns how long work takes that starts at the given time since the
// start of the schedule.
func (n noise) stretch(start, work time.Duration) time.Duration {
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

// coldFactor is the factor on service times after a restart; it falls
// linearly to 1 over the ramp.
func coldFactor(sinceRestart, ramp time.Duration) float64 {
	if ramp <= 0 || sinceRestart >= ramp {
		return 1
	}
	left := 1 - float64(sinceRestart)/float64(ramp)
	return 1 + (coldSlowdown-1)*left
}

// NoiseStretch returns how a noisy neighbour stretches work at a target of
// this seed, by the time since the target was made.
func NoiseStretch(seed uint64) func(start, work time.Duration) time.Duration {
	return newNoise(seed).stretch
}

// ColdFactor is the factor on service times a while after a restart with the
// default ramp.
func ColdFactor(sinceRestart time.Duration) float64 {
	return coldFactor(sinceRestart, Defaults().ColdRamp)
}
