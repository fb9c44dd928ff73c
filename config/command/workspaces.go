package command

import (
	"slices"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table"
)

// AllWorkspaces is the name whose deletion removes the workspaces table, after which
// requests need no keys. No workspace can have it.
const AllWorkspaces = table.MatchAll

// deleteWorkspace deletes a workspace. The table stays when its last workspace is
// deleted: requests then still need a key, and no key is valid.
func deleteWorkspace(t *table.Tables, name string) error {
	if name == AllWorkspaces && t.Workspaces != nil {
		t.Workspaces = nil
		return nil
	}
	if _, ok := t.Workspaces[name]; !ok {
		return errNotFound
	}
	delete(t.Workspaces, name)
	return nil
}

// evacuate adds the failure domain that the request names to the evacuated ones.
func evacuate(t *table.Tables, r Request) error {
	if !table.ValidName(r.Name) {
		return table.Problems{{File: string(schema.Domains), Found: r.Name, Expected: "the name of a failure domain"}}
	}
	t.Evacuated = lo.Uniq(append(slices.Clone(t.Evacuated), r.Name))
	slices.Sort(t.Evacuated)
	return nil
}

// restore removes the failure domain that the request names from the evacuated ones.
func restore(t *table.Tables, r Request) error {
	if !slices.Contains(t.Evacuated, r.Name) {
		return errNotFound
	}
	t.Evacuated = lo.Without(t.Evacuated, r.Name)
	if len(t.Evacuated) == 0 {
		t.Evacuated = nil
	}
	return nil
}
