package storesync

import (
	"slices"
	"time"
)

const (
	// restoreGrace is how long the evacuations known before a restore of the store
	// stay in force after the first reading of the new era: by then the operator has
	// written or removed again what the copy lacks or has again.
	restoreGrace = 2 * time.Second
	// maxEvacuationAge is the age beyond which the evacuations that a host knows are
	// unconfirmed, so that it reads the store itself: its reader tells it nothing. It
	// leaves time for that reading within the 5 s after which an evacuation must be
	// obeyed, and notices that are lost now and then cause none.
	maxEvacuationAge = 2500 * time.Millisecond
)

// EvacuationChange is what a reading of the tables says about evacuations. The zero
// value says that nothing has changed.
type EvacuationChange struct {
	// Whole is true when Evacuated holds all evacuated failure domains.
	Whole bool
	// Evacuated are the failure domains with a row, Withdrawn those whose row was
	// deleted since the cursor.
	Evacuated, Withdrawn []string
}

// evacuationSet is the set of evacuated failure domains, sorted, at a version of
// the store. Version 0 means that nothing is known.
type evacuationSet struct {
	version uint64
	domains []string
}

func newEvacuationSet(version uint64, domains []string) evacuationSet {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	return evacuationSet{version: version, domains: slices.Compact(sorted)}
}

// evacuations is what a host knows of evacuations. It does no I/O, reads no clock
// and is not safe for concurrent use.
type evacuations struct {
	// latest is the latest set of the store. eraReadAt is when a host first read
	// that era of the store, as far as known here.
	latest    evacuationSet
	eraReadAt time.Time
	// before is the set that was in force when the era began; version 0 when this
	// host knows of none.
	before evacuationSet
	// confirmedAt is when latest was last known to be what the store holds.
	confirmedAt time.Time
	// used is true once the deployment is known to have had an evacuation.
	used bool
}

// inForce returns the set that holds now: after a restore of the store, for a
// while, the one known before it.
func (e *evacuations) inForce(now time.Time) evacuationSet {
	if e.inGrace(now) {
		return e.before
	}
	return e.latest
}

// inGrace reports whether the set known before a restore still holds.
func (e *evacuations) inGrace(now time.Time) bool {
	return e.before.version > 0 && now.Before(e.eraReadAt.Add(restoreGrace))
}

// graceEnd returns when the latest set begins to hold; ok is false when it holds.
func (e *evacuations) graceEnd(now time.Time) (end time.Time, ok bool) {
	return e.eraReadAt.Add(restoreGrace), e.inGrace(now)
}

// read records a reading of the store that was complete at now.
func (e *evacuations) read(now time.Time, version uint64, c EvacuationChange) (known bool) {
	if c.Whole {
		return e.learn(now, now, now, newEvacuationSet(version, c.Evacuated))
	}
	if e.latest.version == 0 || Era(version) != Era(e.latest.version) || version < e.latest.version {
		return false
	}
	domains := slices.DeleteFunc(slices.Clone(e.latest.domains), func(d string) bool { return slices.Contains(c.Withdrawn, d) })
	return e.learn(now, now, now, newEvacuationSet(version, append(domains, c.Evacuated...)))
}

// learn records a set of the store that was current at confirmedAt and whose era a
// host first read at eraReadAt. It returns false for a set older than the latest.
func (e *evacuations) learn(now, confirmedAt, eraReadAt time.Time, w evacuationSet) bool {
	if w.version < e.latest.version || w.version == 0 {
		return false
	}
	e.used = e.used || len(w.domains) > 0
	switch {
	case e.latest.version == 0:
		e.eraReadAt = eraReadAt
	case Era(w.version) > Era(e.latest.version):
		e.before, e.eraReadAt = e.inForce(now), eraReadAt
	case eraReadAt.Before(e.eraReadAt):
		e.eraReadAt = eraReadAt
	}
	e.latest = w
	if confirmedAt.After(e.confirmedAt) {
		e.confirmedAt = confirmedAt
	}
	return true
}

// learnPrevious records a set that was in force at another host before the era of the
// latest one. It matters to a host that started on a restored store. A set of another
// era than that known here is ignored: the other host may have started on a copy of
// the store that was replaced within the grace.
func (e *evacuations) learnPrevious(w evacuationSet) {
	sameEra := e.before.version == 0 || Era(w.version) == Era(e.before.version)
	if sameEra && w.version > e.before.version && Era(w.version) < Era(e.latest.version) {
		e.before = w
		e.used = e.used || len(w.domains) > 0
	}
}

// unconfirmed reports whether the evacuations have to be read from the store since
// no other host has confirmed them lately. A deployment that never had one needs no
// confirmation.
func (e *evacuations) unconfirmed(now time.Time) bool {
	return e.used && now.Sub(e.confirmedAt) > maxEvacuationAge
}
