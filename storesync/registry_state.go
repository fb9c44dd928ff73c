package storesync

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/registry"
)

// maxChanges bounds the changes in the messages of one response; a host that lacks
// more fetches a snapshot.
const maxChanges = 60

// registryState is the target registry as of the last reading, with the store
// version at which each entry last changed. It is not safe for concurrent use.
type registryState struct {
	// firstVersion is the version of the first reading; changes before it are
	// unknown. version is the version of the last reading, made at readAt.
	firstVersion, version uint64
	readAt                time.Time
	entries               map[string]registry.Entry
	// changed maps each entry, removed ones included, to the version of its last
	// change.
	changed map[string]uint64
	// history lists the changes in order of version, so that what changed since a
	// recent version is found without a pass over all entries. A record that differs
	// from changed is obsolete.
	history []changeRecord
	// warmupEnds holds the end of each entry's warm-up as of its last change.
	warmupEnds map[string]time.Time
	// contradicted holds the entries of the last reading that this host knows
	// better.
	contradicted map[string]struct{}
	// earlierStarts holds the last entries that name an earlier start of their target
	// than the known ones.
	earlierStarts map[string]registry.Entry
	// gaps are the versions between the last reading of an era and the first one of
	// the next: what another host read there is unknown here.
	gaps []versionGap
}

// changeRecord says that an entry changed at a version.
type changeRecord struct {
	version uint64
	id      string
}

// minHistory is the number of records up to which obsolete ones are kept.
const minHistory = 256

// versionGap is the range of versions between two readings of different eras, both
// excluded.
type versionGap struct{ from, to uint64 }

// maxGaps is the number of eras that are remembered.
const maxGaps = 16

func newRegistryState() *registryState {
	return &registryState{entries: map[string]registry.Entry{}, changed: map[string]uint64{}, warmupEnds: map[string]time.Time{}, earlierStarts: map[string]registry.Entry{}}
}

// replace sets the state to a complete reading. Readings and entries older than
// those already held are ignored. outdated holds the IDs of entries that were read
// and left out. What another host may have read and this one knows better counts
// as changed in this reading, and once more in the first reading that agrees.
func (s *registryState) replace(version uint64, at time.Time, entries []registry.Entry, outdated ...string) {
	if version < s.version {
		return
	}
	if s.firstVersion == 0 {
		s.firstVersion = version
	}
	contradicted := lo.Keyify(outdated)
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		s.put(version, at, e, contradicted)
	}
	s.noteContradicted(version, contradicted)
	for id := range s.entries {
		if !listed[id] {
			s.remove(version, id)
		}
	}
	s.setVersion(version, at)
}

// put sets an entry as read at a version. An entry older than the known one is added
// to contradicted instead.
func (s *registryState) put(version uint64, at time.Time, e registry.Entry, contradicted map[string]struct{}) {
	before, known := s.entries[e.ID]
	if known && e.Older(before) {
		contradicted[e.ID] = struct{}{}
		s.followState(version, before, e)
		return
	}
	delete(s.earlierStarts, e.ID)
	s.entries[e.ID] = e
	warmupEnd := at.Add(e.WarmupLeft)
	moved := before.Sequence != e.Sequence && registry.WarmupMoved(at, s.warmupEnds[e.ID], warmupEnd)
	if !known || moved || !equivalent(before, e) {
		s.warmupEnds[e.ID] = warmupEnd
		s.markChanged(version, e.ID)
	}
}

// followState applies to a known entry whether its target leaves, as a later reading
// says that names an earlier start. It is either a late write of the process before, or
// the target has started again and its clock was set back. A target that says that it
// leaves is believed at once: if the write was late, the next one of the living process
// corrects that. That it stays is believed when the same process has written again.
func (s *registryState) followState(version uint64, known, e registry.Entry) {
	if e.StartedMillis == known.StartedMillis {
		return
	}
	last, seen := s.earlierStarts[e.ID]
	s.earlierStarts[e.ID] = e
	writesOn := seen && last.Instance == e.Instance && last.Sequence < e.Sequence
	if e.Leaving == known.Leaving || !e.Leaving && !writesOn {
		return
	}
	known.Leaving = e.Leaving
	s.entries[e.ID] = known
	s.markChanged(version, e.ID)
}

func (s *registryState) remove(version uint64, id string) {
	delete(s.entries, id)
	delete(s.warmupEnds, id)
	delete(s.earlierStarts, id)
	s.markChanged(version, id)
}

// noteContradicted marks the entries that a reading contradicts, and those that the
// reading before it did, as changed.
func (s *registryState) noteContradicted(version uint64, contradicted map[string]struct{}) {
	for id := range lo.Assign(s.contradicted, contradicted) {
		s.markChanged(version, id)
	}
	s.contradicted = contradicted
}

// markChanged records that an entry changed at a version, which is not below that of
// any change before.
func (s *registryState) markChanged(version uint64, id string) {
	if s.changed[id] == version {
		return
	}
	s.changed[id] = version
	s.history = append(s.history, changeRecord{version, id})
	if len(s.history) > max(2*len(s.changed), minHistory) {
		s.history = slices.DeleteFunc(s.history, func(r changeRecord) bool { return s.changed[r.id] != r.version })
	}
}

// setVersion sets the version and the time of the last reading.
func (s *registryState) setVersion(version uint64, at time.Time) {
	if s.version != 0 && Era(version) != Era(s.version) {
		s.gaps = append(s.gaps, versionGap{from: s.version, to: version})
		s.gaps = s.gaps[max(len(s.gaps)-maxGaps, 0):]
	}
	s.version, s.readAt = version, at
}

// equivalent reports whether two entries of a target differ at most in Sequence
// and WarmupLeft, which are no change to tell other hosts about while the warm-up
// ends as it was known to.
func equivalent(a, b registry.Entry) bool {
	a.Sequence, a.WarmupLeft = b.Sequence, b.WarmupLeft
	return a == b
}

// since returns the entries changed and the IDs removed after a version; ok is
// false when the version is older than the first reading or in a gap.
func (s *registryState) since(version uint64) (changed []registry.Entry, removed []string, ok bool) {
	inGap := func(g versionGap) bool { return version > g.from && version < g.to }
	if s.firstVersion == 0 || version < s.firstVersion || slices.ContainsFunc(s.gaps, inGap) {
		return nil, nil, false
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].version > version })
	for _, r := range s.history[first:] {
		if s.changed[r.id] != r.version {
			continue
		}
		if e, exists := s.entries[r.id]; exists {
			changed = append(changed, e)
		} else {
			removed = append(removed, r.id)
		}
	}
	slices.SortFunc(changed, func(a, b registry.Entry) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(removed)
	return changed, removed, true
}

// apply applies the changes that led to a version; the state is then the
// registry as of that version.
func (s *registryState) apply(version uint64, at time.Time, changed []registry.Entry, removed []string) {
	if version < s.version {
		return
	}
	if len(changed)+len(removed) > 0 {
		if s.firstVersion == 0 {
			s.firstVersion = version
		}
		contradicted := map[string]struct{}{}
		for _, e := range changed {
			if !slices.Contains(removed, e.ID) {
				s.put(version, at, e, contradicted)
			}
		}
		s.noteContradicted(version, contradicted)
		for _, id := range removed {
			if _, known := s.entries[id]; known {
				s.remove(version, id)
			}
		}
	}
	s.setVersion(version, at)
}

// list returns the entries in order of ID.
func (s *registryState) list() []registry.Entry {
	out := make([]registry.Entry, 0, len(s.entries))
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		out = append(out, s.entries[id])
	}
	return out
}
