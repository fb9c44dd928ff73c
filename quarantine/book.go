package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/registry"
)

const (
	// suspectLosses is the number of targets that have to end under a request for
	// it to be reported to all hosts, refusedLosses for it to be refused.
	suspectLosses = 2
	refusedLosses = 3
	// minHold is how long a request is refused after it ended refusedLosses targets;
	// holdFactor multiplies it for each further one, up to maxHold.
	minHold    = time.Minute
	holdFactor = 4
	maxHold    = 4 * time.Hour
	// suspicionAge is the age from which the losses of a request that is not refused
	// are forgotten.
	suspicionAge = 10 * time.Minute
	// clearedAge is the age from which a record without losses is forgotten: reports
	// of losses before it have arrived by then.
	clearedAge = 30 * time.Second
	// maxContents bounds the contents in a Book, maxLosses the losses of each.
	maxContents = 512
	maxLosses   = 6
)

// Content identifies the requests with the same content; it is a hash.
type Content uint64

// Loss is the end of a target that was running a request.
type Loss struct {
	Instance registry.Instance
	At       time.Time
}

// Record is what is known of one content.
type Record struct {
	Content Content
	// Losses has one entry for each target, the first first.
	Losses []Loss
	// ClearedAt is when a request with this content last got a response; losses
	// before it don't count. It is zero when there was none.
	ClearedAt time.Time
}

// refused reports whether the requests are to be refused, apart from the time.
func (r Record) refused() bool { return len(r.Losses) >= refusedLosses }

// suspect reports whether all hosts are to know of the record.
func (r Record) suspect() bool { return len(r.Losses) >= suspectLosses }

// lastLoss returns when the last target ended.
func (r Record) lastLoss() time.Time {
	return lo.Reduce(r.Losses, func(last time.Time, l Loss, _ int) time.Time {
		return lo.Ternary(l.At.After(last), l.At, last)
	}, time.Time{})
}

// hold returns how long requests are refused after the last loss.
func (r Record) hold() time.Duration {
	hold := minHold
	for range len(r.Losses) - refusedLosses {
		hold = min(hold*holdFactor, maxHold)
	}
	return hold
}

// outdated reports whether a record may be forgotten: after twice its hold, of which
// the second half is for trials at one host.
func (r Record) outdated(now time.Time) bool {
	switch {
	case len(r.Losses) == 0:
		return now.Sub(r.ClearedAt) > clearedAge
	case r.refused():
		return now.Sub(r.lastLoss()) > max(2*r.hold(), suspicionAge)
	default:
		return now.Sub(r.lastLoss()) > suspicionAge
	}
}

// merge returns the union of two records of one content. It does not depend on their
// order.
func (r Record) merge(other Record) Record {
	if other.ClearedAt.After(r.ClearedAt) {
		r.ClearedAt = other.ClearedAt
	}
	all := lo.Filter(slices.Concat(r.Losses, other.Losses), func(l Loss, _ int) bool { return l.At.After(r.ClearedAt) })
	slices.SortFunc(all, func(a, b Loss) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Instance.ID, b.Instance.ID), cmp.Compare(a.Instance.StartedMillis, b.Instance.StartedMillis))
	})
	all = lo.UniqBy(all, func(l Loss) registry.Instance { return l.Instance })
	// The latest ones are kept: the hold counts from the last.
	r.Losses = all[max(0, len(all)-maxLosses):]
	return r
}

// Book holds the records of contents that were lost lately. It decides without I/O
// and is safe for concurrent use.
type Book struct {
	// size is the number of records, to be read without the lock.
	size    atomic.Int64
	mu      sync.Mutex
	records map[Content]Record
	// refused holds the contents whose records are refused.
	refused map[Content]bool
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{records: map[Content]Record{}, refused: map[Content]bool{}} }

// Empty reports whether no content was lost lately. It is cheap: requests are
// hashed only if it is false.
func (b *Book) Empty() bool { return b.size.Load() == 0 }

// Merge adds what is known of a content and returns the record as it is then;
// changed is true if that says more than before.
func (b *Book) Merge(now time.Time, r Record) (merged Record, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.records[r.Content]
	before.Content = r.Content
	merged = before.merge(r)
	merged.Losses = lo.Reject(merged.Losses, func(l Loss, _ int) bool { return b.explained(r.Content, merged, l) })
	changed = len(merged.Losses) != len(before.Losses) || merged.lastLoss().After(before.lastLoss()) || merged.ClearedAt.After(before.ClearedAt)
	b.set(merged)
	if changed && merged.refused() {
		b.excuse(merged)
	}
	if len(b.records) > maxContents {
		b.trim(now)
	}
	b.size.Store(int64(len(b.records)))
	return merged, changed
}

// Forget drops outdated records.
func (b *Book) Forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trim(now)
	b.size.Store(int64(len(b.records)))
}

// explained reports whether a loss of one content is explained by another one. The
// caller holds the lock.
func (b *Book) explained(content Content, r Record, loss Loss) bool {
	return lo.SomeBy(lo.Keys(b.refused), func(other Content) bool {
		return other != content && b.records[other].explains(r, loss)
	})
}

// explains reports whether r is to blame for a loss of another content: it is
// refused, was lost at that target too, and got no response where the other one did, or
// ended more targets. A request that runs beside a crashing one can be lost as often.
func (r Record) explains(other Record, loss Loss) bool {
	if !r.refused() || !lo.ContainsBy(r.Losses, func(l Loss) bool { return l.Instance == loss.Instance }) {
		return false
	}
	if r.ClearedAt.IsZero() != other.ClearedAt.IsZero() {
		return r.ClearedAt.IsZero()
	}
	return len(r.Losses) > len(other.Losses)
}

// excuse removes the losses of other contents that a refused one explains. The
// caller holds the lock.
func (b *Book) excuse(refused Record) {
	for content, r := range b.records {
		if content == refused.Content || len(r.Losses) == 0 {
			continue
		}
		r.Losses = lo.Reject(r.Losses, func(l Loss, _ int) bool { return refused.explains(r, l) })
		b.set(r)
	}
}

// set stores a record, unless it says nothing. The caller holds the lock.
func (b *Book) set(r Record) {
	b.drop(r.Content)
	if len(r.Losses) == 0 && r.ClearedAt.IsZero() {
		return
	}
	b.records[r.Content] = r
	if r.refused() {
		b.refused[r.Content] = true
	}
}

// drop forgets a record. The caller holds the lock.
func (b *Book) drop(content Content) {
	delete(b.records, content)
	delete(b.refused, content)
}

// trim forgets outdated records and, of too many, those with the fewest losses, the
// oldest first. The caller holds the lock.
func (b *Book) trim(now time.Time) {
	for content, r := range b.records {
		if r.outdated(now) {
			b.drop(content)
		}
	}
	excess := len(b.records) - maxContents
	if excess <= 0 {
		return
	}
	all := lo.Values(b.records)
	slices.SortFunc(all, func(x, y Record) int {
		return cmp.Or(cmp.Compare(len(x.Losses), len(y.Losses)), x.lastLoss().Compare(y.lastLoss()))
	})
	for _, r := range all[:excess] {
		b.drop(r.Content)
	}
}

// Decision says whether a request may be sent.
type Decision struct {
	Refused bool
	// RetryAfter is when the request may be tried again, set if it is refused.
	RetryAfter time.Duration
	// Losses is the number of targets that ended under such requests, LastLoss the
	// time since the last one.
	Losses   int
	LastLoss time.Duration
}

// Decide decides about a request. For the second half of the time that a content is
// refused, triesFirst says whether this is the one host that may try it: it must not
// end a target for each host.
func (b *Book) Decide(now time.Time, content Content, triesFirst bool) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, known := b.records[content]
	if !known || !r.refused() {
		return Decision{}
	}
	since := now.Sub(r.lastLoss())
	refusedFor := lo.Ternary(triesFirst, r.hold(), 2*r.hold())
	if since >= refusedFor {
		return Decision{Losses: len(r.Losses), LastLoss: since}
	}
	return Decision{Refused: true, RetryAfter: refusedFor - since, Losses: len(r.Losses), LastLoss: since}
}

// Record returns what is known of a content; ok is false if that is nothing.
func (b *Book) Record(content Content) (r Record, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok = b.records[content]
	return r, ok
}

// Suspects returns the records that all hosts are to know, those with the latest
// losses first.
func (b *Book) Suspects(now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	suspects := lo.Filter(lo.Values(b.records), func(r Record, _ int) bool { return r.suspect() && !r.outdated(now) })
	slices.SortFunc(suspects, func(x, y Record) int { return y.lastLoss().Compare(x.lastLoss()) })
	return suspects
}
