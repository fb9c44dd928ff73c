// Command chestnutlab tests and measures chestnutfield: it runs stand-ins for the
// platform and for upstreams, an open-loop load generator, experiments with their
// reports, and soak tests.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commandLine holds the subcommands.
type commandLine struct {
	Demo     demoCommand     `cmd:"" help:"Run everything in one process for half a minute and check each promise."`
	Platform platformCommand `cmd:"" help:"Run the stand-in platform: table service, object store, host list."`
	Upstream upstreamCommand `cmd:"" help:"Run stand-in targets."`
	Load     loadCommand     `cmd:"" help:"Send open-loop load."`
	Capacity capacityCommand `cmd:"" help:"Measure what hosts cost without calls, over hosts and targets."`
	Run      runCommand      `cmd:"" help:"Run an experiment file over embedded entry hosts."`
	Soak     soakCommand     `cmd:"" help:"Run entry hosts of the users' platform as processes, disturb them from outside, check the promises."`
	Report   reportCommand   `cmd:"" help:"Make tables and plots of the results of an experiment."`
}

func main() {
	var c commandLine
	k := kong.Parse(&c, kong.Name("chestnutlab"), kong.Description("The lab of chestnutfield."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}

// waitForSignal waits for SIGINT or SIGTERM.
func waitForSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
}
