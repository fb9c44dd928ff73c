package quarantine

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/registry"
)

// The kinds of messages.
const (
	kindLoss hostmsg.Kind = iota + 30
	kindRecord
)

// lossNotice asks a witness to check that a target has ended under a request. Ages
// are in milliseconds, since hosts share no clock.
type lossNotice struct {
	_             struct{} `cbor:",toarray"`
	Content       uint64
	Pool          string
	ID            string
	StartedMillis int64
	Addr          netip.AddrPort
	Age           int64
}

// recordNotice carries what is known of one content.
type recordNotice struct {
	_       struct{} `cbor:",toarray"`
	Content uint64
	Losses  []lossAge
	// ClearedAge is -1 when no request with this content got a response.
	ClearedAge int64
}

// lossAge is a Loss with its age in milliseconds.
type lossAge struct {
	_             struct{} `cbor:",toarray"`
	ID            string
	StartedMillis int64
	Age           int64
}

// neverCleared is the ClearedAge of a record that was never cleared.
const neverCleared = -1

func newRecordNotice(now time.Time, r Record) recordNotice {
	n := recordNotice{Content: uint64(r.Content), ClearedAge: neverCleared, Losses: lo.Map(r.Losses, func(l Loss, _ int) lossAge {
		return lossAge{ID: l.Instance.ID, StartedMillis: l.Instance.StartedMillis, Age: now.Sub(l.At).Milliseconds()}
	})}
	if !r.ClearedAt.IsZero() {
		n.ClearedAge = now.Sub(r.ClearedAt).Milliseconds()
	}
	return n
}

func (n recordNotice) record(now time.Time) Record {
	r := Record{Content: Content(n.Content), Losses: lo.Map(n.Losses, func(l lossAge, _ int) Loss {
		return Loss{Instance: registry.Instance{ID: l.ID, StartedMillis: l.StartedMillis}, At: now.Add(-hostmsg.Milliseconds(max(l.Age, 0)))}
	})}
	if n.ClearedAge >= 0 {
		r.ClearedAt = now.Add(-hostmsg.Milliseconds(n.ClearedAge))
	}
	return r
}

// storedLoss is one loss of a suspect record as stored, in a row of its own: what
// several hosts write adds up, whatever its order. Times are in Unix milliseconds.
type storedLoss struct {
	Content       string `json:"content"`
	ID            string `json:"id"`
	StartedMillis int64  `json:"started"`
	AtMillis      int64  `json:"at"`
}

// key returns the key of a content in logs and in the store.
func (c Content) key() string { return strconv.FormatUint(uint64(c), 16) }

// maxKeyBytes is the length of the longest key that stores take.
const maxKeyBytes = 200

// rowKey returns the key of a loss's row. An ID that leaves no room for the rest is
// replaced by its hash.
func (l Loss) rowKey(c Content) string {
	started := strconv.FormatInt(l.Instance.StartedMillis, 10)
	key := c.key() + "/" + l.Instance.ID + "/" + started
	if len(key) > maxKeyBytes {
		key = c.key() + "/#" + strconv.FormatUint(xxhash.Sum64String(l.Instance.ID), 16) + "/" + started
	}
	return key
}

// encodeRows returns the rows of a record's losses by key.
func encodeRows(r Record) (map[string][]byte, error) {
	rows := map[string][]byte{}
	for _, l := range r.Losses {
		value, err := json.Marshal(storedLoss{
			Content: r.Content.key(), ID: l.Instance.ID, StartedMillis: l.Instance.StartedMillis, AtMillis: l.At.UnixMilli(),
		})
		if err != nil {
			return nil, errors.Wrap(err, "encode the end of a target under a request")
		}
		rows[l.rowKey(r.Content)] = value
	}
	return rows, nil
}

// decodeRow returns the record of one row. A loss in the future, by a clock that
// differs, counts as now. The error is short, whatever the row holds.
func decodeRow(now time.Time, key string, value []byte) (Record, error) {
	var stored storedLoss
	if err := json.Unmarshal(value, &stored); err != nil {
		return Record{}, errors.Errorf("row %.100q of a suspect request: %.200s", key, err.Error())
	}
	content, err := strconv.ParseUint(stored.Content, 16, 64)
	if err != nil {
		return Record{}, errors.Errorf("row %.100q of a suspect request: got content %.40q; expected a hexadecimal number", key, stored.Content)
	}
	return Record{Content: Content(content), Losses: []Loss{{
		Instance: registry.Instance{ID: stored.ID, StartedMillis: stored.StartedMillis},
		At:       time.UnixMilli(min(stored.AtMillis, now.UnixMilli())),
	}}}, nil
}
