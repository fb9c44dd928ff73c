package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/chestnutfield/chestnutfield/lab/capacity"
)

// capacityCommand is the command "capacity".
type capacityCommand struct {
	Hosts       []int         `help:"Numbers of hosts to measure." default:"2,4,8,16,32"`
	Targets     []int         `help:"Numbers of targets in the tables to measure." default:"12,120,1200"`
	FixedHosts  int           `help:"Hosts while targets vary." default:"8"`
	FixedTarget int           `help:"Targets while hosts vary." default:"39" name:"fixed-targets"`
	Settle      time.Duration `help:"Time from the start of the hosts to the measurement." default:"5s"`
	Window      time.Duration `help:"Time measured at each point." default:"10s"`
	Changes     int           `help:"Changes of the tables at each point." default:"3"`
}

// Run measures the resources that hosts use while they serve no requests: first
// with varying numbers of hosts, then with varying numbers of targets.
func (c *capacityCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var points []capacity.Point
	for _, n := range c.Hosts {
		points = append(points, capacity.Point{Hosts: n, Targets: c.FixedTarget})
	}
	for _, n := range c.Targets {
		points = append(points, capacity.Point{Hosts: c.FixedHosts, Targets: n})
	}
	_, err := capacity.Run(ctx, capacity.Options{
		Points: points, Settle: c.Settle, Window: c.Window, Changes: c.Changes,
	}, os.Stdout)
	return err
}
