package ledger

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/lb"
)

// PartitionPrefix is the prefix of the partition names of the order rows.
const PartitionPrefix = "orders-"

// state is the state of an order's row.
type state string

const (
	stateClaimed  state = "claimed"
	stateDone     state = "done"
	stateUnknown  state = "unknown"
	stateReleased state = "released"
)

// record is the body of a row.
type record struct {
	State       state  `json:"state"`
	Fingerprint uint64 `json:"fingerprint,omitempty"`
	// Host is the entry host that wrote the row.
	Host     string               `json:"host"`
	Response *lb.RecordedResponse `json:"answer,omitempty"`
}

// keyID is the SHA-256 hash of a caller and its idempotency key.
type keyID [sha256.Size]byte

// idOf hashes the caller and key with their lengths, so that different pairs of
// strings never give the same hash input.
func idOf(k lb.OrderKey) keyID {
	h := sha256.New()
	for _, s := range []string{k.Caller, k.Key} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	return keyID(h.Sum(nil))
}

// rowKey returns the row's key in the table; the first byte of the hash selects
// one of 256 partitions.
func (id keyID) rowKey() cloud.Key {
	return cloud.Key{
		Partition: fmt.Sprintf("%s%02x", PartitionPrefix, id[0]),
		Sort:      base64.RawURLEncoding.EncodeToString(id[:]),
	}
}

func encodeRow(id keyID, r record, revision uint64, writer string, expires time.Time) (cloud.Row, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return cloud.Row{}, errors.Wrap(err, "encode order row")
	}
	return cloud.Row{Key: id.rowKey(), Revision: revision, Writer: writer, Body: body, Expires: expires}, nil
}

func decodeRow(row *cloud.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Body, &r); err != nil {
		return record{}, errors.Wrapf(err, "decode order row %s", row.Sort)
	}
	switch r.State {
	case stateClaimed, stateDone, stateUnknown, stateReleased:
		return r, nil
	default:
		return record{}, errors.Errorf("order row %s: state is %q, not claimed, done, unknown or released", row.Sort, r.State)
	}
}
