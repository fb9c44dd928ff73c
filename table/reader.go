package table

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
	"gopkg.in/ini.v1"
)

// loadOptions make the INI reader keep what a strict check needs to see:
// repeated sections and repeated keys are kept apart, and values are raw.
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

// reader collects the problems of one file.
type reader struct {
	file     string
	problems Problems
}

// sections splits a file into its sections, reporting repeated ones and keys
// outside any section.
func (r *reader) sections(data []byte) []*section {
	if len(data) > MaxFileBytes {
		r.fault("", "", strconv.Itoa(len(data))+" bytes", "at most "+strconv.Itoa(MaxFileBytes)+" bytes")
		return nil
	}
	f, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		r.fault("", "", err.Error(), "an INI file of [name] sections with key = value lines")
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
			r.fault("", strings.Join(s.KeyStrings(), ", "), "", "every key inside a [name] section other than ["+ini.DefaultSection+"]")
			continue
		case seen[name]:
			r.fault(name, "", "", "one section of this name, it stands twice")
			continue
		case !validName(name):
			r.fault(name, "", "", "a section name of "+nameRule)
			continue
		}
		seen[name] = true
		out = append(out, newSection(r, s))
	}
	return out
}

func (r *reader) fault(section, key, found, expected string) {
	r.problems = append(r.problems, Problem{File: r.file, Section: section, Key: key, Found: found, Expected: expected})
}

// section reads the keys of one section and remembers which were asked for.
type section struct {
	r      *reader
	name   string
	values map[string]string
	known  map[string]bool
}

func newSection(r *reader, s *ini.Section) *section {
	out := &section{r: r, name: s.Name(), values: map[string]string{}, known: map[string]bool{}}
	for _, k := range s.Keys() {
		if all := k.ValueWithShadows(); len(all) > 1 {
			r.fault(out.name, k.Name(), strings.Join(all, " | "), "the key once")
		}
		out.values[k.Name()] = strings.TrimSpace(k.Value())
	}
	return out
}

func (s *section) fault(key, found, expected string) { s.r.fault(s.name, key, found, expected) }

// raw returns the value of a key; ok is false when the key is absent.
func (s *section) raw(key string) (string, bool) {
	s.known[key] = true
	v, ok := s.values[key]
	return v, ok
}

// required is raw for a key that must be there and not be empty.
func (s *section) required(key, expected string) (string, bool) {
	v, _ := s.raw(key)
	if v == "" {
		s.fault(key, "", expected+"; the key is required")
	}
	return v, v != ""
}

// finish reports the keys that nobody asked for.
func (s *section) finish() {
	for key, value := range s.values {
		if !s.known[key] {
			s.fault(key, value, "one of the keys "+strings.Join(sortedKeys(s.known), ", "))
		}
	}
}

func (s *section) integer(key string, def, low, high int) int {
	v, ok := s.raw(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		s.fault(key, v, "a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
		return def
	}
	return n
}

func (s *section) number(key string, def, high float64) float64 {
	v, ok := s.raw(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= 0 && n <= high) {
		s.fault(key, v, "a number from 0 to "+strconv.FormatFloat(high, 'g', -1, 64))
		return def
	}
	return n
}

func (s *section) boolean(key string, def bool) bool {
	v, ok := s.raw(key)
	if !ok {
		return def
	}
	if v != "true" && v != "false" {
		s.fault(key, v, "true or false")
	}
	return v == "true"
}

func (s *section) duration(key string, def, low time.Duration) time.Duration {
	v, ok := s.raw(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > MaxTimeout {
		s.fault(key, v, "a duration such as 250ms or 2s, from "+low.String()+" to "+MaxTimeout.String())
		return def
	}
	return d
}

func (s *section) path(key string) string {
	v, ok := s.raw(key)
	if ok && !validPath(v) {
		s.fault(key, v, pathRule)
		return ""
	}
	return v
}

// list splits a comma-separated value; ok is false when the key is absent,
// empty or faulty. Empty and repeated items are faults.
func (s *section) list(key, expected string, limit int) (items []string, ok bool) {
	v, present := s.raw(key)
	if !present {
		return nil, false
	}
	items = lo.Map(strings.Split(v, ","), func(x string, _ int) string { return strings.TrimSpace(x) })
	if lo.Contains(items, "") {
		s.fault(key, v, expected)
		return nil, false
	}
	if len(items) > limit {
		s.fault(key, strconv.Itoa(len(items))+" items", "at most "+strconv.Itoa(limit)+" items")
		return nil, false
	}
	if twice := lo.FindDuplicates(items); len(twice) > 0 {
		s.fault(key, strings.Join(twice, ", "), "each item once")
		return nil, false
	}
	return items, true
}

func (s *section) addr(key, value string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" || a.Addr().IsUnspecified() {
		s.fault(key, value, "an address as IP:PORT, with an IP number and a port from 1 to 65535")
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
}
