package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/lab/workload"
	"github.com/chestnutfield/chestnutfield/table"
)

// loadCommand is the command "load".
type loadCommand struct {
	Hosts       []string      `required:"" placeholder:"IP:PORT,..." help:"Entry hosts to spread the requests over."`
	Class       []string      `required:"" placeholder:"CLASS:METHOD:PATH:RATE" help:"Kind of traffic, such as lookup:GET:/specs/:200 (requests a second). Repeat for a mix."`
	Arrivals    string        `default:"poisson" enum:"poisson,constant" help:"Arrival process: ${enum}."`
	Duration    time.Duration `default:"10s" help:"Length of the run."`
	Callers     int           `default:"20" help:"Number of callers."`
	Timeout     time.Duration `default:"10s" help:"Time after which a caller gives up."`
	CallerDelay time.Duration `help:"One-way delay between callers and hosts, added to latencies."`
	Shape       string        `default:"exponential" enum:"const,exponential,lognormal" help:"Distribution of service times: ${enum}."`
	Mean        time.Duration `default:"20ms" help:"Mean service time asked of the stand-in targets."`
	Sigma       float64       `default:"0.5" help:"Spread of lognormal service times."`
	AnswerBytes int           `default:"256" help:"Size of answers asked for."`
	Seed        uint64        `default:"1" help:"Seed of all that is drawn."`
	JSON        bool          `help:"Print the summaries as JSON."`
}

// fixedHosts is a fixed list of entry hosts (IP:PORT); it implements
// loadgen.Hosts.
type fixedHosts []string

// Addresses returns the hosts.
func (h fixedHosts) Addresses() []string { return h }

// Run sends the load and prints the summaries, as a table or as JSON.
func (c *loadCommand) Run() error {
	classes, err := c.parseClasses()
	if err != nil {
		return err
	}
	plan, err := loadgen.Plan(classes, loadgen.Arrivals(c.Arrivals), c.Duration, c.Seed)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	records := loadgen.Run(ctx, loadgen.Options{
		Hosts: fixedHosts(c.Hosts), Classes: classes, Timeout: c.Timeout, CallerDelay: c.CallerDelay,
		OnProgress: func(ended, planned int) { fmt.Fprintf(os.Stderr, "%d of %d requests ended\n", ended, planned) },
	}, plan)
	summaries := loadgen.Summarize(classes, records, nil, loadgen.Window{To: c.Duration})
	if c.JSON {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(summaries), "write summaries as JSON")
	}
	return loadgen.WriteTable(os.Stdout, summaries)
}

// parseClasses parses the CLASS:METHOD:PATH:RATE arguments. It returns an error
// for an argument of another form.
func (c *loadCommand) parseClasses() ([]loadgen.Class, error) {
	classes := make([]loadgen.Class, 0, len(c.Class))
	for _, spec := range c.Class {
		parts := strings.Split(spec, ":")
		if len(parts) != 4 {
			return nil, errors.Errorf("class %q: expected CLASS:METHOD:PATH:RATE", spec)
		}
		rate, err := strconv.ParseFloat(parts[3], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "class %q: expected a number of requests per second as RATE", spec)
		}
		classes = append(classes, loadgen.Class{
			Name: table.Class(parts[0]), Method: parts[1], Path: parts[2], Rate: rate,
			Callers: c.Callers, ResponseBytes: c.AnswerBytes,
			ServiceTime: workload.Distribution{Shape: workload.Shape(c.Shape), Mean: c.Mean, Sigma: c.Sigma},
		})
	}
	return classes, nil
}
