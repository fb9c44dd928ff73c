package news

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutfield/chestnutfield/registry"
)

const (
	// mostChanges bounds the changes that messages tell; a host that lacks more
	// takes a snapshot.
	mostChanges = 60
	// changesInAnswer is the number of changes that fit one message.
	changesInAnswer = 10
)

// journal is the register as of the last reading, with the version at which
// each entry last changed. It is not safe for concurrent use.
type journal struct {
	// first is the version of the first reading: what changed before is
	// unknown. version is that of the last one, at its time.
	first, version uint64
	at             time.Time
	entries        map[string]registry.Entry
	// changed holds the version of each entry's last change, dropped ones
	// included.
	changed map[string]uint64
}

func newJournal() *journal {
	return &journal{entries: map[string]registry.Entry{}, changed: map[string]uint64{}}
}

// take records a whole reading.
func (j *journal) take(version uint64, at time.Time, entries []registry.Entry) {
	if version < j.version {
		return
	}
	if j.first == 0 {
		j.first = version
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		before, known := j.entries[e.ID]
		if known && e.Older(before) {
			continue
		}
		j.entries[e.ID] = e
		if !known || !same(before, e) {
			j.changed[e.ID] = version
		}
	}
	for id := range j.entries {
		if !listed[id] {
			delete(j.entries, id)
			j.changed[id] = version
		}
	}
	j.version, j.at = version, at
}

// same says that two entries of a target mean the same to those who use it.
func same(a, b registry.Entry) bool {
	a.Sequence, a.ColdFor = b.Sequence, b.ColdFor
	return a == b
}

// since returns what changed after a version; ok is false when that is not
// known.
func (j *journal) since(version uint64) (changed []registry.Entry, dropped []string, ok bool) {
	if j.first == 0 || version < j.first {
		return nil, nil, false
	}
	for _, id := range slices.Sorted(maps.Keys(j.changed)) {
		if j.changed[id] <= version {
			continue
		}
		if e, here := j.entries[id]; here {
			changed = append(changed, e)
		} else {
			dropped = append(dropped, id)
		}
	}
	return changed, dropped, true
}

// apply takes the changes that led to a version; the journal then holds the
// register as of that version.
func (j *journal) apply(version uint64, at time.Time, changed []registry.Entry, dropped []string) {
	if version < j.version {
		return
	}
	if len(changed)+len(dropped) == 0 {
		j.version, j.at = version, at
		return
	}
	entries := maps.Clone(j.entries)
	for _, e := range changed {
		entries[e.ID] = e
	}
	for _, id := range dropped {
		delete(entries, id)
	}
	j.take(version, at, slices.Collect(maps.Values(entries)))
}

// list returns the entries in order of name.
func (j *journal) list() []registry.Entry {
	out := make([]registry.Entry, 0, len(j.entries))
	for _, id := range slices.Sorted(maps.Keys(j.entries)) {
		out = append(out, j.entries[id])
	}
	return out
}
