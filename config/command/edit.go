package command

import (
	"encoding/binary"
	"reflect"
	"regexp"
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
	// Name is the name of the pool or route to delete; it is for Delete.
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
	case r.Table != schema.Pools && r.Table != schema.Routes:
		return table.Problems{{File: "request", Key: "table", Found: string(r.Table), Expected: "pools or routes"}}
	}
	return nil
}

// errNotFound means that the pool or route to delete does not exist.
var errNotFound = errors.New("no such row")

// edit returns the next version and the names of the pools or routes in the
// request; next is nil when nothing changes. The error is table.Problems or
// errNotFound. current is not modified.
func edit(current *table.Tables, r Request) (next *table.Tables, sections []string, err error) {
	next = current.Clone()
	next.Version++
	if r.Operation == schema.Delete {
		err = deleteSection(next, r)
		sections = []string{r.Name}
	} else {
		sections, err = upsert(next, r)
	}
	if err != nil {
		return nil, nil, err
	}
	if reflect.DeepEqual(next.Pools, current.Pools) && reflect.DeepEqual(next.Routes, current.Routes) {
		return nil, sections, nil
	}
	return next, sections, table.Validate(r.File, next)
}

// upsert adds the sections of the request's file to t, replacing those of the
// same name, and returns their names in order.
func upsert(t *table.Tables, r Request) ([]string, error) {
	var sections []string
	if r.Table == schema.Pools {
		pools, err := table.ParsePools(r.File, r.Data)
		if err != nil {
			return nil, err
		}
		sections = lo.Keys(pools)
		t.Pools = lo.Assign(t.Pools, pools)
	} else {
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

// deleteSection deletes the pool or route that the request names from t.
func deleteSection(t *table.Tables, r Request) error {
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
