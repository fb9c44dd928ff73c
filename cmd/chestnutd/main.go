// Command chestnutd runs one entry host.
package main

import (
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/host"
	"github.com/chestnutfield/chestnutfield/internal/logging"
	"github.com/chestnutfield/chestnutfield/internal/stopsignal"
	"github.com/chestnutfield/chestnutfield/settings"
)

// flags are the command-line flags.
type flags struct {
	Settings string `help:"INI file with the settings of this host." required:"" type:"path" placeholder:"FILE.ini"`
	Check    bool   `help:"Check the settings and exit."`
}

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	var f flags
	kong.Parse(&f, kong.Name("chestnutd"), kong.Description("One entry host of chestnutfield."))
	os.Exit(run(f))
}

func run(f flags) int {
	s, err := settings.Load(f.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "chestnutd:", err)
		return exitSettings
	}
	if f.Check {
		fmt.Printf("chestnutd: %s is valid\n", f.Settings)
		return 0
	}
	if s.Store.Configured() {
		fmt.Fprintf(os.Stderr, "chestnutd: %s: section [store]: expected none; a host that reads a store is a chestnut-gateway\n", f.Settings)
		return exitSettings
	}
	log, err := logging.New(os.Stdout, s.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, "chestnutd:", err)
		return exitFailed
	}
	defer log.Close()
	if err := serve(s, log.Logger); err != nil {
		log.Error("host failed to start or to stop gracefully; exiting", zap.Error(err))
		return exitFailed
	}
	return 0
}

// serve runs the host until SIGTERM or SIGINT and then stops it gracefully. A
// second SIGINT aborts the requests that are still in flight.
func serve(s *settings.Settings, log *zap.Logger) error {
	signals := stopsignal.Channel()
	signal.Notify(signals, stopsignal.Signals...)
	h, err := host.New(s, host.Options{Logger: log})
	if err != nil {
		return err
	}
	h.Start()
	ctx, cancel := stopsignal.Context(<-signals, signals, s.Limits.DrainTimeout)
	defer cancel()
	return h.Stop(ctx)
}
