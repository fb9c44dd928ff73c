// Package schema defines how the configuration is stored: the rows of the table
// service (partition key / sort key) and the objects of the object store. The
// commands that change the configuration and the queries that read it share it.
//
//	config         / version   one small row; its revision is the version
//	config         / body      the encoded tables of that version
//	config-history / %020d     one row for each accepted change
//	config-change  / ID        the version that the change became
//
// One transaction writes all four, so that they never disagree: the revision
// of the version and body rows is the accepted version.
package schema

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
	// BodyKey is the key of the row that holds the encoded tables.
	BodyKey = cloud.Key{Partition: configPartition, Sort: "body"}
)

// HistoryPartition is the partition key of the accepted changes; their sort
// keys order them by version.
const HistoryPartition = historyPartition

// HistoryKey returns the key of the row of the change that became a version.
func HistoryKey(version uint64) cloud.Key {
	return cloud.Key{Partition: historyPartition, Sort: HistorySort(version)}
}

// HistorySort returns the sort key of a version in HistoryPartition: 20 decimal
// digits, so that the order of keys is the order of versions.
func HistorySort(version uint64) string { return fmt.Sprintf("%020d", version) }

// ChangeKey returns the key of the row that records which version a change
// became.
func ChangeKey(id string) cloud.Key {
	return cloud.Key{Partition: changePartition, Sort: id}
}

// SnapshotObject returns the name of the object that holds the encoded tables
// of a version.
func SnapshotObject(version uint64) string {
	return snapshotPrefix + HistorySort(version) + ".json.gz"
}

// FormatLatest returns the body of LatestObject for a version.
func FormatLatest(version uint64) []byte { return []byte(strconv.FormatUint(version, 10)) }

// ParseLatest returns the version in the body of LatestObject.
func ParseLatest(body []byte) (uint64, error) {
	v, err := strconv.ParseUint(string(body), 10, 64)
	return v, errors.Wrap(err, "pointer to the latest snapshot: expected a version in decimal")
}

// TableName is the name of one of the tables.
type TableName string

// The tables.
const (
	Pools      TableName = "pools"
	Routes     TableName = "routes"
	Workspaces TableName = "workspaces"
	// Domains holds the evacuated failure domains.
	Domains TableName = "domains"
)

// Operation is the kind of a change.
type Operation string

// The operations.
const (
	Apply  Operation = "apply"
	Delete Operation = "delete"
	// Evacuate and Restore are the operations of Domains.
	Evacuate Operation = "evacuate"
	Restore  Operation = "restore"
)

// Change is the record of one accepted change.
type Change struct {
	// ID is unique to the change; the client chose it.
	ID string `json:"id"`
	// Version is the version that the change became, Base the version that it
	// was made from.
	Version uint64 `json:"version"`
	Base    uint64 `json:"base"`
	Author  string `json:"author"`
	// Time is when the change was made, by the clock of the host that
	// processed it.
	Time      time.Time `json:"time"`
	Table     TableName `json:"table"`
	Operation Operation `json:"operation"`
	// Names are the names of the pools, routes, workspaces or failure domains in
	// the request.
	Names []string `json:"sections"`
	// Fingerprint is a hash of the request; it reveals the reuse of an ID for
	// a different change.
	Fingerprint uint64 `json:"fingerprint"`
}

// Encode returns the JSON form of the change, the body of its rows.
func (c Change) Encode() ([]byte, error) {
	b, err := json.Marshal(c)
	return b, errors.Wrap(err, "encode change")
}

// DecodeChange decodes the output of Encode.
func DecodeChange(body []byte) (Change, error) {
	var c Change
	err := json.Unmarshal(body, &c)
	return c, errors.Wrap(err, "decode change")
}
