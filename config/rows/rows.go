// Package rows is the layout of the configuration in the table service and
// the object store, shared by the commands that change it and the queries that
// read it.
//
//	config         / version   one small row; its revision is the version
//	config         / body      the packed tables of that version
//	config-history / %020d     one row for each accepted change
//	config-change  / ID        the version that the change became
//
// One transaction writes all four, so that they never disagree: the revision
// of version and body is the version in force.
package rows

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
)

const (
	configPartition  = "config"
	historyPartition = "config-history"
	changePartition  = "config-change"

	snapshotPrefix = "config/tables-"
	// LatestObject names the object that holds the highest version with a
	// snapshot, in decimal.
	LatestObject = "config/latest"
)

var (
	// VersionKey is the key of the row that hosts poll.
	VersionKey = cloud.Key{Partition: configPartition, Sort: "version"}
	// BodyKey is the key of the row that holds the packed tables.
	BodyKey = cloud.Key{Partition: configPartition, Sort: "body"}
)

// HistoryPartition holds the accepted changes in order of version.
const HistoryPartition = historyPartition

// HistoryKey is the key of the change that became a version.
func HistoryKey(version uint64) cloud.Key {
	return cloud.Key{Partition: historyPartition, Sort: HistorySort(version)}
}

// HistorySort is the sort key of a version in HistoryPartition.
func HistorySort(version uint64) string { return fmt.Sprintf("%020d", version) }

// ChangeKey is the key of the row that says what a change became.
func ChangeKey(id string) cloud.Key {
	return cloud.Key{Partition: changePartition, Sort: id}
}

// SnapshotObject names the object that holds the packed tables of a version.
func SnapshotObject(version uint64) string {
	return snapshotPrefix + HistorySort(version) + ".json.gz"
}

// FormatLatest is the body of LatestObject.
func FormatLatest(version uint64) []byte { return []byte(strconv.FormatUint(version, 10)) }

// ParseLatest reads the body of LatestObject.
func ParseLatest(body []byte) (uint64, error) {
	v, err := strconv.ParseUint(string(body), 10, 64)
	return v, errors.Wrap(err, "latest snapshot")
}

// Kind names one of the two tables.
type Kind string

// The tables.
const (
	Pools  Kind = "pools"
	Routes Kind = "routes"
)

// Operation is what a change did.
type Operation string

// The operations.
const (
	Apply  Operation = "apply"
	Delete Operation = "delete"
)

// Change is one accepted change.
type Change struct {
	// ID is unique to the change; its writer chose it.
	ID string `json:"id"`
	// Version is what the change became, Base what it was made from.
	Version uint64 `json:"version"`
	Base    uint64 `json:"base"`
	Author  string `json:"author"`
	// Time is when the change was made, by the clock of the host that took it.
	Time      time.Time `json:"time"`
	Table     Kind      `json:"table"`
	Operation Operation `json:"operation"`
	// Sections are the names that the change touched.
	Sections []string `json:"sections"`
	// Fingerprint is a hash of the request, so that an id can't stand for two.
	Fingerprint uint64 `json:"fingerprint"`
}

// Encode packs a change for its rows.
func (c Change) Encode() ([]byte, error) {
	b, err := json.Marshal(c)
	return b, errors.Wrap(err, "encode change")
}

// DecodeChange reads what Encode packed.
func DecodeChange(body []byte) (Change, error) {
	var c Change
	err := json.Unmarshal(body, &c)
	return c, errors.Wrap(err, "decode change")
}
