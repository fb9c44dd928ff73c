package ledger

import (
	"sync"
	"time"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// stage is the stage of this host's work on a key.
type stage uint8

const (
	// claiming: the claim is being written.
	claiming stage = iota + 1
	// held: the claim was granted; the request may be dispatched.
	held
	// recording: the outcome of the request is being recorded.
	recording
	// withdrawing: the request was refused, and a claim that may have been
	// written for it is being released.
	withdrawing
)

// entry is a key that this host is working on.
type entry struct {
	id          keyID
	fingerprint uint64
	writer      string
	stage       stage
	// replacedRevision is the revision of the released or expired row that the
	// last write of the claim replaces; 0 when it replaces none.
	replacedRevision uint64
	// revision is the revision of the claim's row while held.
	revision uint64
	// outcomeRecord is the row body being written while recording.
	outcomeRecord record
	// removed is closed when the entry is removed from activeKeys.
	removed chan struct{}
}

// activeKeysShards is the number of shards, each with its own lock.
const activeKeysShards = 64

// activeKeys holds the keys that this host is working on.
type activeKeys struct {
	shards [activeKeysShards]activeKeysShard
}

type activeKeysShard struct {
	mu      sync.Mutex
	entries map[keyID]*entry
}

func newActiveKeys() *activeKeys {
	b := &activeKeys{}
	for i := range b.shards {
		b.shards[i].entries = map[keyID]*entry{}
	}
	return b
}

func (b *activeKeys) shard(id keyID) *activeKeysShard { return &b.shards[id[1]%activeKeysShards] }

// startResult is the result of start: a new entry, the result of the claim, or a
// channel that is closed when start may be called again.
type startResult struct {
	entry   *entry
	claim   lb.Claim
	removed <-chan struct{}
}

// start adds a key unless this host is already working on it.
func (b *activeKeys) start(id keyID, fingerprint uint64, writer string) startResult {
	s := b.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.entries[id]
	if !ok {
		e := &entry{id: id, fingerprint: fingerprint, writer: writer, stage: claiming, removed: make(chan struct{})}
		s.entries[id] = e
		return startResult{entry: e}
	}
	if old.stage == withdrawing || (old.stage == recording && old.outcomeRecord.State == stateReleased) {
		return startResult{removed: old.removed}
	}
	r := record{State: stateClaimed, Fingerprint: old.fingerprint}
	if old.stage == recording {
		r = old.outcomeRecord
	}
	return startResult{claim: claimOf(r, fingerprint)}
}

// markHeld records that an entry's claim was granted.
func (b *activeKeys) markHeld(e *entry, revision uint64) {
	s := b.shard(e.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.stage, e.revision = held, revision
}

// markWithdrawing records that an entry's request was refused although its
// claim may have been written.
func (b *activeKeys) markWithdrawing(e *entry) {
	s := b.shard(e.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.stage = withdrawing
}

// markRecording records the outcome of a held request; ok is false when writer
// does not hold the key.
func (b *activeKeys) markRecording(id keyID, writer string, rec record) (e *entry, ok bool) {
	s := b.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e = s.entries[id]
	if e == nil || e.stage != held || e.writer != writer {
		return nil, false
	}
	e.stage, e.outcomeRecord = recording, rec
	return e, true
}

// remove removes an entry and wakes those that wait for its key.
func (b *activeKeys) remove(e *entry) {
	s := b.shard(e.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[e.id] == e {
		delete(s.entries, e.id)
		close(e.removed)
	}
}

// unavailableClaim returns the result of a claim when the ledger can't be
// consulted.
func unavailableClaim(retryAfter time.Duration) lb.Claim {
	return lb.Claim{
		State: lb.ClaimUnavailable, Outcome: outcome.NotRun, RetryAfter: max(retryAfter, unavailableRetryAfter),
	}
}
