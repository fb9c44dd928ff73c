//go:build review

// Command scenarios plays the cases of an independent review: entry hosts as processes,
// with stand-ins of the store, targets and clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// scenarios are the cases by name. A case returns how often its rule was broken.
var scenarios = map[string]func(d *deployment, trouble bool) (int, error){
	"left-upload":    leftUpload,
	"grey-refusal":   greyRefusal,
	"spoiled-header": spoiledHeader,
	"crowded-host":   crowdedHost,
	"restored-store": restoredStore,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: scenarios NAME FOLDER")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, dir string) int {
	scenario, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return notRun
	}
	r, err := newRecord(filepath.Clean(dir))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	count, err := scenario(d, trouble)
	if err != nil {
		r.add("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	r.add("rule broken %d times (disruption: %v)", count, trouble)
	fmt.Printf("%s: rule broken %d times (disruption: %v)\n", name, count, trouble)
	if count > 0 {
		return broken
	}
	return held
}
