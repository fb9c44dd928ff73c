// Package api holds the paths and JSON types of the admin API, shared by the
// server in every host and the client of the operators' tool.
package api

import (
	"net/netip"
	"time"

	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/config/rows"
	"github.com/chestnutfield/chestnutfield/table"
)

// Paths of the API. Tables stand under /v1/pools and /v1/routes.
const (
	Prefix      = "/v1"
	ApplyPath   = "/apply"
	HistoryPath = "/history"
	RowPath     = "/rows"
	ChangesPath = "/changes"
	StatusPath  = "/status"
	MetricsPath = "/metrics"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
)

// Query arguments.
const (
	// FileArg names the applied file in problems.
	FileArg = "file"
	// ChangeArg is the change id, AuthorArg who makes the change.
	ChangeArg = "change"
	AuthorArg = "author"
	// IfVersionArg refuses a change when the tables have moved on.
	IfVersionArg = "if_version"
	// BaseArg is the version that an unknown change was made from.
	BaseArg = "base"
	// LimitArg bounds a history.
	LimitArg = "limit"
)

// Listing is the answer to list and get: the rows of one table.
type Listing struct {
	Version uint64 `json:"version"`
	// Stale is true when the table service did not answer and the rows are
	// those in force on the asked host.
	Stale  bool                   `json:"stale,omitempty"`
	Pools  map[string]table.Pool  `json:"pools,omitempty"`
	Routes map[string]table.Route `json:"routes,omitempty"`
}

// History is the accepted changes of one table, oldest first.
type History struct {
	Changes []rows.Change `json:"changes"`
}

// Failure is the answer to a request that could not be served.
type Failure struct {
	Error string `json:"error"`
}

// HostStatus is one entry host as the asked host sees it.
type HostStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// State is the membership state; Live says whether it counts as live.
	State string `json:"state"`
	Live  bool   `json:"live"`
	// Version is the configuration version in force there, as last heard.
	Version uint64 `json:"version"`
	// VersionAge is the time since Version was heard.
	VersionAge time.Duration `json:"version_age_ns"`
}

// TargetStatus is one target as the asked host sees it.
type TargetStatus struct {
	Addr          netip.AddrPort `json:"addr"`
	FailureDomain string         `json:"failure_domain"`
	// State is the selection state, for example ready or leaving.
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
}

// GroupOwner names the host that owns the targets of a pool in one failure
// domain, as the asked host sees it.
type GroupOwner struct {
	FailureDomain string `json:"failure_domain"`
	Host          string `json:"host"`
}

// PoolStatus is one pool with its targets.
type PoolStatus struct {
	Name    string         `json:"name"`
	Service string         `json:"service,omitempty"`
	Targets []TargetStatus `json:"targets"`
	// Owners is empty when the asked host dispatches directly.
	Owners []GroupOwner `json:"owners,omitempty"`
}

// Status is the answer to status.
type Status struct {
	Host   HostStatus    `json:"host"`
	Config config.Status `json:"config"`
	Peers  []HostStatus  `json:"peers"`
	Pools  []PoolStatus  `json:"pools"`
}

// Lagging returns the names of the live hosts that do not have a version in
// force, the asked host first.
func (s Status) Lagging(version uint64) []string {
	var names []string
	for _, h := range append([]HostStatus{s.Host}, s.Peers...) {
		if h.Live && h.Version < version {
			names = append(names, h.Name)
		}
	}
	return names
}
