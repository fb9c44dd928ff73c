package command

import (
	"encoding/binary"
	"reflect"
	"regexp"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/config/rows"
	"github.com/chestnutfield/chestnutfield/table"
)

// Request is one change that an operator asks for.
type Request struct {
	Table     rows.Kind
	Operation rows.Operation
	// File names the input in problems, Data is its text. Both are for Apply.
	File string
	Data []byte
	// Name is the row to delete.
	Name string
	// IfVersion, when set, refuses with a conflict unless it is the accepted
	// version.
	IfVersion *uint64
	// ChangeID is unique to the change; sent again it is applied once.
	ChangeID string
	// Author is recorded in the history.
	Author string
}

const (
	maxAuthorBytes = 128
	changeIDRule   = "8 to 64 letters, digits, '-' or '_'"
)

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{8,64}$`)

// fingerprint is a hash of what the request asks for.
func (r Request) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{string(r.Table), string(r.Operation), r.Name, string(r.Data)} {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}

// check refuses a request whose envelope is wrong.
func (r Request) check() error {
	switch {
	case !changeIDPattern.MatchString(r.ChangeID):
		return table.Problems{{File: "request", Key: "change", Found: r.ChangeID, Expected: "a change id of " + changeIDRule}}
	case len(r.Author) > maxAuthorBytes:
		return table.Problems{{File: "request", Key: "author", Found: r.Author, Expected: "at most 128 bytes"}}
	case r.Table != rows.Pools && r.Table != rows.Routes:
		return table.Problems{{File: "request", Key: "table", Found: string(r.Table), Expected: "pools or routes"}}
	}
	return nil
}

// errNotFound: the row to delete does not exist.
var errNotFound = errors.New("no such row")

// edit returns the next version and the names it touches; next is nil when
// nothing changes. The error is table.Problems or errNotFound. current is not
// touched.
func edit(current *table.Tables, r Request) (next *table.Tables, touched []string, err error) {
	next = current.Clone()
	next.Version++
	if r.Operation == rows.Delete {
		err = remove(next, r)
		touched = []string{r.Name}
	} else {
		touched, err = upsert(next, r)
	}
	if err != nil {
		return nil, nil, err
	}
	if reflect.DeepEqual(next.Pools, current.Pools) && reflect.DeepEqual(next.Routes, current.Routes) {
		return nil, touched, nil
	}
	return next, touched, table.Validate(r.File, next)
}

func upsert(t *table.Tables, r Request) ([]string, error) {
	var touched []string
	if r.Table == rows.Pools {
		pools, err := table.ParsePools(r.File, r.Data)
		if err != nil {
			return nil, err
		}
		touched = lo.Keys(pools)
		t.Pools = lo.Assign(t.Pools, pools)
	} else {
		routes, err := table.ParseRoutes(r.File, r.Data)
		if err != nil {
			return nil, err
		}
		touched = lo.Keys(routes)
		t.Routes = lo.Assign(t.Routes, routes)
	}
	sort.Strings(touched)
	return touched, nil
}

func remove(t *table.Tables, r Request) error {
	if r.Table == rows.Routes {
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
	return table.ValidateDelete(string(rows.Pools), t, r.Name)
}
