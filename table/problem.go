package table

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault of a table file: where it stands and what was expected
// there.
type Problem struct {
	File    string `json:"file"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Found is what stands there, "" when nothing does.
	Found    string `json:"found,omitempty"`
	Expected string `json:"expected"`
}

// String describes the problem in one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Section != "" {
		fmt.Fprintf(&b, ": [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	if p.Found != "" {
		fmt.Fprintf(&b, ": found %q", clip(p.Found))
	}
	fmt.Fprintf(&b, ": expected %s", p.Expected)
	return b.String()
}

// maxQuoted bounds how much of a bad value a message repeats.
const maxQuoted = 120

func clip(s string) string {
	if len(s) <= maxQuoted {
		return s
	}
	return s[:maxQuoted] + "…"
}

// Problems are all faults found in one go. It is an error when not empty.
type Problems []Problem

// Error lists the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// orNil returns the problems, sorted, as an error; nil when there are none.
func (ps Problems) orNil() error {
	if len(ps) == 0 {
		return nil
	}
	sort.SliceStable(ps, func(i, j int) bool {
		if ps[i].Section != ps[j].Section {
			return ps[i].Section < ps[j].Section
		}
		return ps[i].Key < ps[j].Key
	})
	return ps
}
