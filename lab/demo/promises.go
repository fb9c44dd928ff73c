package demo

import (
	"fmt"
	"time"

	"github.com/chestnutfield/chestnutfield/lab/loadgen"
)

const (
	// inForceLimit is the time in which a configuration is in force on every
	// host.
	inForceLimit = 12 * time.Second
	// starvedStretch is the stretch in which every class gets an answer.
	starvedStretch = time.Second
	// starvedMinimum is the number of requests of a class in a stretch below
	// which it says nothing.
	starvedMinimum = 5
)

// Evidence is what was seen of a run, from the targets' run log, the answers
// and the hosts.
type Evidence struct {
	Violations loadgen.Violations
	Classes    []loadgen.Class
	Records    []loadgen.Record
	// Orders is the number of orders that ran, Copies of those sent twice.
	Orders, Copies int
	// BusiestProbes is the highest number of probes a second at one target.
	BusiestProbes, ProbeBudget float64
	// LateWork is the work that the drained target got after its grace.
	LateWork int64
	// StoppedHost is the address of the host that was stopped, StopError how
	// its stop ended.
	StoppedHost string
	StopError   error
	// InForce is the time that the change took to be in force everywhere,
	// InForceError set when it did not get there, Reverted the number of
	// times that a host's version fell.
	InForce      time.Duration
	InForceError error
	Reverted     int
}

// Promise is one promise with what the run says of it.
type Promise struct {
	Name string
	Held bool
	Seen string
}

// Judge holds the evidence against the promises.
func Judge(e Evidence) []Promise {
	v := e.Violations
	cut := e.cutByStop()
	starved := e.starved()
	return []Promise{
		{"measuring stays within its budget", e.BusiestProbes <= e.ProbeBudget,
			fmt.Sprintf("%.1f probes a second at the most probed target, budget %v", e.BusiestProbes, e.ProbeBudget)},
		{"every answer is the caller's own and whole", v.Wrong+v.Truncated == 0 && e.answered() > 0,
			fmt.Sprintf("%d answers, %d wrong, %d truncated", e.answered(), v.Wrong, v.Truncated)},
		{"a refusal as not run is true", v.UntrueNotRun == 0,
			fmt.Sprintf("%d refusals, %d untrue", e.count(loadgen.NotRun), v.UntrueNotRun)},
		{"an order runs at most once", v.DuplicateOrders == 0 && e.Orders > 0,
			fmt.Sprintf("%d orders ran, %d were sent twice, %d ran twice", e.Orders, e.Copies, v.DuplicateOrders)},
		{"no class starves another", len(starved) == 0,
			fmt.Sprintf("stretches of %v without an answer: %d %v", starvedStretch, len(starved), starved)},
		{"a leaving target gets no new work after 2 s", e.LateWork == 0,
			fmt.Sprintf("%d late requests", e.LateWork)},
		{"a planned stop cuts off no request", cut == 0 && e.StopError == nil,
			fmt.Sprintf("%d cut off, stop ended with %v", cut, e.StopError)},
		{"a configuration is in force everywhere within 12 s and never reverts",
			e.InForceError == nil && e.InForce <= inForceLimit && e.Reverted == 0,
			fmt.Sprintf("in force after %v, reverted %d times, error %v", e.InForce.Round(time.Millisecond), e.Reverted, e.InForceError)},
	}
}

func (e Evidence) count(end loadgen.End) int {
	n := 0
	for _, r := range e.Records {
		if r.End == end {
			n++
		}
	}
	return n
}

func (e Evidence) answered() int { return e.count(loadgen.Answered) }

// cutByStop counts the requests to the stopped host that got no whole answer.
func (e Evidence) cutByStop() int {
	n := 0
	for _, r := range e.Records {
		if r.Host == e.StoppedHost && (r.End == loadgen.Lost || r.End == loadgen.Unknown) {
			n++
		}
	}
	return n
}

// starved names the classes and stretches in which requests got no answer.
func (e Evidence) starved() []string {
	type stretch struct {
		class int
		at    time.Duration
	}
	sent, answered := map[stretch]int{}, map[stretch]int{}
	var order []stretch
	for _, r := range e.Records {
		s := stretch{r.Request.Class, r.Request.At.Truncate(starvedStretch)}
		if sent[s] == 0 {
			order = append(order, s)
		}
		sent[s]++
		if r.End == loadgen.Answered {
			answered[s]++
		}
	}
	var out []string
	for _, s := range order {
		if sent[s] >= starvedMinimum && answered[s] == 0 {
			out = append(out, fmt.Sprintf("%s at %v", e.Classes[s.class].Name, s.at))
		}
	}
	return out
}
