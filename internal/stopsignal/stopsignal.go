// Package stopsignal turns the signals that a process gets while it stops into the
// context of its planned stop.
package stopsignal

import (
	"context"
	"os"
	"syscall"
	"time"
)

// Channel returns the buffered channel for signal.Notify with Signals.
func Channel() chan os.Signal { return make(chan os.Signal, 2) }

// Signals are the signals that begin a planned stop.
var Signals = []os.Signal{syscall.SIGTERM, os.Interrupt}

// Context returns the context of a planned stop that first began. It ends after the
// timeout, or at the second interrupt: somebody at a terminal wants the process to end
// now. Supervisors repeat a SIGTERM, which changes nothing. The caller must call cancel.
func Context(first os.Signal, signals <-chan os.Signal, timeout time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancel = context.WithTimeout(context.Background(), timeout)
	go func() {
		interrupted := first == os.Interrupt
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-signals:
				if s == os.Interrupt && interrupted {
					cancel()
					return
				}
				interrupted = interrupted || s == os.Interrupt
			}
		}
	}()
	return ctx, cancel
}
