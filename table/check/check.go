// Package check examines a configuration before it is sent to hosts. Errors are
// what hosts refuse, found by the parsers and the validation that hosts run.
// Warnings are entries that have no effect and limits that contradict each other.
// Compare returns the difference between two configurations by meaning. The
// package does no I/O.
package check

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// Severity is the weight of a finding.
type Severity string

// The severities, from the gravest.
const (
	// Error is a fault for which hosts refuse the configuration.
	Error Severity = "error"
	// Warning is a fault that hosts accept.
	Warning Severity = "warning"
	// Note is a state that is often intended.
	Note Severity = "note"
)

var severityOrder = map[Severity]int{Error: 0, Warning: 1, Note: 2}

// Kind is the kind of an entry of the configuration.
type Kind string

// The kinds of entries.
const (
	Pool      Kind = "pool"
	Route     Kind = "route"
	Workspace Kind = "workspace"
)

// Finding is one fault of a configuration and its place.
type Finding struct {
	Severity Severity `json:"severity"`
	File     string   `json:"file"`
	// Kind and Entry identify the entry, Key its key; they are empty for faults of
	// the file as a whole. Kind is also empty when hosts name the entry alone and
	// entries of several kinds have its name.
	Kind   Kind   `json:"kind,omitempty"`
	Entry  string `json:"entry,omitempty"`
	Key    string `json:"key,omitempty"`
	Reason string `json:"reason"`
}

// String describes the finding in one line.
func (f Finding) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s: ", f.Severity, f.File)
	if f.Entry != "" {
		fmt.Fprintf(&b, "%s[%s] ", lo.Ternary(f.Kind == "", "", string(f.Kind)+" "), f.Entry)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	return b.String() + f.Reason
}

// Check reads the files of one configuration and examines it. The Configuration is
// nil when hosts refuse it; only the errors are returned then, because entries that
// were read in part would cause misleading warnings. The error means that the files
// can't be understood as a configuration at all.
func Check(files []File, p Platform) (*Configuration, []Finding, error) {
	c, findings, err := read(files, p)
	if err != nil || c == nil {
		return nil, findings, err
	}
	findings = append(findings, c.unreachable()...)
	findings = append(findings, c.contradictions()...)
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(severityOrder[a.Severity], severityOrder[b.Severity]) })
	return c, findings, nil
}

// finding returns a finding about an entry of the configuration.
func (c *Configuration) finding(severity Severity, kind Kind, entry, key, format string, args ...any) Finding {
	return Finding{Severity: severity, File: c.files[entryID{kind, entry}], Kind: kind, Entry: entry, Key: key,
		Reason: fmt.Sprintf(format, args...)}
}
