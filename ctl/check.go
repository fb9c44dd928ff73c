package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table"
	"github.com/chestnutfield/chestnutfield/table/check"
)

// Exit codes of "config check", which has others than the commands that change
// tables.
const (
	ExitFindings   = 1
	ExitUnreadable = 2
)

// maxCheckedBytes bounds a file of "config check". Parsers report INI files above
// their own bound; files in the platform's form have none.
const maxCheckedBytes = 64 << 20

type configCmd struct {
	Check checkCmd `cmd:"" help:"Check a configuration without sending it: what hosts refuse, what has no effect, and what differs."`
}

type checkCmd struct {
	Files   []string `arg:"" name:"file" help:"INI tables, or one file in the platform's JSON form; - for standard input. A table is recognised by its keys; pools=FILE, routes=FILE or workspaces=FILE names it."`
	Against []string `help:"Show the difference from the configuration in these files, or in force at an admin address." placeholder:"FILE|URL"`
}

// checkReport is the output of "config check".
type checkReport struct {
	Findings []check.Finding `json:"findings"`
	// Difference is nil when there is nothing to compare with, or when hosts refuse
	// the configuration.
	Difference []check.Change `json:"difference,omitzero"`
}

// Run checks a configuration.
func (cmd checkCmd) Run(ctx context.Context, s *session) error {
	s.exitCode = ExitUnreadable
	files, err := s.readFiles(cmd.Files)
	if err != nil {
		return err
	}
	c, findings, err := check.Check(files, s.Platform)
	if err != nil {
		return err
	}
	report := checkReport{Findings: append([]check.Finding{}, findings...)}
	if len(cmd.Against) > 0 {
		old, err := s.against(ctx, cmd.Against)
		if err != nil {
			return errors.Wrap(err, "--against")
		}
		if c != nil {
			report.Difference = append([]check.Change{}, check.Compare(old, c.Tables)...)
		}
	}
	s.exitCode = ExitOK
	if slices.ContainsFunc(findings, func(f check.Finding) bool { return f.Severity != check.Note }) {
		s.exitCode = ExitFindings
	}
	return s.print(report, func(w io.Writer) { writeReport(w, report) })
}

func writeReport(w io.Writer, r checkReport) {
	for _, f := range r.Findings {
		fmt.Fprintln(w, f)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintln(w, "no findings")
	}
	if r.Difference == nil {
		return
	}
	fmt.Fprintf(w, "difference: %d entries\n", len(r.Difference))
	for _, c := range r.Difference {
		fmt.Fprintln(w, strings.TrimSpace(fmt.Sprintf("%s %s %s", c.Action, c.Kind, c.Entry)))
		for _, k := range c.Keys {
			fmt.Fprintf(w, "  %s: %s -> %s\n", k.Key, lo.CoalesceOrEmpty(k.Old, "none"), lo.CoalesceOrEmpty(k.New, "none"))
		}
	}
}

// against returns the tables to compare with.
func (s *session) against(ctx context.Context, sources []string) (*table.Tables, error) {
	if len(sources) == 1 && isURL(sources[0]) {
		return s.tablesInForce(ctx, sources[0])
	}
	files, err := s.readFiles(sources)
	if err != nil {
		return nil, err
	}
	c, findings, err := check.Check(files, s.Platform)
	switch {
	case err != nil:
		return nil, err
	case c == nil:
		return nil, errors.Errorf("hosts refuse the configuration to compare with; first %s", findings[0])
	}
	return c.Tables, nil
}

func isURL(source string) bool {
	return strings.HasPrefix(source, "http://") || strings.HasPrefix(source, "https://")
}

// maxListAttempts bounds how often the tables are listed until all listings have
// one version, which changes between them prevent.
const maxListAttempts = 4

// tablesInForce returns the accepted tables, or those in force at the host if the
// table service does not answer.
func (s *session) tablesInForce(ctx context.Context, address string) (*table.Tables, error) {
	flags := *s.flags
	flags.Admin = address
	c, err := newClient(flags)
	if err != nil {
		return nil, err
	}
	for range maxListAttempts {
		pools, err := c.List(ctx, schema.Pools)
		if err != nil {
			return nil, err
		}
		routes, err := c.List(ctx, schema.Routes)
		if err != nil {
			return nil, err
		}
		workspaces, err := c.List(ctx, schema.Workspaces)
		if err != nil {
			return nil, err
		}
		if pools.Version != routes.Version || routes.Version != workspaces.Version {
			continue
		}
		t := &table.Tables{Version: pools.Version, Pools: pools.Pools, Routes: routes.Routes}
		if workspaces.KeysRequired {
			t.Workspaces = lo.Assign(workspaces.Workspaces)
		}
		return t, nil
	}
	return nil, errors.Errorf("%s: the tables changed during each of %d readings; expected one version", address, maxListAttempts)
}

// tableKinds are the names of tables that may precede a file.
var tableKinds = map[string]check.Kind{
	string(schema.Pools): check.Pool, string(schema.Routes): check.Route, string(schema.Workspaces): check.Workspace,
}

// readFiles reads the files of one configuration.
func (s *session) readFiles(paths []string) ([]check.File, error) {
	var out []check.File
	for _, path := range paths {
		var kind check.Kind
		if name, rest, ok := strings.Cut(path, "="); ok && tableKinds[name] != "" {
			kind, path = tableKinds[name], rest
		}
		data, name, err := s.readChecked(path)
		if err != nil {
			return nil, err
		}
		out = append(out, check.File{Name: name, Data: data, Kind: kind})
	}
	return out, nil
}

// readChecked reads one file, or standard input for "-".
func (s *session) readChecked(path string) (data []byte, name string, err error) {
	in, name := s.In, "standard input"
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, "", errors.WithStack(err)
		}
		defer f.Close()
		in, name = f, path
	}
	data, err = io.ReadAll(io.LimitReader(in, maxCheckedBytes+1))
	if err == nil && len(data) > maxCheckedBytes {
		err = errors.Errorf("%s: expected at most %d bytes", name, maxCheckedBytes)
	}
	return data, name, errors.WithStack(err)
}
