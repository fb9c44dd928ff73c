package table

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/samber/lo"
)

// Bounds on workspaces and regions.
const (
	// MaxWorkspaces bounds the number of workspaces, MaxWorkspaceKeys that of the
	// keys of one. The size of the encoded form bounds the keys of all: a digest
	// takes 36 bytes there, so that 8,500 fit.
	MaxWorkspaces    = 2000
	MaxWorkspaceKeys = 1000
	// MaxRate bounds rates in requests a second, MaxBurst bursts in requests.
	MaxRate  = 1e9
	MaxBurst = 1e9
	// MaxRegions bounds the regions of a route or a workspace.
	MaxRegions = 100
)

const (
	digestsKey   = "key_digests"
	digestFormat = "SHA-256 digests of API keys as 64 hexadecimal digits each, comma separated"
	regionFormat = "region names of " + nameFormat + ", comma separated"
)

// ParseWorkspaces parses a workspaces file, an INI file with one section per
// workspace; the result is keyed by name and never nil. The error is of type
// Problems and lists every problem in the file. It repeats no value that may be a
// key. Validate checks whether workspaces have keys in common.
func ParseWorkspaces(file string, data []byte) (map[string]Workspace, error) {
	p := &fileParser{file: file, quotable: []string{"rank", "rate_per_second", "burst", "regions"}}
	workspaces := map[string]Workspace{}
	for _, s := range p.sections(data) {
		workspaces[s.name] = readWorkspace(s)
	}
	return workspaces, p.problems.orNil()
}

func readWorkspace(s *section) Workspace {
	w := Workspace{
		Name:          s.name,
		Keys:          readDigests(s),
		RatePerSecond: s.number("rate_per_second", 0, MaxRate),
		Burst:         s.number("burst", 0, MaxBurst),
		Regions:       readRegions(s),
	}
	if _, ok := s.value("rank"); ok {
		rank := s.integer("rank", 0, 0, MaxRank)
		w.Rank = &rank
	}
	s.rejectUnknownKeys()
	return w
}

// readDigests reads the digests of a workspace's keys. A workspace may have none.
func readDigests(s *section) []KeyDigest {
	if v, _ := s.value(digestsKey); v == "" {
		return nil
	}
	items, _ := s.list(digestsKey, digestFormat, MaxWorkspaceKeys)
	var out []KeyDigest
	for _, item := range items {
		var d KeyDigest
		if d.UnmarshalText([]byte(item)) != nil {
			s.addProblem(digestsKey, "", digestFormat+"; hash a key with sha256sum, without a line end")
			continue
		}
		out = append(out, d)
	}
	return out
}

// readRegions reads the regions that may serve a route or a workspace.
func readRegions(s *section) []string {
	if v, _ := s.value("regions"); v == "" {
		return nil
	}
	items, _ := s.list("regions", regionFormat, MaxRegions)
	for _, item := range items {
		if !validName(item) {
			s.addProblem("regions", item, regionFormat)
		}
	}
	return items
}

// FormatWorkspaces returns workspaces as an INI file that ParseWorkspaces reads,
// with sections ordered by name. Empty values and zeros are left out, but for the
// rank, of which 0 takes precedence over the rank of routes.
func FormatWorkspaces(workspaces map[string]Workspace) []byte {
	var b bytes.Buffer
	for _, name := range sortedKeys(workspaces) {
		w := workspaces[name]
		fmt.Fprintf(&b, "[%s]\n", name)
		writeKey(&b, digestsKey, strings.Join(lo.Map(w.Keys, func(d KeyDigest, _ int) string {
			text, _ := d.MarshalText()
			return string(text)
		}), ", "))
		if w.Rank != nil {
			writeKey(&b, "rank", strconv.Itoa(*w.Rank))
		}
		writeNumber(&b, "rate_per_second", w.RatePerSecond)
		writeNumber(&b, "burst", w.Burst)
		writeKey(&b, "regions", strings.Join(w.Regions, ", "))
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// writeNumber writes one line of key and number, or nothing for 0.
func writeNumber(b *bytes.Buffer, key string, n float64) {
	if n != 0 {
		writeKey(b, key, strconv.FormatFloat(n, 'g', -1, 64))
	}
}

// writeFlag writes one line for a key that is true, or nothing.
func writeFlag(b *bytes.Buffer, key string, value bool) {
	if value {
		writeKey(b, key, "true")
	}
}

// checkWorkspaces checks the workspaces of tables, whatever they were read from.
// Problems never contain a digest.
func checkWorkspaces(p *fileParser, workspaces map[string]Workspace) {
	if len(workspaces) > MaxWorkspaces {
		p.addProblem("", "", strconv.Itoa(len(workspaces))+" workspaces", "at most "+strconv.Itoa(MaxWorkspaces))
	}
	for _, name := range sortedKeys(workspaces) {
		w := workspaces[name]
		if !validName(name) || w.Name != name {
			p.addProblem(name, "", w.Name, "a workspace name of "+nameFormat)
		}
		if w.Rank != nil && (*w.Rank < 0 || *w.Rank > MaxRank) {
			p.addProblem(name, "rank", strconv.Itoa(*w.Rank), "a whole number from 0 to "+strconv.Itoa(MaxRank))
		}
		checkRange(p, name, "rate_per_second", w.RatePerSecond, MaxRate)
		checkRange(p, name, "burst", w.Burst, MaxBurst)
		checkRegions(p, name, w.Regions)
	}
	checkKeyOwners(p, workspaces)
}

// checkKeyOwners checks that no key belongs to two workspaces.
func checkKeyOwners(p *fileParser, workspaces map[string]Workspace) {
	owners := map[KeyDigest]string{}
	for _, name := range sortedKeys(workspaces) {
		for _, digest := range workspaces[name].Keys {
			if owner, taken := owners[digest]; taken && owner != name {
				p.addProblem(name, digestsKey, "a key of workspace "+owner, "each key in one workspace")
			}
			owners[digest] = name
		}
	}
}

func checkRange(p *fileParser, section, key string, n, high float64) {
	if !(n >= 0 && n <= high) {
		p.addProblem(section, key, strconv.FormatFloat(n, 'g', -1, 64), "a number from 0 to "+strconv.FormatFloat(high, 'g', -1, 64))
	}
}

func checkRegions(p *fileParser, section string, regions []string) {
	for _, region := range regions {
		if !validName(region) {
			p.addProblem(section, "regions", region, regionFormat)
		}
	}
}

// checkAccess checks what a route says about keys, uploads and regions.
func checkAccess(p *fileParser, route Route) {
	if route.Upload && route.Idempotent {
		p.addProblem(route.Name, "upload", "true", "false, as an upload route is never idempotent")
	}
	checkRegions(p, route.Name, route.Regions)
}
