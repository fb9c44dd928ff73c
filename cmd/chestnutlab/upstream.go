package main

import (
	"fmt"
	"time"

	"github.com/chestnutfield/chestnutfield/lab/runlog"
	"github.com/chestnutfield/chestnutfield/lab/upstreamd"
	"github.com/chestnutfield/chestnutfield/lab/workload"
)

// upstreamCommand is the command "upstream".
type upstreamCommand struct {
	Listen      []string          `required:"" placeholder:"IP:PORT,..." help:"Addresses to serve on, one target each."`
	Slots       int               `default:"2" help:"Requests served at once."`
	Queue       int               `default:"16" help:"Requests that may wait for a slot."`
	Connections int               `default:"250" help:"Connections held at once."`
	ConnectTime time.Duration     `default:"1ms" help:"Time that a new connection takes."`
	Shape       string            `default:"exponential" enum:"const,exponential,lognormal" help:"Distribution of service times: ${enum}."`
	Mean        time.Duration     `default:"20ms" help:"Mean service time."`
	Sigma       float64           `default:"0.5" help:"Spread of lognormal service times."`
	ColdRamp    time.Duration     `default:"3s" help:"Time that a restarted target takes to full speed."`
	Seed        uint64            `default:"1" help:"Seed of all that is drawn."`
	Behavior    map[string]string `placeholder:"NAME=VALUE;..." help:"Behavior from the start: slowdown, noisy, fail_fast, hang, drain, report. POST /control changes it."`
}

// Run runs the stand-in targets until SIGINT or SIGTERM and prints the totals of
// their run log.
func (c *upstreamCommand) Run() error {
	var b upstreamd.Behavior
	for name, value := range c.Behavior {
		if err := b.Set(name, value); err != nil {
			return err
		}
	}
	o := upstreamd.DefaultOptions()
	o.Slots, o.Queue, o.Connections, o.ConnectTime = c.Slots, c.Queue, c.Connections, c.ConnectTime
	o.ServiceTime = workload.Distribution{Shape: workload.Shape(c.Shape), Mean: c.Mean, Sigma: c.Sigma}
	o.ColdStartTime, o.Log = c.ColdRamp, runlog.New()
	for i, addr := range c.Listen {
		o.Seed = c.Seed + uint64(i)
		s, err := startUpstream(addr, o, b)
		if err != nil {
			return err
		}
		defer s.Close()
		fmt.Printf("upstream on %s\n", s.Addr())
	}
	waitForSignal()
	fmt.Printf("%+v\n", o.Log.Totals())
	return nil
}

// startUpstream starts one stand-in target with its initial behavior.
func startUpstream(addr string, o upstreamd.Options, b upstreamd.Behavior) (*upstreamd.Server, error) {
	s, err := upstreamd.New(o)
	if err != nil {
		return nil, err
	}
	if err := s.SetBehavior(b); err != nil {
		return nil, err
	}
	return s, s.Start(addr)
}
