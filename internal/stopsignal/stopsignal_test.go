package stopsignal_test

import (
	"context"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/internal/stopsignal"
)

// Guards against a planned stop that a repeated SIGTERM cuts short.
func TestOnlyASecondInterruptEndsAStop(t *testing.T) {
	term, interrupt := syscall.SIGTERM, os.Interrupt
	for name, c := range map[string]struct {
		first os.Signal
		later []os.Signal
		ends  bool
	}{
		"repeated SIGTERM":         {term, []os.Signal{term, term, term}, false},
		"interrupt after SIGTERM":  {term, []os.Signal{interrupt}, false},
		"SIGTERM after interrupt":  {interrupt, []os.Signal{term, term}, false},
		"second interrupt":         {interrupt, []os.Signal{interrupt}, true},
		"two interrupts afterward": {term, []os.Signal{interrupt, term, interrupt}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				signals := stopsignal.Channel()
				ctx, cancel := stopsignal.Context(c.first, signals, time.Minute)
				defer cancel()
				for _, s := range c.later {
					signals <- s
					synctest.Wait()
				}
				if c.ends {
					g.Expect(ctx.Err()).To(MatchError(context.Canceled))
					return
				}
				g.Expect(ctx.Err()).NotTo(HaveOccurred())
				time.Sleep(time.Minute)
				synctest.Wait()
				g.Expect(ctx.Err()).To(MatchError(context.DeadlineExceeded))
			})
		})
	}
}
