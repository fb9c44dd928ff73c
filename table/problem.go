package table

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one validation error: where it is, what was found and what was
// expected there.
type Problem struct {
	File    string `json:"file"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Found is the invalid value, "" when there is none.
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
		fmt.Fprintf(&b, ": found %q", truncate(p.Found))
	}
	fmt.Fprintf(&b, ": expected %s", p.Expected)
	return b.String()
}

// maxQuotedBytes bounds how much of an invalid value a message repeats.
const maxQuotedBytes = 120

func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return s[:maxQuotedBytes] + "…"
}

// Problems are all validation errors of one input. It implements error; an
// empty list means that there is no error.
type Problems []Problem

// Error lists the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// orNil returns the problems as an error, sorted by section and key, or nil
// when there are none.
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
