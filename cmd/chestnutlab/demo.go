package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chestnutfield/chestnutfield/lab/demo"
)

// demoCommand is the command "demo".
type demoCommand struct{}

// Run runs the demo until its end or until SIGINT or SIGTERM.
func (c *demoCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return demo.Run(ctx, os.Stdout)
}
