package owner

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Parameters of the selection.
const (
	// reportHalfLife is the age at which a load report has lost half of its
	// weight.
	reportHalfLife = 200 * time.Millisecond
	// maxReportAge bounds the report age from which the expected arrivals are
	// computed.
	maxReportAge = time.Second
	// slowTolerance is the ratio of a group's service time to the average from
	// which the group counts as slower, and its inverse that from which the
	// group counts as faster.
	slowTolerance = 1.5
	// initialServiceTime is the service time of a group without samples.
	initialServiceTime = 10 * time.Millisecond
	// unreachableBackoff is how long a group is skipped after its owner could
	// not be reached.
	unreachableBackoff = time.Second
)

// GroupLoad is the load that an owner reports for one of its groups.
type GroupLoad struct {
	// Backlog is the number of requests in flight and queued at the owner.
	Backlog int
	// Slots is the number of slots of those targets of the group that accept new
	// requests.
	Slots int
	// ServiceTime is the moving average of the time that a target takes for one
	// request; 0 means unknown.
	ServiceTime time.Duration
}

// Valid reports whether all values are within their bounds.
func (r GroupLoad) Valid() bool {
	return r.Backlog >= 0 && r.Slots >= 0 && r.ServiceTime >= 0 &&
		r.Backlog <= maxBacklog && r.Slots <= maxSlots && r.ServiceTime <= maxServiceTime
}

// The upper bounds of a valid GroupLoad.
const (
	maxBacklog     = 1 << 20
	maxSlots       = 1 << 16
	maxServiceTime = time.Hour
)

// GroupSpec describes a group to a Chooser.
type GroupSpec struct {
	Group Group
	// Slots is the total number of slots of the group's targets.
	Slots int
	// NetworkDelay is the one-way delay to the group's targets through its
	// owner.
	NetworkDelay time.Duration
}

// groupState is the state of one group as seen by this host.
type groupState struct {
	spec     GroupSpec
	inFlight int
	report   GroupLoad
	// reportedAt is the time when report was received; zero before the first.
	reportedAt time.Time
	// sentSinceReport counts the requests that this host has sent since report.
	sentSinceReport int
	// backoffUntil is the end of the time in which the group is skipped because
	// its owner could not be reached.
	backoffUntil time.Time
	// unreachable is true from a failed connection until the owner responds.
	// Meanwhile one request per unreachableBackoff tries the owner.
	unreachable bool
}

// Chooser selects a group of one pool for each request. It is not safe for
// concurrent use; the caller has to hold a lock.
type Chooser struct {
	groups []*groupState
	rng    *rand.Rand
}

// NewChooser returns a Chooser without groups. The seed makes its selections
// repeatable.
func NewChooser(seed uint64) *Chooser {
	return &Chooser{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Update replaces the groups and keeps the state of those that remain.
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

// Pick selects a group for a request and counts the request as in flight. It
// skips the groups in exclude, groups without slots and groups whose owner could
// recently not be reached. ok is false when no group is left.
//
// All hosts have nearly the same load reports, which are stale when they are
// used. If each host sent its requests to the least loaded group, that group
// would be overloaded until new reports arrive. Pick therefore draws a group at
// random, with probabilities such that the requests which all hosts send within
// the age of the reports raise the groups to an equal load.
func (c *Chooser) Pick(now time.Time, exclude []Group) (g Group, ok bool) {
	available := lo.Filter(c.groups, func(s *groupState, _ int) bool {
		return s.available(now) && !slices.Contains(exclude, s.spec.Group)
	})
	if len(available) == 0 {
		return Group{}, false
	}
	chosen := available[c.draw(c.shares(now, available))]
	chosen.inFlight++
	chosen.sentSinceReport++
	if chosen.unreachable {
		chosen.backoffUntil = now.Add(unreachableBackoff)
	}
	return chosen.spec.Group, true
}

// Available reports whether Pick would find a group.
func (c *Chooser) Available(now time.Time) bool {
	return slices.ContainsFunc(c.groups, func(s *groupState) bool { return s.available(now) })
}

// shares returns the share of the expected arrivals that each group should
// receive, where the expected arrivals are the requests that all hosts send
// within the age of the reports. The shares add up to 1.
func (c *Chooser) shares(now time.Time, available []*groupState) []float64 {
	mean := c.mean(now)
	bins := make([]bin, len(available))
	var rate, age, slots float64
	for i, s := range available {
		slowness := s.slowness(now, mean)
		bins[i] = bin{load: s.load(now, mean) * slowness, slots: float64(s.slots()) / slowness}
		rate += s.throughput(mean)
		age += s.age(now).Seconds() * bins[i].slots
		slots += bins[i].slots
	}
	arrivals := max(1, rate*age/slots)
	return waterFill(bins, arrivals)
}

// draw returns a random index, each with the probability of its share.
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

// Done ends a request that Pick counted as in flight.
func (c *Chooser) Done(g Group) {
	if state := c.find(g); state != nil && state.inFlight > 0 {
		state.inFlight--
	}
}

// RecordLoad records the load that the owner of a group reported on a response. It
// returns false, without recording it, when the group is unknown or the load is
// invalid.
func (c *Chooser) RecordLoad(now time.Time, g Group, r GroupLoad) bool {
	state := c.find(g)
	if state == nil || !r.Valid() {
		return false
	}
	r.ServiceTime = cmp.Or(r.ServiceTime, initialServiceTime)
	state.report, state.reportedAt, state.sentSinceReport = r, now, 0
	return true
}

// MarkUnreachable makes Pick skip a group for unreachableBackoff because its owner
// could not be reached. After that, Pick sends it one request per
// unreachableBackoff until MarkReachable is called.
func (c *Chooser) MarkUnreachable(now time.Time, g Group) {
	if state := c.find(g); state != nil {
		state.backoffUntil, state.unreachable = now.Add(unreachableBackoff), true
	}
}

// MarkReachable ends the effect of MarkUnreachable.
func (c *Chooser) MarkReachable(g Group) {
	if state := c.find(g); state != nil && state.unreachable {
		state.unreachable, state.backoffUntil = false, time.Time{}
	}
}

func (c *Chooser) find(g Group) *groupState {
	i := slices.IndexFunc(c.groups, func(s *groupState) bool { return s.spec.Group == g })
	if i < 0 {
		return nil
	}
	return c.groups[i]
}

// average is the expected state of a group whose own report is missing or stale.
type average struct {
	// load is the number of requests per slot.
	load float64
	// serviceTime is in seconds.
	serviceTime float64
}

// mean returns the average of the groups that have reported, weighted by the age
// of their reports. Groups with stale reports are assumed to be average.
func (c *Chooser) mean(now time.Time) average {
	var sum average
	var weight float64
	for _, s := range c.groups {
		w := s.weight(now)
		if w == 0 || s.spec.Slots == 0 {
			continue
		}
		sum.load += w * s.reportedLoad()
		sum.serviceTime += w * s.report.ServiceTime.Seconds()
		weight += w
	}
	if weight == 0 {
		return average{serviceTime: initialServiceTime.Seconds()}
	}
	return average{load: sum.load / weight, serviceTime: sum.serviceTime / weight}
}

// available reports whether Pick may select the group: it has slots and its
// backoff is over. A report of no slots excludes it for one reportHalfLife.
func (s *groupState) available(now time.Time) bool {
	if s.spec.Slots == 0 || now.Before(s.backoffUntil) {
		return false
	}
	return s.reportedAt.IsZero() || s.report.Slots > 0 || s.weight(now) < 0.5
}

// weight returns the weight of the group's report, which falls with its age from 1
// to 0.
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

// reportedLoad returns the reported backlog per slot.
func (s *groupState) reportedLoad() float64 {
	return float64(s.report.Backlog) / float64(max(1, s.slots()))
}

// load estimates the current number of requests per slot at the group's owner. The
// network round trip is added as the load that would take as long to serve. A group
// that has never reported is assumed to have no requests but this host's.
func (s *groupState) load(now time.Time, mean average) float64 {
	slots := float64(s.slots())
	load, serviceTime := 0.0, mean.serviceTime
	if !s.reportedAt.IsZero() {
		w := s.weight(now)
		load = w*s.reportedLoad() + (1-w)*mean.load
		serviceTime = w*s.report.ServiceTime.Seconds() + (1-w)*mean.serviceTime
	}
	load += float64(s.sentSinceReport) / slots
	// This host's own requests in flight are a lower bound of the load.
	load = max(load, float64(s.inFlight)/slots)
	return load + 2*s.spec.NetworkDelay.Seconds()/serviceTime
}

// slowness returns the ratio of the group's service time to the average, or 1 when
// the difference is within slowTolerance and may be noise.
func (s *groupState) slowness(now time.Time, mean average) float64 {
	if s.reportedAt.IsZero() || mean.serviceTime <= 0 {
		return 1
	}
	ratio := 1 + s.weight(now)*(s.report.ServiceTime.Seconds()/mean.serviceTime-1)
	if ratio < slowTolerance && ratio > 1/slowTolerance {
		return 1
	}
	return ratio
}

// throughput estimates the number of requests per second that the group completes,
// 0 when it has never reported.
func (s *groupState) throughput(mean average) float64 {
	if s.reportedAt.IsZero() {
		return 0
	}
	return min(s.reportedLoad(), 1) * float64(s.slots()) / mean.serviceTime
}

// age returns the time since the group's last report, at most maxReportAge, or 0
// when it has never reported.
func (s *groupState) age(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return 0
	}
	return min(max(0, now.Sub(s.reportedAt)), maxReportAge)
}
