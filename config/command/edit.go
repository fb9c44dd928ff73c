package command

import (
	"encoding/binary"
	"reflect"
	"regexp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table"
)

// Request is one change that an operator asks for.
type Request struct {
	Table     schema.TableName
	Operation schema.Operation
	// File names the input in problems, Data is its INI text. Both are for
	// Apply.
	File string
	Data []byte
	// Name is the name of the pool, route or workspace to delete, or of the failure
	// domain to evacuate or restore. AllWorkspaces deletes the workspaces table.
	Name string
	// IfVersion, when set, is the version that must be the accepted one; else
	// the change ends in a conflict.
	IfVersion *uint64
	// ChangeID is unique to the change; a change that is sent again with the
	// same id is applied once.
	ChangeID string
	// Author is recorded in the history.
	Author string
}

const (
	maxAuthorBytes = 128
	changeIDFormat = "8 to 64 letters, digits, '-' or '_'"
)

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{8,64}$`)

// fingerprint returns a hash of the change itself: table, operation, name and
// data.
func (r Request) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{string(r.Table), string(r.Operation), r.Name, string(r.Data)} {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}

// validate returns table.Problems for an invalid change id, author or table.
// edit checks the data.
func (r Request) validate() error {
	switch {
	case !changeIDPattern.MatchString(r.ChangeID):
		return table.Problems{{File: "request", Key: "change", Found: r.ChangeID, Expected: "a change id of " + changeIDFormat}}
	case len(r.Author) > maxAuthorBytes:
		return table.Problems{{File: "request", Key: "author", Found: r.Author, Expected: "at most 128 bytes"}}
	case !lo.Contains(operations[r.Table], r.Operation):
		return table.Problems{{File: "request", Key: "table", Found: string(r.Operation) + " of " + string(r.Table),
			Expected: "apply or delete of pools, routes or workspaces, or evacuate or restore of domains"}}
	}
	return nil
}

// operations are the valid operations of each table.
var operations = map[schema.TableName][]schema.Operation{
	schema.Pools:      {schema.Apply, schema.Delete},
	schema.Routes:     {schema.Apply, schema.Delete},
	schema.Workspaces: {schema.Apply, schema.Delete},
	schema.Domains:    {schema.Evacuate, schema.Restore},
}

// errNotFound means that the pool or route to delete does not exist.
var errNotFound = errors.New("no such row")

// edit returns the next version and the names of the pools or routes in the
// request; next is nil when nothing changes. The error is table.Problems or
// errNotFound. current is not modified.
func edit(current *table.Tables, r Request) (next *table.Tables, sections []string, err error) {
	next = current.Clone()
	next.Version++
	sections = []string{r.Name}
	switch r.Operation {
	case schema.Delete:
		err = deleteSection(next, r)
	case schema.Evacuate:
		err = evacuate(next, r)
	case schema.Restore:
		err = restore(next, r)
	default:
		sections, err = upsert(next, r)
	}
	if err != nil {
		return nil, nil, err
	}
	if sameContent(next, current) {
		return nil, sections, nil
	}
	return next, sections, table.Validate(r.File, next)
}

// sameContent reports whether two versions differ in nothing but their number.
func sameContent(a, b *table.Tables) bool {
	return reflect.DeepEqual(a.Pools, b.Pools) && reflect.DeepEqual(a.Routes, b.Routes) &&
		reflect.DeepEqual(a.Workspaces, b.Workspaces) && slices.Equal(a.Evacuated, b.Evacuated)
}

// upsert adds the sections of the request's file to t, replacing those of the
// same name, and returns their names in order.
func upsert(t *table.Tables, r Request) ([]string, error) {
	var sections []string
	switch r.Table {
	case schema.Pools:
		pools, err := table.ParsePools(r.File, r.Data)
		if err != nil {
			return nil, err
		}
		sections = lo.Keys(pools)
		t.Pools = lo.Assign(t.Pools, pools)
	case schema.Workspaces:
		workspaces, err := table.ParseWorkspaces(r.File, r.Data)
		if err != nil {
			return nil, err
		}
		sections = lo.Keys(workspaces)
		t.Workspaces = lo.Assign(t.Workspaces, workspaces)
	default:
		routes, err := table.ParseRoutes(r.File, r.Data)
		if err != nil {
			return nil, err
		}
		sections = lo.Keys(routes)
		t.Routes = lo.Assign(t.Routes, routes)
	}
	sort.Strings(sections)
	return sections, nil
}

// deleteSection deletes the pool, route or workspace that the request names from t.
func deleteSection(t *table.Tables, r Request) error {
	if r.Table == schema.Workspaces {
		return deleteWorkspace(t, r.Name)
	}
	if r.Table == schema.Routes {
		if _, ok := t.Routes[r.Name]; !ok {
			return errNotFound
		}
		delete(t.Routes, r.Name)
		return nil
	}
	if _, ok := t.Pools[r.Name]; !ok {
		return errNotFound
	}
	delete(t.Pools, r.Name)
	return table.ValidatePoolDelete(string(schema.Pools), t, r.Name)
}
