package table

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"reflect"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// Names are the names of entries of tables.
type Names struct{ Pools, Routes, Workspaces []string }

// Count returns the number of names.
func (n Names) Count() int { return len(n.Pools) + len(n.Routes) + len(n.Workspaces) }

// ChangedNames returns the names of the entries in which two tables differ.
func ChangedNames(before, after *Tables) Names {
	return Names{
		Pools:      changedNames(before.Pools, after.Pools),
		Routes:     changedNames(before.Routes, after.Routes),
		Workspaces: changedNames(before.Workspaces, after.Workspaces),
	}
}

func changedNames[V any](before, after map[string]V) (names []string) {
	for name, value := range after {
		if old, ok := before[name]; !ok || !reflect.DeepEqual(&old, &value) {
			names = append(names, name)
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// Changes turn tables of one content into a later version. They are small when few
// entries differ.
type Changes struct {
	// Base is the Digest of the tables that the changes apply to.
	Base uint64 `json:"base"`
	// Tables are the later version with only the entries that differ.
	Tables *Tables `json:"tables"`
	// Removed are the entries that the later version doesn't have.
	Removed Names `json:"removed"`
}

// NewChanges returns the changes that turn tables with the digest base into t, in
// which at most the named entries differ.
func NewChanges(base uint64, names Names, t *Tables) Changes {
	c := Changes{Base: base, Tables: t.WithEvacuated(t.Evacuated, t.EvacuatedVersion)}
	c.Tables.Pools, c.Removed.Pools = pick(t.Pools, names.Pools)
	c.Tables.Routes, c.Removed.Routes = pick(t.Routes, names.Routes)
	c.Tables.Workspaces, c.Removed.Workspaces = pick(t.Workspaces, names.Workspaces)
	if t.Workspaces == nil {
		c.Tables.Workspaces = nil
	}
	return c
}

// Names returns the names of all entries that differ.
func (c Changes) Names() Names {
	return Names{
		Pools:      append(lo.Keys(c.Tables.Pools), c.Removed.Pools...),
		Routes:     append(lo.Keys(c.Tables.Routes), c.Removed.Routes...),
		Workspaces: append(lo.Keys(c.Tables.Workspaces), c.Removed.Workspaces...),
	}
}

// pick returns the entries of m with the given names, and the names that it lacks.
func pick[V any](m map[string]V, names []string) (found map[string]V, missing []string) {
	found = make(map[string]V, len(names))
	for _, name := range names {
		if value, ok := m[name]; ok {
			found[name] = value
		} else {
			missing = append(missing, name)
		}
	}
	return found, missing
}

// Apply returns the later version. It shares with base, whose digest must be c.Base, the
// entries that are equal.
func (c Changes) Apply(base *Tables) *Tables {
	t := c.Tables.WithEvacuated(c.Tables.Evacuated, c.Tables.EvacuatedVersion)
	t.Pools = patch(base.Pools, c.Tables.Pools, c.Removed.Pools)
	t.Routes = patch(base.Routes, c.Tables.Routes, c.Removed.Routes)
	if c.Tables.Workspaces != nil {
		t.Workspaces = patch(base.Workspaces, c.Tables.Workspaces, c.Removed.Workspaces)
	}
	return t
}

func patch[V any](base, changed map[string]V, removed []string) map[string]V {
	out := make(map[string]V, len(base)+len(changed))
	maps.Copy(out, base)
	maps.Copy(out, changed)
	for _, name := range removed {
		delete(out, name)
	}
	return out
}

// changesMark precedes encoded changes; encoded tables begin with that of gzip.
const changesMark = 'C'

// EncodeChanges returns the form of changes in which hosts send them to each other.
func EncodeChanges(c Changes) ([]byte, error) {
	b := bytes.NewBuffer([]byte{changesMark})
	z, err := gzip.NewWriterLevel(b, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	if err := json.NewEncoder(z).Encode(c); err != nil {
		return nil, errors.Wrap(err, "encode changes of tables")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	return b.Bytes(), nil
}

// IsChanges reports whether data is the output of EncodeChanges, not of EncodeTransfer.
func IsChanges(data []byte) bool { return len(data) > 0 && data[0] == changesMark }

// DecodeChanges decodes the output of EncodeChanges. It returns ErrTooLarge when the JSON
// exceeds MaxTransferBytes.
func DecodeChanges(data []byte) (c Changes, err error) {
	if !IsChanges(data) {
		return c, errors.New("decode changes of tables: got another form")
	}
	z, err := gzip.NewReader(bytes.NewReader(data[1:]))
	if err != nil {
		return c, errors.Wrap(err, "gunzip changes of tables")
	}
	plain, err := io.ReadAll(&limitedReader{from: z, left: MaxTransferBytes})
	if err != nil {
		return c, errors.Wrap(err, "gunzip changes of tables")
	}
	if err := json.Unmarshal(plain, &c); err != nil {
		return c, errors.Wrap(err, "decode changes of tables")
	}
	if c.Tables == nil || c.Tables.Pools == nil || c.Tables.Routes == nil {
		return c, errors.New("decode changes of tables: expected pools and routes")
	}
	return c, nil
}

// Digest returns a hash over the pools, routes, workspaces and limits of tables. Tables of
// one version may differ: of a store that was restored, or decoded by another release.
func Digest(t *Tables) (uint64, error) {
	d := digester{}
	digestMap(&d, "pool", t.Pools)
	digestMap(&d, "route", t.Routes)
	digestMap(&d, "workspace", t.Workspaces)
	d.addRest(t)
	return d.sum, d.err
}

// UpdateDigest returns the digest of tables that differ from others, whose digest is
// given, at most in the named entries and outside of all entries.
func UpdateDigest(digest uint64, before, after *Tables, names Names) (uint64, error) {
	part := func(t *Tables) digester {
		c, d := NewChanges(0, names, t).Tables, digester{}
		digestMap(&d, "pool", c.Pools)
		digestMap(&d, "route", c.Routes)
		digestMap(&d, "workspace", c.Workspaces)
		d.addRest(t)
		return d
	}
	old, next := part(before), part(after)
	if old.err != nil {
		return 0, old.err
	}
	return digest - old.sum + next.sum, next.err
}

// digester adds up the hashes of entries, so that their order doesn't matter.
type digester struct {
	sum uint64
	err error
}

func (d *digester) add(kind string, value any) {
	plain, err := json.Marshal(value)
	if err != nil {
		d.err = errors.Wrap(err, "digest of tables")
		return
	}
	d.sum += xxhash.Sum64(append([]byte(kind), plain...))
}

// addRest adds what is not part of an entry.
func (d *digester) addRest(t *Tables) {
	d.add("limits", t.Limits)
	d.add("keys required", t.Workspaces != nil)
}

func digestMap[V any](d *digester, kind string, m map[string]V) {
	for name, value := range m {
		d.add(kind+" "+name, &value)
	}
}
