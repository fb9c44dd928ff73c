package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/roster"
)

// leaseHost is one host of a simulated fleet.
type leaseHost struct {
	name    string
	ballots *ballots
	lease   *lease
	limiter *backpressure.Limiter
	// side is the part of a split network that the host is in; a paused host does
	// nothing until pausedUntil.
	side        int
	pausedUntil time.Time
	nextRenewal time.Time
}

func (h *leaseHost) restart(now time.Time, perSecond, phase float64) {
	h.ballots, h.lease = newBallots(now), &lease{votes: map[string]time.Time{}}
	h.limiter = backpressure.NewLimiter(now, perSecond, phase)
}

// TestRateLimitHoldsThroughHandOversRestartsAndSplits guards against two holders
// of one lease, and against hosts that together exceed a limit while the lease
// moves between them. Every host always has requests to send.
func TestRateLimitHoldsThroughHandOversRestartsAndSplits(t *testing.T) {
	const step, length, window = 20 * time.Millisecond, 12 * time.Second, 4 * time.Second
	task := Task("p", 1)
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		perSecond := rapid.Float64Range(0.5, 40).Draw(t, "limit")
		began := time.Unix(1_800_000_000, 0)
		// Each kind of event comes about once in so many steps.
		every := rapid.SampledFrom([]int{8, 25, 200, 10_000})
		restarts, splits, pauses := every.Draw(t, "restarts"), every.Draw(t, "splits"), every.Draw(t, "pauses")
		hosts := lo.Times(rapid.SampledFrom([]int{1, 2, 3, 4, 5, 18, 40}).Draw(t, "hosts"), func(i int) *leaseHost {
			h := &leaseHost{name: fmt.Sprint("h", i)}
			h.restart(began, perSecond, rng.Float64())
			return h
		})
		r := roster.New(roster.Host{Name: "h0", Strength: 1})
		r.SetHosts(lo.Map(hosts, func(h *leaseHost, _ int) roster.Host { return roster.Host{Name: h.name, Strength: 1} }))
		witnesses := witnessesOf(r, task)
		byName := lo.KeyBy(hosts, func(h *leaseHost) string { return h.name })
		var sent []time.Time
		for now := began; now.Before(began.Add(length)); now = now.Add(step) {
			h := byName[witnesses[rng.IntN(len(witnesses))].Name]
			if rng.IntN(restarts) == 0 {
				// After a restart the host knows nothing.
				h.pausedUntil = now.Add(200 * time.Millisecond)
				h.restart(h.pausedUntil, perSecond, rng.Float64())
			}
			if rng.IntN(splits) == 0 {
				h.side = rng.IntN(2)
			}
			if rng.IntN(pauses) == 0 {
				h.pausedUntil = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			}
			holders := 0
			for _, h := range hosts {
				if now.Before(h.pausedUntil) {
					continue
				}
				if !now.Before(h.nextRenewal) && lo.ContainsBy(witnesses, func(w roster.Host) bool { return w.Name == h.name }) {
					h.nextRenewal = now.Add(leaseRenewInterval/2 + time.Duration(rng.Int64N(int64(leaseRenewInterval))))
					for _, w := range witnesses {
						voter := byName[w.Name]
						if voter.side == h.side && !now.Before(voter.pausedUntil) && voter.ballots.vote(now, task, h.name) {
							h.lease.record(w.Name, now)
						}
					}
				}
				role := backpressure.Role{HeldSince: h.lease.check(now, witnesses), Hosts: len(hosts)}
				if !role.HeldSince.IsZero() {
					holders++
				}
				for h.limiter.Wait(now, role) == 0 {
					h.limiter.Take(now, role)
					sent = append(sent, now)
				}
			}
			g.Expect(holders).To(BeNumerically("<=", 1), "holders of the lease at one time")
		}
		for i, from := range sent {
			n := lo.CountBy(sent[i:], func(at time.Time) bool { return at.Sub(from) < window })
			g.Expect(float64(n)).To(BeNumerically("<=", 1.5*perSecond*window.Seconds()+5), "requests in 4 s from %s on", from.Sub(began))
		}
	})
}

// TestLeaseGoesToAnotherHostWhenItsHolderIsLost guards against limited targets
// that get next to nothing after the loss of the holder and of one more witness.
func TestLeaseGoesToAnotherHostWhenItsHolderIsLost(t *testing.T) {
	g := NewWithT(t)
	task, began := Task("p", 1), time.Unix(1_800_000_000, 0)
	r := roster.New(roster.Host{Name: "h0", Strength: 1})
	r.SetHosts(lo.Times(18, func(i int) roster.Host { return roster.Host{Name: fmt.Sprint("h", i), Strength: 1} }))
	witnesses := witnessesOf(r, task)
	g.Expect(witnesses).To(HaveLen(maxWitnesses))
	voters := lo.Map(witnesses, func(roster.Host, int) *ballots { return newBallots(began) })
	ask := func(now time.Time, l *lease, candidate string, alive []int) time.Time {
		for _, i := range alive {
			if voters[i].vote(now, task, candidate) {
				l.record(witnesses[i].Name, now)
			}
		}
		return l.check(now, witnesses)
	}
	first, second := &lease{votes: map[string]time.Time{}}, &lease{votes: map[string]time.Time{}}
	now := began.Add(leaseDuration)
	g.Expect(ask(now.Add(-time.Millisecond), first, "first", []int{0, 1, 2, 3, 4, 5, 6}).IsZero()).To(BeTrue(), "restarted witnesses don't vote")
	g.Expect(ask(now, first, "first", []int{0, 1, 2, 3, 4, 5, 6})).To(Equal(now))
	alive := []int{2, 3, 4, 5, 6}
	g.Expect(ask(now.Add(leaseUse), second, "second", alive).IsZero()).To(BeTrue(), "the first votes still bind")
	g.Expect(first.check(now.Add(leaseUse), witnesses).IsZero()).To(BeTrue(), "the lease ends before the votes do")
	g.Expect(ask(now.Add(leaseDuration), second, "second", alive).IsZero()).To(BeFalse())
}

// TestHostListsThatDifferAllowOneHolder guards against two holders while a host
// has joined or left and not all hosts know it.
func TestHostListsThatDifferAllowOneHolder(t *testing.T) {
	g := NewWithT(t)
	for n := 1; n <= maxWitnesses; n++ {
		different := lo.Ternary(n == maxWitnesses, 2, 0)
		g.Expect(2*quorum(n)).To(BeNumerically(">", n+different), "of %d witnesses", n)
		g.Expect(quorum(n)).To(BeNumerically("<=", n))
	}
}
