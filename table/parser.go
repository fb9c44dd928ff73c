package table

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
	"gopkg.in/ini.v1"
)

// loadOptions make the INI library preserve what strict validation must see:
// repeated sections and repeated keys are kept separate, and values are not
// unquoted or continued over lines.
var loadOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	PreserveSurroundedQuote:    true,
	KeyValueDelimiters:         "=",
	ChildSectionDelimiter:      "\x00",
}

// fileParser parses one file and collects its problems.
type fileParser struct {
	file     string
	problems Problems
	// quotable are the keys whose values problems may repeat; nil means all. Other
	// values may be secrets in the wrong place.
	quotable []string
	// unknownKeys counts the keys that the table does not have.
	unknownKeys int
}

// sections splits a file into its sections. It reports a file that is too large
// or not in INI form, repeated or badly named sections, and keys outside any
// section.
func (p *fileParser) sections(data []byte) []*section {
	if len(data) > MaxFileBytes {
		p.addProblem("", "", strconv.Itoa(len(data))+" bytes", "at most "+strconv.Itoa(MaxFileBytes)+" bytes")
		return nil
	}
	f, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		p.addProblem("", "", lo.Ternary(p.quotable == nil, err.Error(), ""), "an INI file of [name] sections with key = value lines")
		return nil
	}
	var out []*section
	seen := map[string]bool{}
	for i, s := range f.Sections() {
		name := s.Name()
		if i == 0 && name == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		switch {
		case name == ini.DefaultSection:
			p.addProblem("", strings.Join(s.KeyStrings(), ", "), "", "every key inside a [name] section other than ["+ini.DefaultSection+"]")
			continue
		case seen[name]:
			p.addProblem(name, "", "", "one section of this name, it stands twice")
			continue
		case !validName(name):
			p.addProblem(name, "", "", "a section name of "+nameFormat)
			continue
		}
		seen[name] = true
		out = append(out, newSection(p, s))
	}
	return out
}

func (p *fileParser) addProblem(section, key, found, expected string) {
	p.problems = append(p.problems, Problem{File: p.file, Section: section, Key: key, Found: found, Expected: expected})
}

// section gives access to the keys of one section. knownKeys are the keys that
// were asked for, whether present or not.
type section struct {
	parser    *fileParser
	name      string
	values    map[string]string
	knownKeys map[string]bool
}

func newSection(parser *fileParser, s *ini.Section) *section {
	out := &section{parser: parser, name: s.Name(), values: map[string]string{}, knownKeys: map[string]bool{}}
	for _, k := range s.Keys() {
		if all := k.ValueWithShadows(); len(all) > 1 {
			out.addProblem(k.Name(), strings.Join(all, " | "), "the key once")
		}
		out.values[k.Name()] = strings.TrimSpace(k.Value())
	}
	return out
}

func (s *section) addProblem(key, found, expected string) {
	if quotable := s.parser.quotable; quotable != nil && !slices.Contains(quotable, key) {
		found = ""
	}
	s.parser.addProblem(s.name, key, found, expected)
}

// value returns the value of a key; ok is false when the key is absent.
func (s *section) value(key string) (string, bool) {
	s.knownKeys[key] = true
	v, ok := s.values[key]
	return v, ok
}

// required returns the value of a key that must be present and not empty;
// expected describes the value in the problem that is reported otherwise.
func (s *section) required(key, expected string) (string, bool) {
	v, _ := s.value(key)
	if v == "" {
		s.addProblem(key, "", expected+"; the key is required")
	}
	return v, v != ""
}

// rejectUnknownKeys reports the keys that were not read. It must be called after
// all keys that a section may have were read.
func (s *section) rejectUnknownKeys() {
	for key, value := range s.values {
		if !s.knownKeys[key] {
			s.parser.unknownKeys++
			s.addProblem(key, value, "one of the keys "+strings.Join(sortedKeys(s.knownKeys), ", "))
		}
	}
}

func (s *section) integer(key string, def, low, high int) int {
	v, ok := s.value(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		s.addProblem(key, v, "a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
		return def
	}
	return n
}

func (s *section) number(key string, def, high float64) float64 {
	v, ok := s.value(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= 0 && n <= high) {
		s.addProblem(key, v, "a number from 0 to "+strconv.FormatFloat(high, 'g', -1, 64))
		return def
	}
	return n
}

func (s *section) boolean(key string, def bool) bool {
	v, ok := s.value(key)
	if !ok {
		return def
	}
	if v != "true" && v != "false" {
		s.addProblem(key, v, "true or false")
	}
	return v == "true"
}

func (s *section) duration(key string, def, low time.Duration) time.Duration {
	v, ok := s.value(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > MaxTimeout {
		s.addProblem(key, v, "a duration such as 250ms or 2s, from "+low.String()+" to "+MaxTimeout.String())
		return def
	}
	return d
}

func (s *section) path(key string) string {
	v, ok := s.value(key)
	if ok && !validPath(v) {
		s.addProblem(key, v, pathFormat)
		return ""
	}
	return v
}

// list splits a comma-separated value; ok is false when the key is absent,
// empty or invalid. Empty and repeated items and more than limit items are
// reported as problems.
func (s *section) list(key, expected string, limit int) (items []string, ok bool) {
	v, present := s.value(key)
	if !present {
		return nil, false
	}
	items = lo.Map(strings.Split(v, ","), func(x string, _ int) string { return strings.TrimSpace(x) })
	if lo.Contains(items, "") {
		s.addProblem(key, v, expected)
		return nil, false
	}
	if len(items) > limit {
		s.addProblem(key, strconv.Itoa(len(items))+" items", "at most "+strconv.Itoa(limit)+" items")
		return nil, false
	}
	if duplicates := lo.FindDuplicates(items); len(duplicates) > 0 {
		s.addProblem(key, strings.Join(duplicates, ", "), "each item once")
		return nil, false
	}
	return items, true
}

func (s *section) addr(key, value string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" || a.Addr().IsUnspecified() {
		s.addProblem(key, value, "an address as IP:PORT, with an IP number and a port from 1 to 65535")
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
}
