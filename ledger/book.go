package ledger

import (
	"sync"
	"time"

	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/ports"
)

// stage is what this host is doing with a key.
type stage uint8

const (
	// claiming: the claim is on its way.
	claiming stage = iota + 1
	// held: the claim was granted; the request may be dispatched.
	held
	// ending: the end of the request is being recorded.
	ending
	// withdrawing: the request was refused; what may have been claimed for it
	// is being released.
	withdrawing
)

// entry is a key that this host works on.
type entry struct {
	id          keyID
	fingerprint uint64
	writer      string
	stage       stage
	// base is the revision of the row that the claim was last written over; 0
	// stands for none.
	base uint64
	// revision is that of the claim's row while held.
	revision uint64
	// end is what is being recorded while ending.
	end record
	// gone is closed when the entry leaves the book.
	gone chan struct{}
}

// bookShards is the number of locks that share the book.
const bookShards = 64

// book holds the keys that this host works on, in shards of their own locks.
type book struct{ shards [bookShards]bookShard }

type bookShard struct {
	mu      sync.Mutex
	entries map[keyID]*entry
}

func newBook() *book {
	b := &book{}
	for i := range b.shards {
		b.shards[i].entries = map[keyID]*entry{}
	}
	return b
}

func (b *book) shard(id keyID) *bookShard { return &b.shards[id[1]%bookShards] }

// admission is the answer of the book to a claim: a new entry, a claim that
// is answered at once, or a channel to wait on before asking again.
type admission struct {
	entry  *entry
	answer ports.Claim
	wait   <-chan struct{}
}

// admit enters a key unless this host works on it already.
func (b *book) admit(id keyID, fingerprint uint64, writer string) admission {
	s := b.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.entries[id]
	if !ok {
		e := &entry{id: id, fingerprint: fingerprint, writer: writer, stage: claiming, gone: make(chan struct{})}
		s.entries[id] = e
		return admission{entry: e}
	}
	if old.stage == withdrawing || (old.stage == ending && old.end.State == stateReleased) {
		return admission{wait: old.gone}
	}
	r := record{State: stateClaimed, Fingerprint: old.fingerprint}
	if old.stage == ending {
		r = old.end
	}
	return admission{answer: answerOf(r, fingerprint)}
}

// hold notes that an entry's claim was granted.
func (b *book) hold(e *entry, revision uint64) {
	s := b.shard(e.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.stage, e.revision = held, revision
}

// withdraw notes that an entry's request was refused while its claim may stand.
func (b *book) withdraw(e *entry) {
	s := b.shard(e.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.stage = withdrawing
}

// finish notes the end of a held request; ok is false when writer does not
// hold the key.
func (b *book) finish(id keyID, writer string, end record) (e *entry, ok bool) {
	s := b.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e = s.entries[id]
	if e == nil || e.stage != held || e.writer != writer {
		return nil, false
	}
	e.stage, e.end = ending, end
	return e, true
}

// remove forgets an entry.
func (b *book) remove(e *entry) {
	s := b.shard(e.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[e.id] == e {
		delete(s.entries, e.id)
		close(e.gone)
	}
}

// refused returns the answer of a ledger that can't be consulted.
func refused(retryAfter time.Duration) ports.Claim {
	return ports.Claim{
		State: ports.ClaimUnavailable, Outcome: outcome.NotRun, RetryAfter: max(retryAfter, unavailableRetryAfter),
	}
}
