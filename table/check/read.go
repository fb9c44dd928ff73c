package check

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/table"
)

// File is one input file.
type File struct {
	// Name is the name of the file in findings.
	Name string
	Data []byte
	// Kind is the kind of the entries of an INI file; "" selects the table that
	// has most of the file's keys.
	Kind Kind
}

// Platform are the functions for a configuration in the platform's form, of which
// this package knows nothing but that it is a JSON object. A Platform without
// functions refuses this form.
type Platform struct {
	// Decode decodes and validates the configuration as hosts do. It may return
	// the tables also with an error.
	Decode func(data []byte) (*table.Tables, error)
	// RepeatedNames returns the names that several entries of a kind have, of
	// which Decode takes the last.
	RepeatedNames func(data []byte) (pools, routes, workspaces []string)
}

// Configuration is a configuration that hosts accept.
type Configuration struct {
	Tables *table.Tables
	files  map[entryID]string
}

// entryID identifies an entry: pools, routes and workspaces may share names.
type entryID struct {
	kind Kind
	name string
}

// reading is a configuration while its files are read.
type reading struct {
	Configuration
	names    []string
	findings []Finding
}

// read returns the configuration, or nil and errors if hosts refuse it.
func read(files []File, p Platform) (*Configuration, []Finding, error) {
	r := &reading{
		Configuration: Configuration{Tables: table.Empty(), files: map[entryID]string{}},
		names:         lo.Map(files, func(f File, _ int) string { return f.Name }),
	}
	if slices.ContainsFunc(files, isPlatform) {
		if len(files) > 1 {
			return nil, nil, errors.Errorf("%s: a configuration in JSON is one file; expected no other", strings.Join(r.names, ", "))
		}
		if p.Decode == nil {
			return nil, nil, errors.Errorf("%s: JSON can't be decoded here; expected INI files", files[0].Name)
		}
		return r.platform(files[0], p)
	}
	// Hosts are given pools before the routes that use them, whatever the order of
	// the files.
	for _, f := range files {
		if err := r.ini(f); err != nil {
			return nil, nil, err
		}
	}
	if slices.ContainsFunc(r.findings, isError) {
		return nil, r.findings, nil
	}
	r.refused(table.Validate("", r.Tables), "", "")
	r.checkSize(encodeRow)
	return r.result()
}

// isPlatform reports whether a file is in the platform's form, a JSON object. No
// INI file that hosts accept begins with a brace.
func isPlatform(f File) bool { return bytes.HasPrefix(bytes.TrimSpace(f.Data), []byte("{")) }

func isError(f Finding) bool { return f.Severity == Error }

// platform reads a configuration in the platform's form.
func (r *reading) platform(f File, p Platform) (*Configuration, []Finding, error) {
	t, err := p.Decode(f.Data)
	if t != nil {
		r.Tables = t
		r.add(f.Name, Pool, lo.Keys(t.Pools))
		r.add(f.Name, Route, lo.Keys(t.Routes))
		r.add(f.Name, Workspace, lo.Keys(t.Workspaces))
	}
	r.refused(err, f.Name, "")
	r.checkSize(encodeTransfer)
	if p.RepeatedNames != nil && err == nil {
		pools, routes, workspaces := p.RepeatedNames(f.Data)
		r.repeated(f.Name, Pool, pools)
		r.repeated(f.Name, Route, routes)
		r.repeated(f.Name, Workspace, workspaces)
	}
	return r.result()
}

func (r *reading) result() (*Configuration, []Finding, error) {
	if slices.ContainsFunc(r.findings, isError) {
		return nil, r.findings, nil
	}
	return &r.Configuration, r.findings, nil
}

// ini adds an INI file to the tables. A later file replaces the entries that it
// shares with an earlier one, as applying it does.
func (r *reading) ini(f File) error {
	kind := cmp.Or(f.Kind, detectKind(f))
	var names []string
	switch kind {
	case Pool:
		pools, err := table.ParsePools(f.Name, f.Data)
		r.refused(withoutSecrets(f, err), f.Name, kind)
		r.Tables.Pools, names = lo.Assign(r.Tables.Pools, pools), lo.Keys(pools)
	case Route:
		routes, err := table.ParseRoutes(f.Name, f.Data)
		r.refused(withoutSecrets(f, err), f.Name, kind)
		r.Tables.Routes, names = lo.Assign(r.Tables.Routes, routes), lo.Keys(routes)
	case Workspace:
		workspaces, err := table.ParseWorkspaces(f.Name, f.Data)
		r.refused(err, f.Name, kind)
		r.Tables.Workspaces, names = lo.Assign(r.Tables.Workspaces, workspaces), lo.Keys(workspaces)
	default:
		return errors.Errorf("%s: the file names no entry, so its table is unknown; expected pools=FILE, routes=FILE or workspaces=FILE", f.Name)
	}
	r.add(f.Name, kind, names)
	return nil
}

// withoutSecrets removes the values from the problems of a file that was read as
// pools or routes and looks like workspaces, whose values may be keys.
func withoutSecrets(f File, err error) error {
	var problems table.Problems
	if !errors.As(err, &problems) {
		return err
	}
	if pools, routes, workspaces := table.UnknownKeys(f.Data); workspaces >= min(pools, routes) {
		return err
	}
	return table.Problems(lo.Map(problems, func(p table.Problem, _ int) table.Problem {
		p.Found = ""
		return p
	}))
}

// detectKind returns the kind of the entries of an INI file: of the table that has
// most of its keys, else of the one with the fewest problems. Workspaces come first
// among equals, because their problems repeat no values. It returns "" for a file
// without any section, which is a valid file of each table.
func detectKind(f File) Kind {
	pools, routes, workspaces := table.UnknownKeys(f.Data)
	fewest := min(pools, routes, workspaces)
	var candidates []Kind
	for _, c := range []struct {
		kind    Kind
		unknown int
	}{{Workspace, workspaces}, {Pool, pools}, {Route, routes}} {
		if c.unknown == fewest {
			candidates = append(candidates, c.kind)
		}
	}
	if len(candidates) == 1 {
		return candidates[0]
	}
	if entries, err := table.ParsePools(f.Name, f.Data); err == nil && len(entries) == 0 {
		return ""
	}
	return lo.MinBy(candidates, func(a, b Kind) bool { return countProblems(f, a) < countProblems(f, b) })
}

// countProblems returns the number of problems of a file as a table.
func countProblems(f File, kind Kind) int {
	var err error
	switch kind {
	case Pool:
		_, err = table.ParsePools(f.Name, f.Data)
	case Route:
		_, err = table.ParseRoutes(f.Name, f.Data)
	default:
		_, err = table.ParseWorkspaces(f.Name, f.Data)
	}
	var problems table.Problems
	_ = errors.As(err, &problems)
	return len(problems)
}

// repeated warns of names that several entries of a file have.
func (r *reading) repeated(file string, kind Kind, names []string) {
	for _, name := range names {
		r.findings = append(r.findings, Finding{Severity: Warning, File: file, Kind: kind, Entry: name,
			Reason: "several entries have this name; all but the last have no effect"})
	}
}

// add records the file of entries and warns of those that it replaces.
func (r *reading) add(file string, kind Kind, names []string) {
	slices.Sort(names)
	for _, name := range names {
		id := entryID{kind, name}
		if earlier, ok := r.files[id]; ok {
			r.findings = append(r.findings, Finding{Severity: Warning, File: file, Kind: kind, Entry: name,
				Reason: "replaces the entry of the same name in " + earlier})
		}
		r.files[id] = file
	}
}

// refused adds the errors for which hosts refuse the configuration. file and kind
// are empty where the error is about all files.
func (r *reading) refused(err error, file string, kind Kind) {
	var problems table.Problems
	switch {
	case err == nil:
	case errors.As(err, &problems):
		for _, p := range problems {
			f := Finding{Severity: Error, File: file, Kind: kind, Entry: p.Section, Key: p.Key,
				Reason: strings.TrimPrefix(table.Problem{Found: p.Found, Expected: p.Expected}.String(), ": ")}
			r.findings = append(r.findings, r.locate(f))
		}
	default:
		r.findings = append(r.findings, Finding{Severity: Error, File: cmp.Or(file, strings.Join(r.names, ", ")), Reason: err.Error()})
	}
}

// locate completes the place of an error with the kind and file of its entry, if
// only one entry has its name.
func (r *reading) locate(f Finding) Finding {
	var found []entryID
	for _, kind := range []Kind{Pool, Route, Workspace} {
		if _, ok := r.files[entryID{kind, f.Entry}]; ok && f.Kind == "" {
			found = append(found, entryID{kind, f.Entry})
		}
	}
	if len(found) == 1 {
		f.Kind, f.File = found[0].kind, r.files[found[0]]
	}
	f.File = cmp.Or(f.File, strings.Join(r.names, ", "))
	return f
}

// checkSize checks that the tables fit into the form in which hosts keep them in a row of
// the table service, or send them to each other.
func (r *reading) checkSize(encode func(*table.Tables) error) {
	if !slices.ContainsFunc(r.findings, isError) {
		r.refused(encode(r.Tables), "", "")
	}
}

func encodeRow(t *table.Tables) error {
	_, err := table.Encode(t)
	return err
}

func encodeTransfer(t *table.Tables) error {
	_, _, err := table.EncodeTransfer(t)
	return err
}
