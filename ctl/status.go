package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/admin/api"
)

// pollInterval is the time between two status requests of the command wait.
const pollInterval = 200 * time.Millisecond

// Run shows the state of the host and what it knows about the others.
func (statusCmd) Run(ctx context.Context, s *session) error {
	st, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	return s.print(st, func(w io.Writer) { writeStatus(w, st) })
}

func writeStatus(w io.Writer, st api.Status) {
	c := st.Config
	switch {
	case !c.Ready:
		fmt.Fprintf(w, "configuration: none in force, highest known version %d\n", c.HighestKnownVersion)
	case c.HighestKnownVersion > c.Version:
		fmt.Fprintf(w, "configuration: version %d from %s, behind: version %d is known\n", c.Version, c.Source, c.HighestKnownVersion)
	default:
		fmt.Fprintf(w, "configuration: version %d from %s\n", c.Version, c.Source)
	}
	if c.UndecodableVersion > 0 {
		fmt.Fprintf(w, "version %d can't be decoded by this host: %s\n", c.UndecodableVersion, c.UndecodableProblem)
	}
	storeState := "answers"
	if !c.StoreReachable {
		storeState = "does not answer"
	}
	fmt.Fprintf(w, "table service: %s, last contact %s ago\n\n", storeState, c.SinceStoreContact.Round(time.Second))
	hosts := newTable(w, "HOST", "FAILURE DOMAIN", "STATE", "VERSION", "HEARD")
	writeHost(hosts, st.Host, "this host")
	for _, p := range st.Peers {
		writeHost(hosts, p, p.VersionAge.Round(time.Second).String()+" ago")
	}
	hosts.flush()
	fmt.Fprintln(w)
	pools := newTable(w, "POOL", "TARGET", "FAILURE DOMAIN", "STATE", "IN FLIGHT")
	for _, p := range st.Pools {
		if len(p.Targets) == 0 {
			pools.row(p.Name, "none", "", "", "")
		}
		for _, t := range p.Targets {
			pools.row(p.Name, t.Addr.String(), t.FailureDomain, t.State, fmt.Sprint(t.InFlight))
		}
	}
	pools.flush()
	writeOwners(w, st.Pools)
}

// writeOwners shows which host owns the targets of a pool in which failure
// domain, if any does.
func writeOwners(w io.Writer, pools []api.PoolStatus) {
	if !lo.SomeBy(pools, func(p api.PoolStatus) bool { return len(p.Owners) > 0 }) {
		return
	}
	fmt.Fprintln(w)
	owners := newTable(w, "POOL", "TARGETS IN", "OWNED BY")
	for _, p := range pools {
		for _, o := range p.Owners {
			owners.row(p.Name, o.FailureDomain, o.Host)
		}
	}
	owners.flush()
}

func writeHost(t textTable, h api.HostStatus, versionAge string) {
	t.row(h.Name, h.FailureDomain, h.State, fmt.Sprint(h.Version), versionAge)
}

// waitResult is the JSON output of wait.
type waitResult struct {
	Version uint64   `json:"version"`
	Lagging []string `json:"lagging"`
}

// Run waits until a version is in force on every live host. Failed status
// requests are repeated until the timeout.
func (cmd waitCmd) Run(ctx context.Context, s *session) error {
	deadline := s.Clock.Now().Add(cmd.Timeout)
	for {
		st, err := s.client.Status(ctx)
		lagging := st.Lagging(cmd.Version)
		if err == nil && len(lagging) == 0 {
			return s.print(waitResult{Version: cmd.Version, Lagging: []string{}}, func(w io.Writer) {
				fmt.Fprintf(w, "version %d is in force on every live host\n", cmd.Version)
			})
		}
		if !s.Clock.Now().Before(deadline) {
			return s.reportTimeout(cmd.Version, lagging, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.Clock.After(min(pollInterval, deadline.Sub(s.Clock.Now()))):
		}
	}
}

func (s *session) reportTimeout(version uint64, lagging []string, err error) error {
	if err != nil {
		return errors.Wrap(err, "wait")
	}
	s.exitCode = ExitLagging
	if s.flags.Output == outputJSON {
		return s.printJSON(waitResult{Version: version, Lagging: lagging})
	}
	fmt.Fprintf(s.Err, "version %d is not in force on: %s\n", version, strings.Join(lagging, ", "))
	return nil
}
