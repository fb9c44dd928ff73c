package balance

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/registry"
)

const (
	// provisionalPerSecond is the highest rate used by an owner that isn't certain
	// to be the only one. Two such owners send 5.6 requests in one second, which
	// the constant part of the guarantee (8) covers.
	provisionalPerSecond = 2
	// maxUnreadTime is the longest time for which a target is limited only because
	// its warm-up hasn't been read. A target that answers no probe would otherwise
	// stay limited.
	maxUnreadTime = 10 * time.Second
	// warmupReadInterval is the least time between two readings of a target's
	// warm-up that this host asks for.
	warmupReadInterval = 250 * time.Millisecond
	// minWarmupChange is the least extension of a warm-up that is counted and
	// logged: ends that are computed from several responses differ by the time
	// that these take.
	minWarmupChange = 500 * time.Millisecond
)

// WarmupRole is this host's part in the warm-up rates of the targets of a group.
type WarmupRole struct {
	backpressure.Role
	// Confirmed is true when no other host can hold the owner's part.
	Confirmed bool
}

// WarmupRoles gives the roles of this host. It is called with locks held and must
// not call the Balancer.
type WarmupRoles interface {
	WarmupRole(now time.Time, pool, failureDomain string) WarmupRole
}

// WarmupSpec describes the warm-up rate of a pool's targets.
type WarmupSpec struct {
	// Pool is the name of the pool; PoolSpecs of groups name the pool too.
	Pool string
	// PerSecond is the number of requests a second that a cold target takes from
	// all hosts together; 0 sets no limit.
	PerSecond float64
	// Owned is true when only owners send to the targets as a rule.
	Owned bool
	// Probed is true when probes can read the targets' warm-ups.
	Probed bool
}

// coldTarget decides about the requests to one target of a pool with a warm-up rate.
// The entries of the pool and of its group share it. It does no I/O and reads no clock.
type coldTarget struct {
	addr  netip.AddrPort
	roles WarmupRoles
	book  *backpressure.Book
	// phase is the random position of this host's permits within a period.
	phase float64

	mu            sync.Mutex
	spec          WarmupSpec
	failureDomain string
	// end is the end of the warm-up that the target reported, unreadSince when it
	// became unknown whether the target is cold; zero when that is known.
	end, unreadSince time.Time
	// foundAtStart is true when the target is unread because this host has just
	// learned of its pool. The owner reads it within one probe interval. A host whose
	// pool has no owners may have to wait for its lease, and treats the target as warm
	// until then: it would refuse most requests otherwise.
	foundAtStart bool
	// readAt is when the last response that was read had been requested.
	readAt  time.Time
	limiter *backpressure.Limiter
}

func (c *coldTarget) instance() registry.Instance { return registry.Instance{ID: c.addr.String()} }

// limitNow returns the limit in force and this host's role, and brings the limiter in
// line with them. The caller holds the lock.
func (c *coldTarget) limitNow(now time.Time) (limit backpressure.Limit, role WarmupRole) {
	unread := !c.unreadSince.IsZero() && now.Sub(c.unreadSince) < maxUnreadTime
	if !now.Before(c.end) && !unread {
		c.limiter = nil
		return backpressure.Limit{}, role
	}
	role = c.roles.WarmupRole(now, c.spec.Pool, c.failureDomain)
	owner := !role.HeldSince.IsZero()
	if !now.Before(c.end) && c.foundAtStart && !owner && !c.spec.Owned {
		c.limiter = nil
		return backpressure.Limit{}, role
	}
	limit = backpressure.Limit{PerSecond: c.spec.PerSecond, Reason: backpressure.Warmup}
	if owner && !role.Confirmed {
		limit.PerSecond = min(limit.PerSecond, provisionalPerSecond)
	}
	switch {
	case c.limiter == nil:
		c.limiter = backpressure.NewLimiter(now, limit.PerSecond, c.phase)
	case c.limiter.PerSecond() != limit.PerSecond:
		c.limiter.SetRate(now, role.Role, limit.PerSecond)
	}
	return limit, role
}

// permits reports whether the target takes a request from this host now. One that is
// behind others takes no permit.
func (c *coldTarget) permits(now time.Time, behindOthers bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, role := c.limitNow(now)
	return c.limiter == nil || !behindOthers && c.limiter.Wait(now, role.Role) == 0
}

// take uses a permit; false when there is none.
func (c *coldTarget) take(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, role := c.limitNow(now)
	if c.limiter == nil {
		return true
	}
	if c.limiter.Wait(now, role.Role) > 0 {
		return false
	}
	c.limiter.Take(now, role.Role)
	return true
}

// supply returns what the target takes from this host; ok is false when it has no
// limit.
func (c *coldTarget) supply(now time.Time) (s permitSupply, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, role := c.limitNow(now)
	if c.limiter == nil {
		return permitSupply{}, false
	}
	s = permitSupply{next: c.limiter.Wait(now, role.Role), warm: c.end.Sub(now), perSecond: c.limiter.Rate(role.Role)}
	if !c.unreadSince.IsZero() {
		s.warm = max(s.warm, c.unreadSince.Add(maxUnreadTime).Sub(now))
	}
	return s, true
}

// status returns the limit in force and the rest of the warm-up that the target
// reported.
func (c *coldTarget) status(now time.Time) (limit backpressure.Limit, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, _ = c.limitNow(now)
	return limit, max(c.end.Sub(now), 0)
}

// markUnread records that the target may have become cold unnoticed.
func (c *coldTarget) markUnread(now time.Time, atStart bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.spec.Probed {
		c.unreadSince, c.foundAtStart = now, atStart
	}
}

// readingDue reports whether a load or health response of the target is needed.
func (c *coldTarget) readingDue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unreadSince.IsZero() || now.Sub(c.readAt) >= warmupReadInterval
}

// reading is what a load or health response changed of a target.
type reading struct {
	// firstRead is true when it was unknown whether the target is cold, extended when
	// its warm-up ends clearly later than was known.
	firstRead, extended bool
	spec                WarmupSpec
}

// read records a load or health response that was requested at sent and received
// now, with the rest of the warm-up that it states.
func (c *coldTarget) read(sent, now time.Time, left time.Duration) reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := reading{spec: c.spec}
	if !c.unreadSince.IsZero() && !sent.Before(c.unreadSince) {
		c.unreadSince, r.firstRead = time.Time{}, true
	}
	c.readAt = sent
	until := now.Add(left)
	if left <= 0 || !c.book.ExtendWarmup(now, c.instance(), until) {
		return r
	}
	known := lo.Ternary(c.end.After(now), c.end, now)
	c.end, r.extended = until, until.Sub(known) >= minWarmupChange
	return r
}

// endWarmup reports whether the warm-up that the target reported has ended since the
// last call.
func (c *coldTarget) endWarmup(now time.Time) (ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limitNow(now)
	if c.end.IsZero() || now.Before(c.end) {
		return false
	}
	c.end = time.Time{}
	return true
}

// coldTargets are the targets of pools with a warm-up rate, by address.
type coldTargets struct {
	roles WarmupRoles
	book  *backpressure.Book

	mu      sync.Mutex
	targets map[netip.AddrPort]*coldTarget
}

// soleOwner is the WarmupRoles of a host that shares its targets with no other.
type soleOwner struct{}

func (soleOwner) WarmupRole(time.Time, string, string) WarmupRole {
	return WarmupRole{Role: backpressure.Role{HeldSince: time.Unix(0, 0), Hosts: 1}, Confirmed: true}
}

func newColdTargets(roles WarmupRoles) *coldTargets {
	if roles == nil {
		roles = soleOwner{}
	}
	return &coldTargets{roles: roles, book: backpressure.NewBook(), targets: map[netip.AddrPort]*coldTarget{}}
}

// targetSpec is a target with the warm-up rate of its pools: the lowest of their rates,
// and the role of the first pool by name, on all hosts alike.
type targetSpec struct {
	WarmupSpec
	failureDomain string
}

func targetSpecs(pools map[string]PoolSpec) map[netip.AddrPort]targetSpec {
	specs := map[netip.AddrPort]targetSpec{}
	for _, p := range pools {
		if p.Warmup.PerSecond <= 0 {
			continue
		}
		for _, t := range p.Targets {
			next := targetSpec{p.Warmup, t.FailureDomain}
			if s, ok := specs[t.Addr]; ok {
				next.Pool, next.PerSecond, next.Probed = min(s.Pool, next.Pool), min(s.PerSecond, next.PerSecond), s.Probed || next.Probed
				next.Owned = s.Owned && next.Owned
			}
			specs[t.Addr] = next
		}
	}
	return specs
}

// update replaces the targets and keeps the state of those that remain.
func (s *coldTargets) update(now time.Time, pools map[string]PoolSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	knownPools := map[string]bool{}
	for _, c := range s.targets {
		knownPools[c.spec.Pool] = true
	}
	next := map[netip.AddrPort]*coldTarget{}
	for addr, spec := range targetSpecs(pools) {
		c, known := s.targets[addr]
		if !known {
			c = &coldTarget{addr: addr, roles: s.roles, book: s.book, phase: rand.Float64()}
			c.end = s.book.WarmupEnd(c.instance())
		}
		c.mu.Lock()
		c.spec, c.failureDomain = spec.WarmupSpec, spec.failureDomain
		c.mu.Unlock()
		if !known {
			c.markUnread(now, !knownPools[spec.Pool])
		}
		next[addr] = c
	}
	s.targets = next
}

// find returns a target, nil when none of its pools has a warm-up rate.
func (s *coldTargets) find(addr netip.AddrPort) *coldTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[addr]
}

func (s *coldTargets) all() []*coldTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Values(s.targets)
}

const (
	// maxPermitWaitShare is the part of a request's remaining time, and
	// maxPermitWait the time, that it may be expected to wait for a permit: a caller
	// that is refused early has time to try again.
	maxPermitWaitShare = 0.25
	maxPermitWait      = time.Second
	// maxWarmupRetryAfter bounds the Retry-After of a refusal.
	maxWarmupRetryAfter = 30 * time.Second
)

// permitQueue estimates when a pool whose usable targets are all cold takes one more
// request. It does no I/O and reads no clock.
type permitQueue struct {
	// waiters are the tickets of the requests that wait for a permit, in the order in
	// which they get one; lastTicket is the last one given.
	waiters    []uint64
	lastTicket uint64
	// refused is the number of refused requests that are expected to come back, as of
	// countedAt. It falls with the rate of permits.
	refused   float64
	countedAt time.Time
}

// permitSupply is what the cold targets of a pool take from this host.
type permitSupply struct {
	// next is the time until the first permit, warm that until the first limit ends.
	next, warm time.Duration
	perSecond  float64
}

// enter adds a request to the end of the queue.
func (q *permitQueue) enter() (ticket uint64) {
	q.lastTicket++
	q.waiters = append(q.waiters, q.lastTicket)
	return q.lastTicket
}

// leave removes a request from the queue; a ticket of 0 stands for none.
func (q *permitQueue) leave(ticket uint64) {
	q.waiters = slices.DeleteFunc(q.waiters, func(t uint64) bool { return t == ticket })
}

// ahead returns the number of requests that get a permit before one with a ticket, 0
// for a request that doesn't wait yet. Requests that have just arrived would otherwise
// take every permit before those that wait.
func (q *permitQueue) ahead(ticket uint64) int {
	if i := slices.Index(q.waiters, ticket); i >= 0 {
		return i
	}
	return len(q.waiters)
}

// decide returns the expected wait of a request with that many before it, and whether it
// is refused; left is its remaining time. A refused request is counted as coming back.
func (q *permitQueue) decide(now time.Time, s permitSupply, ahead int, left time.Duration) (wait time.Duration, refused bool) {
	q.refused = max(q.refused-max(now.Sub(q.countedAt).Seconds(), 0)*s.perSecond, 0)
	q.countedAt = now
	wait = q.expected(s, float64(ahead))
	if wait <= min(time.Duration(maxPermitWaitShare*float64(left)), maxPermitWait) {
		return wait, false
	}
	wait = q.expected(s, float64(ahead)+q.refused)
	q.refused++
	return wait, true
}

// expected returns the time until a permit for a request with that many before it.
func (*permitQueue) expected(s permitSupply, ahead float64) time.Duration {
	turn := min(ahead/max(s.perSecond, math.SmallestNonzeroFloat32), maxWarmupRetryAfter.Seconds())
	return min(s.next+time.Duration(turn*float64(time.Second)), max(s.warm, 0), maxWarmupRetryAfter)
}
