package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of Event: a fault or a planned operation.
type Kind string

// The kinds of events. Their values are printed with the plan. Host kinds affect one
// host process and AllKill affects all; Store kinds are faults of the store itself, Link
// kinds of the connections between one host and the store. Upstream and Responses kinds
// are changes and faults of one upstream, Path kinds faults of the connections to it.
// HealthLies makes the health checks of an upstream fail while it serves requests.
// UpstreamLimits makes an upstream name a rate limit, UpstreamSaysLeaving makes it
// say that it leaves before it does, without an entry, and UpstreamRetryAfter makes
// it refuse requests with a Retry-After. StoreRestore replaces the store with an
// older copy. HostCut cuts hosts from all upstreams, CrashingRequest is a request that
// comes again and ends each upstream that runs it. UpstreamCold makes an upstream that
// runs cold, Evacuation takes the upstreams of a failure domain out of use for a time.
// KeyWithdrawal withdraws a key, KeyWithdrawalAtCut while hosts are cut off from the
// upstreams or from the store. Configuration writes the next configuration, GarbageEntry an invalid
// registry entry.
const (
	HostStop             Kind = "host-stop"
	HostKill             Kind = "host-kill"
	HostPause            Kind = "host-pause"
	HostReload           Kind = "host-reload"
	AllKill              Kind = "all-kill"
	StoreRefuse          Kind = "store-refuse"
	StoreSilent          Kind = "store-silent"
	StoreReset           Kind = "store-reset"
	StoreLose            Kind = "store-lose"
	StoreForget          Kind = "store-forget"
	StoreRestore         Kind = "store-restore"
	LinkSilent           Kind = "link-silent"
	LinkOneWay           Kind = "link-one-way"
	LinkSlow             Kind = "link-slow"
	LinkReset            Kind = "link-reset"
	UpstreamCrash        Kind = "upstream-crash"
	UpstreamReplace      Kind = "upstream-replace"
	UpstreamAddressReuse Kind = "upstream-address-reuse"
	UpstreamLeave        Kind = "upstream-leave"
	UpstreamVanish       Kind = "upstream-vanish"
	UpstreamSaysLeaving  Kind = "upstream-says-leaving"
	UpstreamLimits       Kind = "upstream-limits"
	UpstreamRetryAfter   Kind = "upstream-retry-after"
	ResponsesLost        Kind = "answers-lost"
	ResponsesExtra       Kind = "answers-extra"
	ResponsesCutShort    Kind = "answers-cut-short"
	ResponsesMalformed   Kind = "answers-malformed"
	UpstreamFailsRuns    Kind = "upstream-fails-runs"
	UpstreamRefuses      Kind = "upstream-refuses"
	UpstreamSlow         Kind = "upstream-slow"
	HealthLies           Kind = "health-lies"
	PathSilent           Kind = "path-silent"
	PathReset            Kind = "path-reset"
	Configuration        Kind = "configuration"
	GarbageEntry         Kind = "garbage-entry"
	HostCut              Kind = "host-cut"
	CrashingRequest      Kind = "crashing-request"
	UpstreamCold         Kind = "upstream-cold"
	Evacuation           Kind = "evacuation"
	KeyWithdrawal        Kind = "key-withdrawal"
	KeyWithdrawalAtCut   Kind = "key-withdrawal-at-cut"

	// machineStall is never planned: the machine itself was stalled, so that all
	// processes stood still.
	machineStall Kind = "machine-stall"
)

// allKinds are the kinds that the plan of an odd seed draws from. Kinds that test
// the guarantees most are listed several times, which makes them more frequent.
var allKinds = []Kind{
	HostStop, HostStop, HostStop, HostKill, HostKill, HostPause, HostPause, HostReload, AllKill,
	StoreRefuse, StoreSilent, StoreReset, StoreLose, StoreForget,
	LinkSilent, LinkOneWay, LinkSlow, LinkReset,
	UpstreamCrash, UpstreamReplace, UpstreamAddressReuse, UpstreamLeave, UpstreamLeave, UpstreamLeave, UpstreamVanish,
	ResponsesLost, ResponsesExtra, ResponsesCutShort, UpstreamRefuses, UpstreamSlow, HealthLies, PathSilent, PathReset,
	Configuration, Configuration, Configuration, GarbageEntry,
}

// addedKinds and addedPlannedKinds are drawn beside the others from addedSince on:
// the plans of lower seeds stay those that were recorded with their causes.
var (
	addedKinds = []Kind{
		StoreRestore, StoreRestore, UpstreamLimits, UpstreamLimits, UpstreamLimits, UpstreamSaysLeaving, UpstreamRetryAfter,
	}
	addedPlannedKinds = []Kind{UpstreamLimits, UpstreamLimits, UpstreamSaysLeaving}
)

// From cutAndCrashSince on, one odd seed in four draws from cutKinds, one from
// crashKinds, and the others from cutAndCrashKinds beside all others: too much else
// goes wrong in their plans to judge a cut or a crashing request by itself.
var (
	cutAndCrashKinds = []Kind{HostCut, HostCut, HostCut, HostCut, CrashingRequest, CrashingRequest}
	cutKinds         = []Kind{HostCut, HostCut, HostCut, HostStop, HostReload, Configuration}
	crashKinds       = []Kind{CrashingRequest, CrashingRequest, HostKill, HostStop, AllKill, StoreRefuse, Configuration}
)

// From newPartsSince on, all seeds but those with crashing requests draw from partKinds
// as well, one odd seed in four from keyCutKinds instead of cutKinds, and one from
// storePartKinds. newPartsSince is also the first seed of which all upstreams are cold
// after their start and all requests need keys.
var (
	partKinds      = []Kind{UpstreamCold, UpstreamCold, UpstreamCold, Evacuation, Evacuation, KeyWithdrawal, KeyWithdrawal, KeyWithdrawal}
	keyCutKinds    = []Kind{KeyWithdrawalAtCut, KeyWithdrawalAtCut, KeyWithdrawalAtCut, UpstreamCold, Evacuation, HostCut, HostStop, Configuration}
	storePartKinds = slices.Concat(partKinds, []Kind{
		HostStop, HostKill, StoreRefuse, StoreSilent, StoreLose, StoreForget, StoreRestore, LinkSilent, LinkOneWay, UpstreamCrash, UpstreamReplace,
	})
)

// From malformedSince on, one odd seed in four draws from malformedKinds, and the other
// odd ones but those with crashing requests from them beside all others.
var malformedKinds = []Kind{
	ResponsesMalformed, ResponsesMalformed, UpstreamFailsRuns, UpstreamFailsRuns, ResponsesLost, UpstreamRefuses, HostStop, HostCut, LinkReset,
}

// addedSince is the first seed that draws from the added kinds, cutAndCrashSince the
// first that draws from cutAndCrashKinds, newPartsSince the first that draws from
// partKinds, malformedSince the first that draws from malformedKinds.
const (
	malformedSince   = 1_000_000
	addedSince       = 1000
	cutAndCrashSince = 2000
	newPartsSince    = 3000
)

// plannedKinds are planned operations and registry changes. They must not lose
// requests, and every bound holds while they happen.
var plannedKinds = []Kind{
	HostStop, HostStop, HostStop, HostReload, UpstreamLeave, UpstreamLeave, UpstreamVanish, Configuration, Configuration, GarbageEntry,
}

// kindsForSeed returns the kinds that a seed draws from. Even seeds have planned
// operations only, since few bounds can be checked while faults are active.
func kindsForSeed(seed uint64) []Kind {
	switch {
	case seed < malformedSince || seed%2 == 0 || seed%8 == 5:
	case seed%8 == 7:
		return malformedKinds
	default:
		return slices.Concat(kindsOfParts(seed), malformedKinds)
	}
	return kindsOfParts(seed)
}

// kindsOfParts returns the kinds that a seed draws from besides malformedKinds.
func kindsOfParts(seed uint64) []Kind {
	kinds, added := allKinds, addedKinds
	if seed%2 == 0 {
		kinds, added = plannedKinds, addedPlannedKinds
	}
	if seed < addedSince {
		return kinds
	}
	if seed >= newPartsSince {
		switch seed % 8 {
		case 1:
			return keyCutKinds
		case 3:
			return storePartKinds
		default:
			added = slices.Concat(added, partKinds)
		}
	}
	switch {
	case seed < cutAndCrashSince || seed%2 == 0:
	case seed%8 == 1:
		return cutKinds
	case seed%8 == 5:
		return crashKinds
	default:
		added = slices.Concat(added, cutAndCrashKinds)
	}
	return slices.Concat(kinds, added)
}

// Event is one fault or planned operation of a plan.
type Event struct {
	// At is the start, from the start of the run.
	At   time.Duration
	Kind Kind
	// Duration is how long the event lasts, for kinds that last.
	Duration time.Duration
	// Selector selects the host or upstream that is affected, modulo their number.
	Selector int
}

// String formats the event as one line.
func (e Event) String() string {
	return fmt.Sprintf("%6.2fs %s for %v (%d)", e.At.Seconds(), e.Kind, e.Duration.Round(time.Millisecond), e.Selector)
}

const (
	// warmUp is the time before the first event, in which all hosts start.
	warmUp = 3 * time.Second
	// coolDown is the time after the last event, in which the recovery of the
	// system within bounds.settleTime is verified.
	coolDown = 6 * time.Second
	// minDuration and maxDuration limit the duration of an event.
	minDuration = 300 * time.Millisecond
	maxDuration = 5 * time.Second
	// maxSeriesLength is the maximum number of events that follow each other
	// without a calm interval.
	maxSeriesLength = 4
)

// GeneratePlan generates the plan of a seed: series of overlapping events,
// separated by calm intervals, sorted by start time.
func GeneratePlan(seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, seed))
	randomBetween := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	kinds := kindsForSeed(seed)
	var plan []Event
	for at := warmUp; at < length-coolDown; at += randomBetween(200*time.Millisecond, 2*time.Second) {
		kind := kinds[rng.IntN(len(kinds))]
		for i := range 1 + rng.IntN(maxSeriesLength) {
			if i > 0 && rng.IntN(2) == 0 {
				kind = kinds[rng.IntN(len(kinds))]
			}
			plan = append(plan, Event{
				At: at + time.Duration(i)*randomBetween(50*time.Millisecond, 700*time.Millisecond), Kind: kind,
				Duration: randomBetween(minDuration, maxDuration), Selector: rng.IntN(1 << 16),
			})
		}
	}
	plan = slices.DeleteFunc(plan, func(e Event) bool { return e.At+e.Duration > length-coolDown })
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.At - b.At) })
	return plan
}
