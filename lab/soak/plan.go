package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of disturbance.
type Kind string

// The kinds of disturbance.
const (
	HostStop      Kind = "host-stop"
	HostKill      Kind = "host-kill"
	HostPause     Kind = "host-pause"
	HostReload    Kind = "host-reload"
	AllKill       Kind = "all-kill"
	StoreRefuse   Kind = "store-refuse"
	StoreSilent   Kind = "store-silent"
	StoreReset    Kind = "store-reset"
	StoreLose     Kind = "store-lose"
	StoreForget   Kind = "store-forget"
	LinkSilent    Kind = "link-silent"
	LinkOneWay    Kind = "link-one-way"
	LinkSlow      Kind = "link-slow"
	LinkReset     Kind = "link-reset"
	Crash         Kind = "upstream-crash"
	Replace       Kind = "upstream-replace"
	Reuse         Kind = "upstream-address-reuse"
	Leave         Kind = "upstream-leave"
	Vanish        Kind = "upstream-vanish"
	LoseAnswers   Kind = "answers-lost"
	ExtraAnswers  Kind = "answers-extra"
	CutShort      Kind = "answers-cut-short"
	Refusals      Kind = "upstream-refuses"
	SlowWork      Kind = "upstream-slow"
	Sick          Kind = "health-lies"
	PathSilent    Kind = "path-silent"
	PathReset     Kind = "path-reset"
	Configuration Kind = "configuration"
	Garbage       Kind = "garbage-entry"

	// stalled is no fault of a plan: the machine itself stood still.
	stalled Kind = "machine-stall"
)

// kinds are the kinds that a plan draws from; what the promises turn on most
// stands more than once.
var kinds = []Kind{
	HostStop, HostStop, HostStop, HostKill, HostKill, HostPause, HostPause, HostReload, AllKill,
	StoreRefuse, StoreSilent, StoreReset, StoreLose, StoreForget,
	LinkSilent, LinkOneWay, LinkSlow, LinkReset,
	Crash, Replace, Reuse, Leave, Leave, Leave, Vanish,
	LoseAnswers, ExtraAnswers, CutShort, Refusals, SlowWork, Sick, PathSilent, PathReset,
	Configuration, Configuration, Configuration, Garbage,
}

// planned are the kinds that are announced: no request may be lost by them,
// and every bound holds while they come.
var planned = []Kind{
	HostStop, HostStop, HostStop, HostReload, Leave, Leave, Vanish, Configuration, Configuration, Garbage,
}

// kindsOf are the kinds of a seed: every other one has planned work alone, since
// few bounds hold in the midst of faults.
func kindsOf(seed uint64) []Kind {
	if seed%2 == 0 {
		return planned
	}
	return kinds
}

// Event is one disturbance of a plan.
type Event struct {
	At   time.Duration
	Kind Kind
	// For is how long it lasts, where it does.
	For time.Duration
	// Which draws the host or upstream that it strikes.
	Which int
}

// String tells the event in one line.
func (e Event) String() string {
	return fmt.Sprintf("%6.2fs %s for %v (%d)", e.At.Seconds(), e.Kind, e.For.Round(time.Millisecond), e.Which)
}

const (
	// warmUp is the time before the first disturbance: a start of all hosts.
	warmUp = 3 * time.Second
	// coolDown is the time after the last one: the promise that a system
	// recovers within bounds.recover is judged in it.
	coolDown = 6 * time.Second
	// shortest and longest bound how long a disturbance lasts.
	shortest = 300 * time.Millisecond
	longest  = 5 * time.Second
	// seriesMost is the number of disturbances that follow each other at once.
	seriesMost = 4
)

// Draw draws a plan: series of disturbances that overlap, and calm times.
func Draw(seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, seed))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	kinds := kindsOf(seed)
	var plan []Event
	for at := warmUp; at < length-coolDown; at += between(200*time.Millisecond, 2*time.Second) {
		kind := kinds[rng.IntN(len(kinds))]
		for i := range 1 + rng.IntN(seriesMost) {
			if i > 0 && rng.IntN(2) == 0 {
				kind = kinds[rng.IntN(len(kinds))]
			}
			plan = append(plan, Event{
				At: at + time.Duration(i)*between(50*time.Millisecond, 700*time.Millisecond), Kind: kind,
				For: between(shortest, longest), Which: rng.IntN(1 << 16),
			})
		}
	}
	plan = slices.DeleteFunc(plan, func(e Event) bool { return e.At+e.For > length-coolDown })
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.At - b.At) })
	return plan
}
