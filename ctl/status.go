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

// pollInterval is the time between two looks of wait.
const pollInterval = 200 * time.Millisecond

// Run shows the state of the host and what it knows of the others.
func (statusGrammar) Run(ctx context.Context, s *session) error {
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
		fmt.Fprintf(w, "configuration: none in force, highest known version %d\n", c.Known)
	case c.Known > c.Version:
		fmt.Fprintf(w, "configuration: version %d from %s, behind: version %d is known\n", c.Version, c.Source, c.Known)
	default:
		fmt.Fprintf(w, "configuration: version %d from %s\n", c.Version, c.Source)
	}
	reach := "answers"
	if !c.StoreReachable {
		reach = "does not answer"
	}
	fmt.Fprintf(w, "table service: %s, last contact %s ago\n\n", reach, c.SinceStoreContact.Round(time.Second))
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

// writeOwners shows which host owns which group of targets, if any does.
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

func writeHost(t textTable, h api.HostStatus, heard string) {
	t.row(h.Name, h.FailureDomain, h.State, fmt.Sprint(h.Version), heard)
}

// waitResult is what wait prints as JSON.
type waitResult struct {
	Version uint64   `json:"version"`
	Lagging []string `json:"lagging"`
}

// Run waits for a version. A host that can't be asked is asked again until the
// timeout.
func (g waitGrammar) Run(ctx context.Context, s *session) error {
	end := s.Clock.Now().Add(g.Timeout)
	for {
		st, err := s.client.Status(ctx)
		lagging := st.Lagging(g.Version)
		if err == nil && len(lagging) == 0 {
			return s.print(waitResult{Version: g.Version, Lagging: []string{}}, func(w io.Writer) {
				fmt.Fprintf(w, "version %d is in force on every live host\n", g.Version)
			})
		}
		if !s.Clock.Now().Before(end) {
			return s.gaveUp(g.Version, lagging, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.Clock.After(min(pollInterval, end.Sub(s.Clock.Now()))):
		}
	}
}

func (s *session) gaveUp(version uint64, lagging []string, err error) error {
	if err != nil {
		return errors.Wrap(err, "wait")
	}
	s.code = ExitLagging
	if s.flags.Output == outputJSON {
		return s.printJSON(waitResult{Version: version, Lagging: lagging})
	}
	fmt.Fprintf(s.Err, "version %d is not in force on: %s\n", version, strings.Join(lagging, ", "))
	return nil
}
