package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/admin/api"
	"github.com/chestnutfield/chestnutfield/admin/client"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table"
)

// Run lists the rows of a table.
func (listCmd) Run(ctx context.Context, s *session) error {
	l, err := s.client.List(ctx, s.kind)
	if err != nil {
		return err
	}
	return s.print(l, func(w io.Writer) {
		s.printVersion(w, l)
		switch s.kind {
		case schema.Pools:
			writePools(w, l.Pools)
		case schema.Workspaces:
			writeWorkspaces(w, l)
		case schema.Domains:
			writeDomains(w, l.Evacuated)
		default:
			writeRoutes(w, l.Routes)
		}
	})
}

// Run shows a row as a section of the INI file.
func (cmd getCmd) Run(ctx context.Context, s *session) error {
	l, err := s.client.Get(ctx, s.kind, cmd.Name)
	if err != nil {
		return err
	}
	return s.print(l, func(w io.Writer) {
		s.printVersion(w, l)
		text := table.FormatPools(l.Pools)
		switch s.kind {
		case schema.Routes:
			text = table.FormatRoutes(l.Routes)
		case schema.Workspaces:
			text = table.FormatWorkspaces(l.Workspaces)
		}
		_, _ = w.Write(text)
	})
}

func (s *session) printVersion(w io.Writer, l api.Listing) {
	if l.Stale {
		fmt.Fprintf(w, "; the table service does not answer: version %d as in force on the asked host\n", l.Version)
		return
	}
	fmt.Fprintf(w, "; version %d\n", l.Version)
}

func writePools(w io.Writer, pools map[string]table.Pool) {
	t := newTable(w, "POOL", "TARGETS", "DRAINED", "PROBES/S")
	for _, name := range sortedKeys(pools) {
		p := pools[name]
		source := fmt.Sprint(len(p.Targets))
		if p.Service != "" {
			source = "service " + p.Service
		}
		t.row(name, source, fmt.Sprint(len(p.Drain)), fmt.Sprint(p.ProbeBudget))
	}
	t.flush()
}

func writeRoutes(w io.Writer, routes map[string]table.Route) {
	t := newTable(w, "ROUTE", "PREFIX", "METHODS", "CALLERS", "POOL", "CLASS", "TIMEOUT")
	for _, name := range sortedKeys(routes) {
		r := routes[name]
		t.row(name, r.Host+r.PathPrefix, orAny(r.Methods), orAny(r.Callers), r.Pool, string(r.Class), r.Timeout.String())
	}
	t.flush()
}

func orAny(items []string) string {
	if len(items) == 0 {
		return table.MatchAll
	}
	return strings.Join(items, ",")
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Run applies a file to a table.
func (cmd applyCmd) Run(ctx context.Context, s *session) error {
	data, name, err := s.readFile(cmd.File)
	if err != nil {
		s.exitCode = ExitRefused
		return err
	}
	res, err := s.client.Apply(ctx, s.changeOptions(cmd.changeFlags), name, data)
	if err != nil {
		return err
	}
	return s.printResult(res)
}

// Run evacuates a failure domain.
func (cmd evacuateCmd) Run(ctx context.Context, s *session) error {
	res, err := s.client.Evacuate(ctx, s.changeOptions(cmd.changeFlags), cmd.Name)
	if err != nil {
		return err
	}
	return s.printResult(res)
}

// Run deletes a row.
func (cmd deleteCmd) Run(ctx context.Context, s *session) error {
	res, err := s.client.Delete(ctx, s.changeOptions(cmd.changeFlags), cmd.Name)
	if err != nil {
		return err
	}
	return s.printResult(res)
}

// Run shows the outcome of an earlier change.
func (cmd changeCmd) Run(ctx context.Context, s *session) error {
	res, err := s.client.ChangeOutcome(ctx, cmd.ID, cmd.Base)
	if err != nil {
		return err
	}
	return s.printResult(res)
}

func (s *session) changeOptions(f changeFlags) client.ChangeOptions {
	if f.ChangeID == "" {
		f.ChangeID = s.NewChangeID()
	}
	return client.ChangeOptions{Table: s.kind, ChangeID: f.ChangeID, Author: f.Author, IfVersion: f.IfVersion}
}

// readFile reads a file, or standard input for "-", of at most
// table.MaxFileBytes. It reads one byte more at most, to detect a larger file.
func (s *session) readFile(path string) (data []byte, name string, err error) {
	in, name := s.In, "standard input"
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, "", errors.Wrap(err, "apply")
		}
		defer f.Close()
		in, name = f, filepath.Base(path)
	}
	data, err = io.ReadAll(io.LimitReader(in, table.MaxFileBytes+1))
	if err == nil && len(data) > table.MaxFileBytes {
		err = errors.Errorf("%s: expected at most %d bytes", name, table.MaxFileBytes)
	}
	return data, name, err
}

// printResult prints the result of a change and sets the exit code.
func (s *session) printResult(r command.Result) error {
	s.exitCode = exitCodes[r.State]
	if s.flags.Output == outputJSON {
		return s.printJSON(r)
	}
	switch r.State {
	case command.Accepted, command.Unchanged:
		fmt.Fprintf(s.Out, "%s version %d\n", r.State, r.Version)
	case command.Refused:
		fmt.Fprintf(s.Err, "refused, nothing changed:\n%s\n", r.Detail)
	case command.Conflict:
		fmt.Fprintf(s.Err, "conflict, nothing changed: %s; the accepted version is %d\n", r.Detail, r.Version)
	case command.Unknown:
		fmt.Fprintf(s.Err, "unknown: %s\nask again with: change %s --base %d\n", r.Detail, r.ChangeID, r.Base)
	default:
		fmt.Fprintf(s.Err, "%s, nothing changed: %s\n", r.State, r.Detail)
	}
	return nil
}

// Run lists the accepted changes.
func (cmd historyCmd) Run(ctx context.Context, s *session) error {
	h, err := s.client.History(ctx, s.kind, cmd.Limit)
	if err != nil {
		return err
	}
	return s.print(h, func(w io.Writer) {
		t := newTable(w, "VERSION", "TIME", "AUTHOR", "OPERATION", "ROWS", "CHANGE")
		for _, c := range h.Changes {
			t.row(fmt.Sprint(c.Version), c.Time.Format(time.RFC3339), c.Author, string(c.Operation), strings.Join(c.Names, ","), c.ID)
		}
		t.flush()
	})
}
