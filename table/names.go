package table

import (
	"regexp"
	"sort"
	"strings"

	"github.com/samber/lo"
)

const (
	nameFormat = "1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or digit"
	pathFormat = "a path that begins with / and holds only URL path characters, at most 512 bytes"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	// hostPattern matches a host name or an IP number, without a port.
	hostPattern = regexp.MustCompile(`^(\[[0-9a-f:.]+\]|[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?)$`)
	pathPattern = regexp.MustCompile(`^/([A-Za-z0-9._~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2})*$`)
	// callerPattern matches a value of the X-Caller header.
	callerPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:@/-]{0,63}$`)
)

// validName excludes DEFAULT, the name under which the INI library lists keys
// outside of any section.
func validName(s string) bool { return namePattern.MatchString(s) && !strings.EqualFold(s, "DEFAULT") }

// ValidName reports whether s is a valid name of a pool, route, workspace, region or
// failure domain.
func ValidName(s string) bool { return validName(s) }

func validPath(s string) bool { return len(s) <= MaxPathBytes && pathPattern.MatchString(s) }

func sortedKeys[V any](m map[string]V) []string {
	keys := lo.Keys(m)
	sort.Strings(keys)
	return keys
}
