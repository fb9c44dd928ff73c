//go:build review

// Command harness3 plays the cases of the third review: it starts entry hosts as
// separate processes on loopback addresses, with stand-ins of the platform's store, of
// the back ends and of the callers, brings a disruption about and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is one run of a case.
type play struct {
	// trouble is false for the same run without the disruption.
	trouble bool
	record  *record
	d       *deployment
}

// cases are the cases by name. Each returns what breaks the rule, "" if it held.
var cases = map[string]func(p *play) (broken string, err error){
	"quota-added-host": quotaAddedHost,
	"caller-header":    callerHeader,
}

// maxLength bounds a run.
const maxLength = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE FOLDER")
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(dir)
	p := &play{trouble: os.Getenv("TROUBLE") != "0", record: rec}
	p.d = newDeployment(dir, rec)
	defer p.d.close()
	time.AfterFunc(maxLength, func() {
		rec.printf("the run takes too long; it ends")
		p.d.close()
		os.Exit(exitFailed)
	})
	broken, err := cases[os.Args[1]](p)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		return exitFailed
	case broken != "":
		rec.printf("BROKEN: %s", broken)
		return exitBroken
	}
	rec.printf("held")
	return exitHeld
}
