package check_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/platform"
	"github.com/chestnutfield/chestnutfield/table"
	"github.com/chestnutfield/chestnutfield/table/check"
)

var platformForm = check.Platform{Decode: platform.DecodeTables, RepeatedNames: platform.RepeatedNames}

// accepted reports whether the check accepts files, that is, finds no error.
func accepted(t interface{ Fatalf(string, ...any) }, files ...check.File) bool {
	c, findings, err := check.Check(files, platformForm)
	refused := false
	for _, f := range findings {
		refused = refused || f.Severity == check.Error
	}
	if (c == nil) != (refused || err != nil) {
		t.Fatalf("configuration %v with findings %v and error %v", c, findings, err)
	}
	return c != nil
}

// applyAll applies the tables to a deployment without any, as operators do, and
// returns the first refusal.
func applyAll(pools, routes, workspaces []byte) error {
	h := command.New(command.Options{Store: fake.NewTable(), Clock: clockwork.NewFakeClock()})
	for i, r := range []command.Request{
		{Table: schema.Pools, Data: pools}, {Table: schema.Routes, Data: routes}, {Table: schema.Workspaces, Data: workspaces},
	} {
		r.Operation, r.ChangeID, r.File = schema.Apply, fmt.Sprintf("change-%02d", i), string(r.Table)
		if res := h.Do(context.Background(), r); res.State != command.Accepted && res.State != command.Unchanged {
			return errors.New(string(res.State) + ": " + res.Detail)
		}
	}
	return nil
}

// FuzzTables guards against INI tables that the check accepts and a host refuses,
// and the reverse.
func FuzzTables(f *testing.F) {
	pools := []byte("[a]\nservice = a\n[b]\ntargets = 127.0.0.1:1@z\n")
	f.Add(pools, []byte("[r]\npath_prefix = /\npool = a\nclass = lookup\nidempotent = true\n"), []byte("[w]\nrank = 1"))
	f.Add(pools, []byte("[r]\npath_prefix = /\nsplit = a:1, b:2\nclass = order\n[s]\npath_prefix = /\npool = a\nclass = order"), []byte("[w]\nrank = 10"))
	f.Add([]byte("[a]\nservice = a"), []byte("[r]\npath_prefix = /\npool = none\nclass = batch"), []byte(""))
	f.Fuzz(func(t *testing.T, pools, routes, workspaces []byte) {
		for _, data := range [][]byte{pools, routes, workspaces} {
			if len(data) > table.MaxFileBytes {
				t.Skip()
			}
		}
		// The order of the files must make no difference.
		ok := accepted(t, check.File{Data: workspaces, Kind: check.Workspace}, check.File{Data: routes, Kind: check.Route},
			check.File{Data: pools, Kind: check.Pool})
		if err := applyAll(pools, routes, workspaces); ok != (err == nil) {
			t.Fatalf("accepted by the check: %v; by a host: %v", ok, err)
		}
		// Without named tables: a file is at most taken for another table and refused.
		if accepted(t, check.File{Data: pools}) {
			asPools, asWorkspaces := applyAll(pools, nil, nil), applyAll(nil, nil, pools)
			if asPools != nil && asWorkspaces != nil && platformRefuses(pools) {
				t.Fatalf("accepted by the check, and refused by a host: %v; %v", asPools, asWorkspaces)
			}
		}
	})
}

func platformRefuses(data []byte) bool {
	_, err := platform.DecodeTables(data)
	return err != nil
}

// FuzzPlatform guards against configurations in the platform's form that the check
// accepts and a host refuses, and the reverse; a host also refuses tables that it
// can't send on.
func FuzzPlatform(f *testing.F) {
	f.Add([]byte(`{"version":1,"services":[{"name":"a"}],"routes":[{"name":"r","prefix":"/","kind":"idempotent","service":"a"}]}`))
	f.Add([]byte(`{"version":1,"services":[{"name":"a"},{"name":"a"}],"routes":[{"name":"r","trafficSplit":[{"service":"a","weight":0}]}]}`))
	f.Add([]byte(`{"version":1,"tenants":[{"name":"w","apiKeys":["k"],"priority":3},{"name":"v","apiKeys":["k"]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) == 0 || data[0] != '{' {
			t.Skip()
		}
		tables, err := platform.DecodeTables(data)
		if err == nil {
			_, _, err = table.EncodeTransfer(tables)
		}
		if ok := accepted(t, check.File{Name: "op.json", Data: data}); ok != (err == nil) {
			t.Fatalf("accepted by the check: %v; by a host: %v", ok, err)
		}
	})
}
