package owner

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
)

// The constants of the choice.
const (
	// reportHalfLife is the age at which a report of backlog has lost half of
	// its weight.
	reportHalfLife = 200 * time.Millisecond
	// maxAge bounds the time over which coming requests are reckoned.
	maxAge = time.Second
	// slowTolerance is the factor between service times from which a group
	// counts as slower or faster than the average.
	slowTolerance = 1.5
	// initialService stands for the service time of a group with no samples.
	initialService = 10 * time.Millisecond
	// suspendFor is how long a group is passed over after its owner could not
	// be reached.
	suspendFor = time.Second
)

// Report is the load that an owner states for one of its groups.
type Report struct {
	// Backlog counts requests in flight and queued at the owner.
	Backlog int
	// Slots counts the slots of the group's targets that take new work.
	Slots int
	// Service is the smoothed time a target takes for one request.
	Service time.Duration
}

// Valid reports whether the figures are possible.
func (r Report) Valid() bool {
	return r.Backlog >= 0 && r.Slots >= 0 && r.Service >= 0 &&
		r.Backlog <= maxBacklog && r.Slots <= maxSlots && r.Service <= maxService
}

// The bounds of a believable report.
const (
	maxBacklog = 1 << 20
	maxSlots   = 1 << 16
	maxService = time.Hour
)

// GroupSpec describes a group to the chooser.
type GroupSpec struct {
	Group Group
	// Slots counts the slots of the group's targets.
	Slots int
	// Distance is the one-way time to the group's failure domain.
	Distance time.Duration
}

// groupState is what one host knows of one group.
type groupState struct {
	spec     GroupSpec
	inFlight int
	report   Report
	// reportedAt is when report was received; zero before the first.
	reportedAt time.Time
	// sentSince counts this host's requests since report.
	sentSince int
	// suspendedUntil ends a pause after the owner could not be reached.
	suspendedUntil time.Time
	// unreached is true from then until the owner answers; one request at a
	// time tries it meanwhile.
	unreached bool
}

// Chooser picks a group of one pool for each request. It is not safe for
// concurrent use; its owner keeps one a pool under a lock.
type Chooser struct {
	groups []*groupState
	rng    *rand.Rand
}

// NewChooser returns a chooser without groups.
func NewChooser(seed uint64) *Chooser {
	return &Chooser{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Update sets the groups; what is known of those that stay is kept.
func (c *Chooser) Update(specs []GroupSpec) {
	next := make([]*groupState, 0, len(specs))
	for _, spec := range specs {
		state := c.find(spec.Group)
		if state == nil {
			state = &groupState{}
		}
		state.spec = spec
		next = append(next, state)
	}
	c.groups = next
}

// Pick chooses a group for a request and counts it as in flight. Groups in
// exclude are passed over, as are groups without slots and groups whose owner
// could not be reached a moment ago. ok is false when none is left.
//
// Every host knows about the same, and all of it is old by the time of use: if
// each sent its requests to the group that seems best, the group would be
// flooded until news of that came round. Pick therefore draws among the
// groups, such that the requests which all hosts send within the age of what
// is known fill the groups up to one level.
func (c *Chooser) Pick(now time.Time, exclude []Group) (g Group, ok bool) {
	open := lo.Filter(c.groups, func(s *groupState, _ int) bool {
		return s.open(now) && !slices.Contains(exclude, s.spec.Group)
	})
	if len(open) == 0 {
		return Group{}, false
	}
	chosen := open[c.draw(c.shares(now, open))]
	chosen.inFlight++
	chosen.sentSince++
	if chosen.unreached {
		chosen.suspendedUntil = now.Add(suspendFor)
	}
	return chosen.spec.Group, true
}

// Open reports whether Pick would find a group.
func (c *Chooser) Open(now time.Time) bool {
	return slices.ContainsFunc(c.groups, func(s *groupState) bool { return s.open(now) })
}

// shares returns the part of the coming requests that each group should get.
func (c *Chooser) shares(now time.Time, open []*groupState) []float64 {
	mean := c.mean(now)
	levels := make([]level, len(open))
	var rate, age, slots float64
	for i, s := range open {
		slow := s.slowness(now, mean)
		levels[i] = level{load: s.load(now, mean) * slow, slots: float64(s.slots()) / slow}
		rate += s.throughput(mean)
		age += s.age(now).Seconds() * levels[i].slots
		slots += levels[i].slots
	}
	coming := max(1, rate*age/slots)
	return fill(levels, coming)
}

// draw returns an index with the probability of its share.
func (c *Chooser) draw(shares []float64) int {
	at := c.rng.Float64()
	for i, share := range shares {
		if at < share {
			return i
		}
		at -= share
	}
	return len(shares) - 1
}

// Done ends a request that Pick counted.
func (c *Chooser) Done(g Group) {
	if state := c.find(g); state != nil && state.inFlight > 0 {
		state.inFlight--
	}
}

// Learn takes in a report that rode on an answer; impossible figures are
// dropped and false is returned.
func (c *Chooser) Learn(now time.Time, g Group, r Report) bool {
	state := c.find(g)
	if state == nil || !r.Valid() {
		return false
	}
	r.Service = cmp.Or(r.Service, initialService)
	state.report, state.reportedAt, state.sentSince = r, now, 0
	return true
}

// Unreachable passes over a group for a moment after its owner could not be
// reached. Then one request at a time tries it, until Reached.
func (c *Chooser) Unreachable(now time.Time, g Group) {
	if state := c.find(g); state != nil {
		state.suspendedUntil, state.unreached = now.Add(suspendFor), true
	}
}

// Reached ends the caution that Unreachable began.
func (c *Chooser) Reached(g Group) {
	if state := c.find(g); state != nil && state.unreached {
		state.unreached, state.suspendedUntil = false, time.Time{}
	}
}

func (c *Chooser) find(g Group) *groupState {
	i := slices.IndexFunc(c.groups, func(s *groupState) bool { return s.spec.Group == g })
	if i < 0 {
		return nil
	}
	return c.groups[i]
}

// average is what is expected of a group whose own report says little.
type average struct {
	// load is requests a slot.
	load float64
	// service is in seconds.
	service float64
}

// mean averages over the groups that have reported, by the weight of their
// reports; a group whose report has aged is taken to be like the average.
func (c *Chooser) mean(now time.Time) average {
	var sum average
	var weight float64
	for _, s := range c.groups {
		w := s.weight(now)
		if w == 0 || s.spec.Slots == 0 {
			continue
		}
		sum.load += w * s.reportedLoad()
		sum.service += w * s.report.Service.Seconds()
		weight += w
	}
	if weight == 0 {
		return average{service: initialService.Seconds()}
	}
	return average{load: sum.load / weight, service: sum.service / weight}
}

func (s *groupState) open(now time.Time) bool {
	if s.spec.Slots == 0 || now.Before(s.suspendedUntil) {
		return false
	}
	return s.reportedAt.IsZero() || s.report.Slots > 0 || s.weight(now) < 0.5
}

// weight is that of the report by its age, from 1 down to 0.
func (s *groupState) weight(now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return 0
	}
	age := max(0, now.Sub(s.reportedAt))
	return math.Exp2(-float64(age) / float64(reportHalfLife))
}

func (s *groupState) slots() int {
	if s.report.Slots > 0 {
		return s.report.Slots
	}
	return s.spec.Slots
}

// reportedLoad is the reported backlog a slot.
func (s *groupState) reportedLoad() float64 {
	return float64(s.report.Backlog) / float64(max(1, s.slots()))
}

// load estimates the requests a slot at the group's owner now. The way there
// counts as the load whose service would take as long. A group that has never
// reported is taken to be free but for this host's own requests.
func (s *groupState) load(now time.Time, mean average) float64 {
	slots := float64(s.slots())
	load, service := 0.0, mean.service
	if !s.reportedAt.IsZero() {
		w := s.weight(now)
		load = w*s.reportedLoad() + (1-w)*mean.load
		service = w*s.report.Service.Seconds() + (1-w)*mean.service
	}
	load += float64(s.sentSince) / slots
	// The host's own requests in flight are a lower bound of the load.
	load = max(load, float64(s.inFlight)/slots)
	return load + 2*s.spec.Distance.Seconds()/service
}

// slowness is the group's service time over the average; small differences
// are taken for chance.
func (s *groupState) slowness(now time.Time, mean average) float64 {
	if s.reportedAt.IsZero() || mean.service <= 0 {
		return 1
	}
	ratio := 1 + s.weight(now)*(s.report.Service.Seconds()/mean.service-1)
	if ratio < slowTolerance && ratio > 1/slowTolerance {
		return 1
	}
	return ratio
}

// throughput estimates the requests a second that the group ends.
func (s *groupState) throughput(mean average) float64 {
	if s.reportedAt.IsZero() {
		return 0
	}
	return min(s.reportedLoad(), 1) * float64(s.slots()) / mean.service
}

// age is the time since the group's report, at most maxAge.
func (s *groupState) age(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return 0
	}
	return min(max(0, now.Sub(s.reportedAt)), maxAge)
}
