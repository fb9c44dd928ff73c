package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chestnutfield/chestnutfield/lab/demo"
)

type demoCommand struct{}

// Run runs the demo.
func (c *demoCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return demo.Run(ctx, os.Stdout)
}
