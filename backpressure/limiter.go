package backpressure

import (
	"math"
	"time"
)

const (
	// holderShare is the part of a rate limit that the host with the lease of the
	// target's partition may use; all hosts share the rest for requests that they
	// place without it.
	holderShare = 0.9
	// burstPeriod is the time whose requests the holder may send at once.
	burstPeriod = 500 * time.Millisecond
	// permitLifetime is how long a host may use each permit of its part of the
	// rest: permits that were saved up by many hosts could be used together.
	permitLifetime = 500 * time.Millisecond
	// minPerSecond is the least rate that a target is sent, so that the end of its
	// limit is heard.
	minPerSecond = 0.05
	// maxWait bounds a computed wait.
	maxWait = time.Hour
)

// Role is a host's part in the rate limits of a partition's targets.
type Role struct {
	// HeldSince is when this host acquired the lease of the partition; zero when
	// it doesn't hold it.
	HeldSince time.Time
	// Hosts is the number of hosts that share the part without the lease.
	Hosts int
}

// Limiter decides when one host may send to one target with a rate limit, so that
// all hosts together keep it. The holder of the lease has a token bucket that is
// empty when it acquires the lease, so that the bucket of the previous holder and
// its own together don't exceed the rate. Every other host has a permit at a
// random moment of each period, whatever the others do. It is not safe for
// concurrent use.
type Limiter struct {
	perSecond float64
	// tokens is the content of the bucket as of filledAt.
	tokens   float64
	filledAt time.Time
	// phase is the random start of this host's periods, as a fraction of one; usedAt
	// is when the last permit was used, or the creation: there is none in the
	// lifetime of one after that.
	phase             float64
	createdAt, usedAt time.Time
}

// NewLimiter returns a limiter without tokens; phase is a random number from 0
// to 1.
func NewLimiter(now time.Time, perSecond, phase float64) *Limiter {
	return &Limiter{perSecond: max(perSecond, minPerSecond), filledAt: now, createdAt: now, usedAt: now, phase: phase}
}

// SetRate changes the limit; tokens that were earned before remain, up to the
// burst of the new limit.
func (l *Limiter) SetRate(now time.Time, role Role, perSecond float64) {
	l.fill(now, role)
	l.perSecond = max(perSecond, minPerSecond)
	l.fill(now, role)
}

// fill adds the tokens earned since the last call.
func (l *Limiter) fill(now time.Time, role Role) {
	rate := l.perSecond * holderShare
	if role.HeldSince.After(l.filledAt) {
		l.tokens, l.filledAt = 0, role.HeldSince
	}
	earned := max(now.Sub(l.filledAt).Seconds(), 0) * rate
	l.tokens = min(l.tokens+earned, max(rate*burstPeriod.Seconds(), 1))
	l.filledAt = now
}

// Wait returns the time until a request may be sent, 0 when it may be sent now.
func (l *Limiter) Wait(now time.Time, role Role) time.Duration {
	if !role.HeldSince.IsZero() {
		l.fill(now, role)
		return max(seconds((1-l.tokens)/(l.perSecond*holderShare)), 0)
	}
	since, length := l.period(now, role)
	if lifetime := min(permitLifetime, length); since < lifetime && now.Sub(l.usedAt) > lifetime {
		return 0
	}
	return length - since
}

// Take uses up one request; Wait must have returned 0 for the same moment.
func (l *Limiter) Take(now time.Time, role Role) {
	if !role.HeldSince.IsZero() {
		l.tokens--
		return
	}
	l.usedAt = now
}

// period returns the time since the start of the period that a host without the
// lease is in, and the period's length.
func (l *Limiter) period(now time.Time, role Role) (since, length time.Duration) {
	length = seconds(float64(max(role.Hosts, 1)) / (l.perSecond * (1 - holderShare)))
	position := now.Sub(l.createdAt).Seconds()/length.Seconds() + l.phase
	return seconds((position - math.Floor(position)) * length.Seconds()), length
}

// PerSecond returns the limit of all hosts together, in requests a second.
func (l *Limiter) PerSecond() float64 { return l.perSecond }

// Rate returns the requests a second that a host with this role may send in the
// long run.
func (l *Limiter) Rate(role Role) float64 {
	if !role.HeldSince.IsZero() {
		return l.perSecond * holderShare
	}
	return l.perSecond * (1 - holderShare) / float64(max(role.Hosts, 1))
}

// seconds converts seconds to a duration of at most maxWait.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}
