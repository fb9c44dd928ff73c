package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

const outputJSON = "json"

// print writes a value as JSON, or as text by the function text.
func (s *session) print(v any, text func(w io.Writer)) error {
	if s.flags.Output == outputJSON {
		return s.printJSON(v)
	}
	text(s.Out)
	return nil
}

func (s *session) printJSON(v any) error {
	e := json.NewEncoder(s.Out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "output")
}

// textTable writes rows with aligned columns.
type textTable struct{ w *tabwriter.Writer }

const columnPadding = 2

func newTable(w io.Writer, columns ...string) textTable {
	t := textTable{tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)}
	t.row(columns...)
	return t
}

func (t textTable) row(cells ...string) {
	for i, c := range cells {
		if c == "" {
			cells[i] = "-"
		}
	}
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t textTable) flush() { _ = t.w.Flush() }
