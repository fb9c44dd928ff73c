// Command chestnutctl edits and checks the tables and shows the state of the hosts.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/chestnutfield/chestnutfield/ctl"
	"github.com/chestnutfield/chestnutfield/platform"
	"github.com/chestnutfield/chestnutfield/table/check"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Run(ctx, os.Args[1:], ctl.Options{
		Streams:  ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr},
		Platform: check.Platform{Decode: platform.DecodeTables, RepeatedNames: platform.RepeatedNames},
	})
	cancel()
	os.Exit(code)
}
