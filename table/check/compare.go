package check

import (
	"slices"

	"github.com/chestnutfield/chestnutfield/table"
)

// Action says how an entry differs between two configurations.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// The kinds of changes that are not about one entry.
const (
	// WorkspacesTable is the table of workspaces as a whole, with which requests
	// need keys.
	WorkspacesTable Kind = "workspaces table"
	// CallerLimits are the limits on what callers send.
	CallerLimits Kind = "limits"
)

// Change is an entry that differs between two configurations.
type Change struct {
	Action Action `json:"action"`
	Kind   Kind   `json:"kind"`
	Entry  string `json:"entry,omitempty"`
	// Keys are the keys with different values, of a changed entry only.
	Keys []KeyChange `json:"keys,omitempty"`
}

// KeyChange is a key with different values; "" is no value.
type KeyChange struct {
	Key string `json:"key"`
	Old string `json:"old"`
	New string `json:"new"`
}

// Compare returns how next differs from old by meaning: the order of entries and
// lists, defaults and spelling make no difference. Digests of keys are shortened in
// the result and compared in full. Evacuated failure domains are not compared, as
// they are state and no configuration.
func Compare(old, next *table.Tables) []Change {
	out := compareEntries(Pool, old.Pools, next.Pools, poolFields)
	out = append(out, compareEntries(Route, old.Routes, next.Routes, routeFields)...)
	switch {
	case old.Workspaces == nil && next.Workspaces != nil:
		out = append(out, Change{Action: Added, Kind: WorkspacesTable})
	case old.Workspaces != nil && next.Workspaces == nil:
		out = append(out, Change{Action: Removed, Kind: WorkspacesTable})
	}
	out = append(out, compareEntries(Workspace, old.Workspaces, next.Workspaces, workspaceFields)...)
	if keys := compareFields(limitsFields(old.Limits), limitsFields(next.Limits)); len(keys) > 0 {
		out = append(out, Change{Action: Changed, Kind: CallerLimits, Keys: keys})
	}
	return out
}

func compareEntries[V any](kind Kind, old, next map[string]V, fields func(V) []field) []Change {
	var out []Change
	names := slices.Compact(slices.Sorted(slices.Values(append(sortedKeys(old), sortedKeys(next)...))))
	for _, name := range names {
		before, inOld := old[name]
		after, inNext := next[name]
		switch {
		case !inOld:
			out = append(out, Change{Action: Added, Kind: kind, Entry: name})
		case !inNext:
			out = append(out, Change{Action: Removed, Kind: kind, Entry: name})
		default:
			if keys := compareFields(fields(before), fields(after)); len(keys) > 0 {
				out = append(out, Change{Action: Changed, Kind: kind, Entry: name, Keys: keys})
			}
		}
	}
	return out
}

// compareFields compares two entries of one kind, whose fields have the same order.
func compareFields(old, next []field) []KeyChange {
	var out []KeyChange
	for i, f := range next {
		if old[i].identity != f.identity {
			out = append(out, KeyChange{Key: f.key, Old: old[i].text, New: f.text})
		}
	}
	return out
}
