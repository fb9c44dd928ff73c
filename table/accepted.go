package table

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/samber/lo"
)

// MaxAcceptedNameBytes bounds the names of workspaces in tables that were accepted
// elsewhere: targets get the name in a header.
const MaxAcceptedNameBytes = 1024

// headerValuePattern matches what a header can hold as it is.
var headerValuePattern = regexp.MustCompile(`^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?$`)

// MarkUnusable prepares tables that were accepted elsewhere, where operators no longer
// get to know of problems. Unlike Validate it bounds no numbers, and one entry that
// can't be used spoils no other: routes are marked as Unusable, workspaces are
// removed, which makes the tables Incomplete. file is the file name in the problems.
// The error is of type Problems and tells of all such entries.
func MarkUnusable(file string, t *Tables) error {
	p := &fileParser{file: file}
	for _, name := range sortedKeys(t.Routes) {
		route, before := t.Routes[name], len(p.problems)
		checkPools(p, t, route)
		checkSplit(p, route)
		checkRegionHeader(p, name, route.Regions)
		if len(p.problems) > before {
			route.Unusable = true
			t.Routes[name] = route
		}
	}
	for _, name := range sortedKeys(t.Workspaces) {
		before := len(p.problems)
		if !isHeaderValue(name) {
			p.addProblem(name, "name", name, "a header value of 1 to "+strconv.Itoa(MaxAcceptedNameBytes)+" bytes")
		}
		checkRegionHeader(p, name, t.Workspaces[name].Regions)
		if len(p.problems) > before {
			delete(t.Workspaces, name)
			t.Incomplete = true
		}
	}
	checkKeyOwners(p, t.Workspaces)
	// Of routes for the same requests the first by name gets them.
	checkAmbiguous(p, lo.OmitBy(t.Routes, func(_ string, r Route) bool { return r.Unusable }))
	return p.problems.orNil()
}

func isHeaderValue(text string) bool {
	return len(text) <= MaxAcceptedNameBytes && headerValuePattern.MatchString(text)
}

// checkRegionHeader checks that hosts can send the regions to each other in a header, as a
// list with commas.
func checkRegionHeader(p *fileParser, section string, regions []string) {
	for _, region := range regions {
		if !isHeaderValue(region) || strings.Contains(region, ",") {
			p.addProblem(section, "regions", region, "a header value without commas")
		}
	}
}
