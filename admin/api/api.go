// Package api defines the paths and JSON types of the admin API, which the
// server in every host and the client in chestnutctl share.
package api

import (
	"net/netip"
	"time"

	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table"
)

// Paths of the API. The tables are /v1/pools, /v1/routes,
// /v1/workspaces and /v1/domains; ApplyPath, HistoryPath and RowPath are relative to
// them. A row of /v1/domains is an evacuated failure domain.
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

// Query parameters.
const (
	// FileParam is the name of the applied file for error messages.
	FileParam = "file"
	// ChangeParam is the change id, AuthorParam the name of the change's author.
	ChangeParam = "change"
	AuthorParam = "author"
	// IfVersionParam is the version that the tables must have for the change to be
	// applied; otherwise it is a conflict.
	IfVersionParam = "if_version"
	// BaseParam is the version that a change of unknown outcome was based on.
	BaseParam = "base"
	// LimitParam is the number of latest versions that a history covers.
	LimitParam = "limit"
)

// Listing is the response to list and get: rows of one table.
type Listing struct {
	Version uint64 `json:"version"`
	// Stale is true when the table service did not answer and the rows are
	// those in force on the responding host.
	Stale  bool                   `json:"stale,omitempty"`
	Pools  map[string]table.Pool  `json:"pools,omitempty"`
	Routes map[string]table.Route `json:"routes,omitempty"`
	// KeysRequired is true in a listing of workspaces when the table exists, even
	// without rows.
	KeysRequired bool                       `json:"keys_required,omitempty"`
	Workspaces   map[string]table.Workspace `json:"workspaces,omitempty"`
	// Evacuated are the evacuated failure domains.
	Evacuated []string `json:"evacuated,omitempty"`
}

// History holds accepted changes of one table, oldest first.
type History struct {
	Changes []schema.Change `json:"changes"`
}

// ErrorResponse is the response to a request that could not be served.
type ErrorResponse struct {
	Error string `json:"error"`
}

// HostStatus is the state of one entry host as seen by the responding host.
type HostStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// State is the membership state; Live tells whether the host counts as live.
	State string `json:"state"`
	Live  bool   `json:"live"`
	// Version is the configuration version in force there, as last reported.
	Version uint64 `json:"version"`
	// VersionAge is the time since Version was reported, in nanoseconds in JSON.
	VersionAge time.Duration `json:"version_age_ns"`
}

// TargetStatus is the state of one target as seen by the responding host.
type TargetStatus struct {
	Addr          netip.AddrPort `json:"addr"`
	FailureDomain string         `json:"failure_domain"`
	// State is the target's state in the balancer, for example ready or leaving.
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
	// RateLimit is the target's rate limit for all hosts together, in requests a
	// second; LimitReason says why there is one.
	RateLimit   float64 `json:"rate_limit,omitempty"`
	LimitReason string  `json:"limit_reason,omitempty"`
	// WarmupLeft is the rest of the warm-up that the target reported.
	WarmupLeft time.Duration `json:"warmup_left_ns,omitempty"`
}

// GroupOwner names the host that owns the targets of a pool in one failure
// domain, as seen by the responding host.
type GroupOwner struct {
	FailureDomain string `json:"failure_domain"`
	Host          string `json:"host"`
}

// PoolStatus is the state of one pool and its targets.
type PoolStatus struct {
	Name    string         `json:"name"`
	Service string         `json:"service,omitempty"`
	Targets []TargetStatus `json:"targets"`
	// Owners is empty when the responding host sends requests of the pool to the
	// targets itself.
	Owners []GroupOwner `json:"owners,omitempty"`
}

// Status is the response to StatusPath.
type Status struct {
	Host   HostStatus    `json:"host"`
	Config config.Status `json:"config"`
	Peers  []HostStatus  `json:"peers"`
	Pools  []PoolStatus  `json:"pools"`
}

// Lagging returns the names of the live hosts on which neither the given version
// nor a later one is in force, the responding host first.
func (s Status) Lagging(version uint64) []string {
	var names []string
	for _, h := range append([]HostStatus{s.Host}, s.Peers...) {
		if h.Live && h.Version < version {
			names = append(names, h.Name)
		}
	}
	return names
}
