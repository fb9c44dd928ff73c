package demo

import (
	"fmt"
	"time"

	"github.com/chestnutfield/chestnutfield/lab/loadgen"
)

const (
	// inForceLimit is the time within which a new configuration must be in force
	// on every host.
	inForceLimit = 12 * time.Second
	// starvationWindow is the time in which every class must get a response.
	starvationWindow = time.Second
	// starvationMinRequests is the number of requests of a class in one window
	// below which the window is not judged.
	starvationMinRequests = 5
)

// Evidence holds what was observed in a run: in the run log of the targets, in the
// responses and at the hosts.
type Evidence struct {
	Violations loadgen.Violations
	Classes    []loadgen.Class
	Records    []loadgen.Record
	// Orders is the number of orders that ran, Copies the number of requests
	// that were sent a second time.
	Orders, Copies int
	// MaxProbeRate is the highest number of probes per second at one target,
	// ProbeBudget the number allowed.
	MaxProbeRate, ProbeBudget float64
	// LateWork is the number of requests that the drained target received after
	// the grace period of its drain (2 s).
	LateWork int64
	// StoppedHost is the address of the host that was stopped, StopError the
	// error of its stop.
	StoppedHost string
	StopError   error
	// PropagationTime is the time that the change took to be in force on all
	// hosts; PropagationError is set when it did not get there. Reversions is
	// the number of times that the version in force on a host decreased.
	PropagationTime  time.Duration
	PropagationError error
	Reversions       int
}

// Guarantee is one guarantee of the load balancer and whether it held in a run.
type Guarantee struct {
	Name string
	Held bool
	// Detail holds the numbers behind the result.
	Detail string
}

// Check returns every guarantee with its result, given the evidence.
func Check(e Evidence) []Guarantee {
	v := e.Violations
	lost := e.lostByStop()
	starved := e.starved()
	return []Guarantee{
		{"measuring stays within its budget", e.MaxProbeRate <= e.ProbeBudget,
			fmt.Sprintf("%.1f probes a second at the most probed target, budget %v", e.MaxProbeRate, e.ProbeBudget)},
		{"every answer is the caller's own and whole", v.Wrong+v.Truncated == 0 && e.answered() > 0,
			fmt.Sprintf("%d answers, %d wrong, %d truncated", e.answered(), v.Wrong, v.Truncated)},
		{"a refusal as not run is true", v.UntrueNotRun == 0,
			fmt.Sprintf("%d refusals, %d untrue", e.count(loadgen.NotRun), v.UntrueNotRun)},
		{"an order runs at most once", v.DuplicateOrders == 0 && e.Orders > 0,
			fmt.Sprintf("%d orders ran, %d were sent twice, %d ran twice", e.Orders, e.Copies, v.DuplicateOrders)},
		{"no class starves another", len(starved) == 0,
			fmt.Sprintf("stretches of %v without an answer: %d %v", starvationWindow, len(starved), starved)},
		{"a leaving target gets no new work after 2 s", e.LateWork == 0,
			fmt.Sprintf("%d late requests", e.LateWork)},
		{"a planned stop cuts off no request", lost == 0 && e.StopError == nil,
			fmt.Sprintf("%d cut off, stop ended with %v", lost, e.StopError)},
		{"a configuration is in force everywhere within 12 s and never reverts",
			e.PropagationError == nil && e.PropagationTime <= inForceLimit && e.Reversions == 0,
			fmt.Sprintf("in force after %v, reverted %d times, error %v", e.PropagationTime.Round(time.Millisecond), e.Reversions, e.PropagationError)},
	}
}

// count returns the number of requests with an outcome.
func (e Evidence) count(o loadgen.Outcome) int {
	n := 0
	for _, r := range e.Records {
		if r.Outcome == o {
			n++
		}
	}
	return n
}

func (e Evidence) answered() int { return e.count(loadgen.Answered) }

// lostByStop returns the number of requests to the stopped host whose response was
// lost or whose outcome is unknown.
func (e Evidence) lostByStop() int {
	n := 0
	for _, r := range e.Records {
		if r.Host == e.StoppedHost && (r.Outcome == loadgen.Lost || r.Outcome == loadgen.Unknown) {
			n++
		}
	}
	return n
}

// starved lists the classes and windows in which no request was answered.
func (e Evidence) starved() []string {
	type window struct {
		class int
		at    time.Duration
	}
	sent, answered := map[window]int{}, map[window]int{}
	var order []window
	for _, r := range e.Records {
		w := window{r.Request.Class, r.Request.At.Truncate(starvationWindow)}
		if sent[w] == 0 {
			order = append(order, w)
		}
		sent[w]++
		if r.Outcome == loadgen.Answered {
			answered[w]++
		}
	}
	var out []string
	for _, w := range order {
		if sent[w] >= starvationMinRequests && answered[w] == 0 {
			out = append(out, fmt.Sprintf("%s at %v", e.Classes[w.class].Name, w.at))
		}
	}
	return out
}
