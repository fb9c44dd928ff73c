// Command chestnut-gateway runs one entry host on the users' platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/gateway"
	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/internal/logging"
	"github.com/chestnutfield/chestnutfield/internal/stopsignal"
	"github.com/chestnutfield/chestnutfield/platform"
	"github.com/chestnutfield/chestnutfield/settings"
)

// flags are the command-line flags.
type flags struct {
	Settings string `help:"INI file with the settings of this host; by default the one that the platform names." type:"path" placeholder:"FILE.ini"`
	Check    bool   `help:"Check the settings and exit."`
}

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// gcPercent is how much the heap may grow, in percent of the live heap, before
// the next garbage collection; memory costs more here than processor time.
const gcPercent = 50

func main() {
	var f flags
	kong.Parse(&f, kong.Name("chestnut-gateway"), kong.Description("One entry host of chestnutfield on the users' platform."))
	os.Exit(run(f))
}

func run(f flags) int {
	if f.Settings == "" {
		f.Settings = platform.SettingsPath()
	}
	s, err := load(f.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "chestnut-gateway:", err)
		return exitSettings
	}
	if f.Check {
		fmt.Printf("chestnut-gateway: %s is valid\n", f.Settings)
		return 0
	}
	log, err := logging.New(os.Stdout, s.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, "chestnut-gateway:", err)
		return exitFailed
	}
	defer log.Close()
	if err := serve(f.Settings, s, log); err != nil {
		log.Error("host failed to start or to stop gracefully; exiting", zap.Error(err))
		return exitFailed
	}
	return 0
}

// load reads a settings file and requires the store's address in it.
func load(path string) (*settings.Settings, error) {
	s, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	if !s.Store.Configured() {
		return nil, errors.Errorf("%s: section [store] key \"address\": the required key is missing; expected IP:PORT", path)
	}
	return s, nil
}

// serve runs the gateway until SIGTERM or SIGINT and then stops it gracefully. A
// second SIGINT aborts the requests that are still in flight.
func serve(path string, s *settings.Settings, log *logging.Logger) error {
	debug.SetGCPercent(gcPercent)
	signals := stopsignal.Channel()
	signal.Notify(signals, stopsignal.Signals...)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	logger, registry := log.With(zap.String("host", s.Host.Name)), prometheus.NewRegistry()
	responses, err := http1.NewMonitor(logger, registry)
	if err != nil {
		return err
	}
	store := platform.NewStore(s.Store.Address).WithMonitor(responses)
	g, err := gateway.New(s, gateway.Options{
		Source: store, Suspects: store, Dialect: platform.Dialect(), ReadyPath: platform.ReadyPath,
		Logger: logger, Registry: registry, Responses: responses,
	})
	if err != nil {
		return err
	}
	g.Start()
	first := reloadUntilStopped(path, g, log, reloads, signals)
	ctx, cancel := stopsignal.Context(first, signals, gateway.StopTime(s.Bounds.StopGrace))
	defer cancel()
	return g.Stop(ctx)
}

// settingsCheckInterval is the time between checks whether the settings file has
// changed: it may change without a signal.
const settingsCheckInterval = 5 * time.Second

// reloadUntilStopped reloads the settings on a signal on reloads and when their
// file has changed, until a signal on stop, which it returns.
func reloadUntilStopped(path string, g *gateway.Gateway, log *logging.Logger, reloads, stop <-chan os.Signal) os.Signal {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	loaded := modTime(path)
	for {
		select {
		case s := <-stop:
			return s
		case <-reloads:
			loaded = modTime(path)
			reload(path, g, log)
		case <-ticker.C:
			if now := modTime(path); !now.Equal(loaded) {
				loaded = now
				reload(path, g, log)
			}
		}
	}
}

// modTime returns when a file was last modified, zero when it can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the log level and the bounds of a changed settings file; the
// other settings change only when the process restarts.
func reload(path string, g *gateway.Gateway, log *logging.Logger) {
	s, err := load(path)
	if err != nil {
		log.Error("changed settings are invalid; the settings in force stay", zap.Error(err))
		return
	}
	if err := log.SetLevel(s.Log.Level); err != nil {
		log.Error("log level can't be changed; the settings in force stay", zap.Error(err))
		return
	}
	g.Reload(s)
}
