package ctl_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/chestnutfield/chestnutfield/admin"
	"github.com/chestnutfield/chestnutfield/admin/api"
	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/query"
	"github.com/chestnutfield/chestnutfield/ctl"
)

const token = "s3cret"

// deployment is one host's configuration and admin API on fake services, with a
// transcript of the commands that an operator runs.
type deployment struct {
	store       *fake.Table
	clock       *clockwork.FakeClock
	syncer      *config.Syncer
	peers       []api.HostStatus
	pools       []api.PoolStatus
	address     string
	changeCount int
	transcript  strings.Builder
}

func (d *deployment) Self() api.HostStatus {
	return api.HostStatus{Name: "entry-1", FailureDomain: "scot-central-a", State: "live"}
}
func (d *deployment) Peers() []api.HostStatus { return d.peers }
func (d *deployment) Pools() []api.PoolStatus { return d.pools }
func (d *deployment) Stopping() bool          { return false }

// instantClock is a clock on which every wait ends at once and no time passes.
type instantClock struct{ *clockwork.FakeClock }

func (h instantClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- h.Now()
	return c
}

func newDeployment() *deployment {
	GinkgoHelper()
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC))
	d := &deployment{store: fake.NewTable(), clock: clock}
	registry := prometheus.NewRegistry()
	d.syncer = config.New(config.Options{Host: "entry-1", Store: d.store, Objects: fake.NewObjectStore(), Clock: clock, Registerer: registry})
	server, err := admin.New(admin.Options{
		Token: token, Config: d.syncer, Status: d, Metrics: registry, Queries: query.New(d.store),
		Commands: command.New(command.Options{Store: d.store, OnAccepted: d.syncer.InstallAccepted, Clock: instantClock{clock}}),
	})
	Expect(err).NotTo(HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	d.address = "http://" + l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = d.syncer.Run(ctx) }()
	go func() { _ = server.Serve(l) }()
	DeferCleanup(func() { cancel(); _ = server.Shutdown(context.Background()) })
	Eventually(d.syncer.Ready()).Should(BeClosed())
	return d
}

// run executes one command line and adds it to the transcript; input is what the
// file name "-" reads.
func (d *deployment) run(input string, line string) int {
	var stdout, stderr bytes.Buffer
	args := append([]string{"--admin", d.address, "--token", token}, strings.Fields(line)...)
	code := ctl.Run(context.Background(), args, ctl.Options{
		Streams: ctl.Streams{In: strings.NewReader(input), Out: &stdout, Err: &stderr},
		NewChangeID: func() string {
			d.changeCount++
			return fmt.Sprintf("change-%02d", d.changeCount)
		},
	})
	fmt.Fprintf(&d.transcript, "$ chestnutctl %s\n", line)
	for _, in := range strings.Split(strings.TrimSpace(input), "\n") {
		if in != "" {
			fmt.Fprintf(&d.transcript, "< %s\n", in)
		}
	}
	fmt.Fprintf(&d.transcript, "%s%sexit %d\n\n", stdout.String(), stderr.String(), code)
	return code
}

func (d *deployment) note(format string, args ...any) {
	fmt.Fprintf(&d.transcript, "# "+format+"\n", args...)
}

var testPeers = []api.HostStatus{
	{Name: "entry-2", FailureDomain: "scot-central-b", State: "live", Live: true, Version: 2, VersionAge: 3 * time.Second},
	{Name: "entry-3", FailureDomain: "scot-central-c", State: "leaving", Version: 1, VersionAge: 9 * time.Second},
}

var testPools = []api.PoolStatus{
	{Name: "booking", Service: "booking"},
	{Name: "catalogue", Targets: []api.TargetStatus{
		{Addr: netip.MustParseAddrPort("127.0.0.1:9001"), FailureDomain: "scot-central-a", State: "ready", InFlight: 2},
		{Addr: netip.MustParseAddrPort("127.0.0.1:9002"), FailureDomain: "scot-central-b", State: "leaving"},
	}},
}
