package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// HotCold keeps a pool of recent answers. A target is hot when its in-flight
// number is above a quantile of the recent ones. The cold target with the
// lowest latency is taken, or the hot one with the fewest in flight when all
// are hot; the answer is then used up.
const HotCold = "hot_cold"

const (
	// answersKept is the size of the pool of answers.
	answersKept = 16
	// answerAge is the age at which an answer is dropped.
	answerAge = 250 * time.Millisecond
	// minAnswers is the number below which two targets are drawn instead.
	minAnswers = 2
	// countsKept is the number of recent in-flight numbers kept.
	countsKept = 64
	// hotQuantile of the recent numbers separates cold from hot.
	hotQuantile = 0.75
)

type hotCold struct {
	answers []Answer
	counts  []int
	next    int
}

var _ Observer = (*hotCold)(nil)

func newHotCold() *hotCold { return &hotCold{counts: make([]int, 0, countsKept)} }

// Observe keeps the newest answer of each target.
func (p *hotCold) Observe(a Answer) {
	if len(p.counts) < countsKept {
		p.counts = append(p.counts, a.InFlight)
	} else {
		p.counts[p.next] = a.InFlight
		p.next = (p.next + 1) % countsKept
	}
	p.answers = slices.DeleteFunc(p.answers, func(o Answer) bool { return o.Addr == a.Addr })
	if len(p.answers) == answersKept {
		p.answers = slices.Delete(p.answers, 0, 1)
	}
	p.answers = append(p.answers, a)
}

func (p *hotCold) Choose(now time.Time, cs []Candidate, rng *rand.Rand) int {
	p.answers = slices.DeleteFunc(p.answers, func(a Answer) bool { return now.Sub(a.At) > answerAge })
	if len(p.answers) < minAnswers {
		return p2cShared{}.Choose(now, cs, rng)
	}
	used, chosen := p.best(cs)
	if used < 0 {
		return p2cShared{}.Choose(now, cs, rng)
	}
	p.answers = slices.Delete(p.answers, used, used+1)
	return chosen
}

// best returns the index of the best answer and of its candidate, -1 when no
// answer belongs to a candidate.
func (p *hotCold) best(cs []Candidate) (used, chosen int) {
	limit := p.hotLimit()
	used = -1
	for i, a := range p.answers {
		c := slices.IndexFunc(cs, func(c Candidate) bool { return c.Addr == a.Addr })
		if c >= 0 && (used < 0 || better(a, p.answers[used], limit)) {
			used, chosen = i, c
		}
	}
	return used, chosen
}

func better(a, b Answer, hotLimit int) bool {
	aHot, bHot := a.InFlight > hotLimit, b.InFlight > hotLimit
	switch {
	case aHot != bHot:
		return bHot
	case aHot:
		return a.InFlight < b.InFlight
	default:
		return a.Latency < b.Latency
	}
}

func (p *hotCold) hotLimit() int {
	sorted := slices.Sorted(slices.Values(p.counts))
	return sorted[int(hotQuantile*float64(len(sorted)-1))]
}
