package main

import (
	"fmt"

	"github.com/chestnutfield/chestnutfield/lab/platformd"
)

// platformCommand is the command "platform".
type platformCommand struct {
	Listen          string            `required:"" placeholder:"IP:PORT" help:"Address to serve on."`
	Faults          map[string]string `placeholder:"NAME=VALUE;..." help:"Faults from the start: down, cut, slow, ack_lost, list_lag. POST /faults changes them."`
	ReadsPerSecond  int               `help:"Capacity of the table service in items read a second; 0 sets no limit."`
	WritesPerSecond int               `help:"Capacity of the table service in items written a second; 0 sets no limit."`
}

// Run runs the stand-in platform until SIGINT or SIGTERM.
func (c *platformCommand) Run() error {
	var faults platformd.Faults
	for name, value := range c.Faults {
		if err := faults.Set(name, value); err != nil {
			return err
		}
	}
	s := platformd.New(platformd.Options{
		Faults: faults, ReadsPerSecond: c.ReadsPerSecond, WritesPerSecond: c.WritesPerSecond,
	})
	if err := s.Start(c.Listen); err != nil {
		return err
	}
	fmt.Printf("platform stand-in on %s\n", s.URL())
	waitForSignal()
	return s.Close()
}
